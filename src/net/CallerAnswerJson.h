#pragma once

#include "greengagestair/Effect.h"

#include <string>

namespace greengagestair {

/** Status and JSON body of an HTTP response to a caller. */
struct CallerResponse
{
    int status = 200; ///< HTTP status code
    std::string body; ///< JSON
};

/** Maps an outcome and its reason to an HTTP status code (design section 9). */
int httpStatus(QueryOutcome outcome, QueryReason reason);

/**
 * Renders the reducer's answer to a query or an outcome query.
 * @param requestId identifier of this request, for logs and support
 */
CallerResponse renderAnswer(const CallerAnswer &answer, const std::string &requestId);

/**
 * Renders a refusal by the front end itself. The outcome is notRun, since the request did not reach
 * the reducer.
 * @param status HTTP status code
 * @param detail describes what is wrong with the request
 */
CallerResponse renderRefusal(int status, QueryReason reason, const std::string &detail);

} // namespace greengagestair
