#pragma once

#include "greengagestair/Types.h"

#include <cstdint>
#include <map>
#include <string>

namespace greengagestair {

/** Results of the attempts at the servers of one version, or of several ones. */
struct RolloutTally
{
    std::uint64_t answers = 0;  ///< complete responses that are no failures
    std::uint64_t failures = 0; ///< error responses, lost connections, responses that came too late
    Duration totalTime {};      ///< sum of the response times of the answers

    RolloutTally &operator+=(const RolloutTally &other);
    std::uint64_t results() const { return answers + failures; }
};

/** Results on one route at the target version and at all others. */
struct RouteTally
{
    RolloutTally target;
    RolloutTally others;
};

/** Results by route. */
using RouteTallies = std::map<std::string, RouteTally>;

/** Judgement of a target version. */
enum class RolloutVerdict {
    Open, ///< too few answers
    Good,
    Bad
};

/**
 * Judges a target version by its results. On each route, the failures of the target are compared
 * with those of the others by a one-sided binomial test, and the mean response times directly. The
 * version is bad if a single route shows either.
 */
RolloutVerdict judge(const RouteTallies &routes);

} // namespace greengagestair
