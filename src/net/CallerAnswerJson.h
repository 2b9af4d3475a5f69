#pragma once

#include "greengagestair/Effect.h"

#include <string>

namespace greengagestair {

/** The HTTP form of a caller's answer. */
struct CallerResponse
{
    int status = 200;
    std::string body; ///< JSON
};

/** HTTP status for an outcome and its reason (design section 9). */
int httpStatus(QueryOutcome outcome, QueryReason reason);

CallerResponse renderAnswer(const CallerAnswer &answer, const std::string &requestId);

/**
 * A refusal by the front end itself. The outcome is notRun, since nothing reached the reducer.
 * @param detail says what was wrong with the request
 */
CallerResponse renderRefusal(int status, QueryReason reason, const std::string &detail);

} // namespace greengagestair
