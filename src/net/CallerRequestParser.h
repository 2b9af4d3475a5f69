#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace greengagestair {

/** An HTTP request as the parser reads it, independent of the HTTP library. */
struct HttpRequestView
{
    std::string method;
    std::string path; ///< may include a query string, which is ignored
    std::string body;
    /** Looks up a header by name; returns nothing if the request does not have it. */
    std::function<std::optional<std::string>(const std::string &name)> header;
};

/** Pages that the front end serves to operators and to the load balancer. */
enum class OperatorPage {
    Metrics, ///< /metrics
    State,   ///< /state
    Health   ///< /healthz
};

/** Why the front end refuses a request. The reducer does not receive a refused request. */
struct HttpRefusal
{
    int status = 400; ///< HTTP status code
    QueryReason reason = QueryReason::BadRequest;
    std::string detail; ///< describes the error to the caller
};

/** A parsed HTTP request, or its refusal. The front end fills in the caller identifier. */
using ParsedRequest = std::variant<CallerRequest, OutcomeQuery, OperatorPage, HttpRefusal>;

/** Checks and parses a request that was received on the caller endpoint (design section 9). */
ParsedRequest parseCallerRequest(const HttpRequestView &request);

} // namespace greengagestair
