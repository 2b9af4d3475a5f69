#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace greengagestair {

/** One HTTP request, independent of the HTTP library. */
struct HttpRequestView
{
    std::string method;
    std::string path;
    std::string body;
    std::function<std::optional<std::string>(const std::string &name)> header;
};

/** Texts for operators and for the balancer. */
enum class OperatorPage { Metrics, State, Health };

/** The front end refuses a request; nothing reaches the reducer. */
struct HttpRefusal
{
    int status = 400;
    QueryReason reason = QueryReason::BadRequest;
    std::string detail;
};

/** What one HTTP request asks for. The caller identifier is filled in by the front end. */
using ParsedRequest = std::variant<CallerRequest, OutcomeQuery, OperatorPage, HttpRefusal>;

/** Checks method, path and headers of a request of the caller endpoint (design section 9). */
ParsedRequest parseCallerRequest(const HttpRequestView &request);

} // namespace greengagestair
