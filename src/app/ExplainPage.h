#pragma once

#include "gateway/explain/Explainer.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace greengagestair {

/** Target of the admin page for a query: `/explain?host=...&path=...&tenant=...`. */
std::string explainTarget(const ExplainQuery &query);

/** Reads such a target; nullopt if it is for another page or lacks the host or the path. */
std::optional<ExplainQuery> parseExplainTarget(std::string_view target);

/** Text for people of an explanation that Gateway::explain() gave. */
std::string explanationText(const boost::json::object &explanation);

} // namespace greengagestair
