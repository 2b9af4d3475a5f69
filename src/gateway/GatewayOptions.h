#pragma once

#include "gateway/RepeatBudget.h"
#include "greengagestair/Types.h"

#include <cstddef>
#include <cstdint>

namespace greengagestair {

/** Bounds that all entry hosts share, and what this host may use of them. */
struct SelectorOptions
{
    FailureDomainId failureDomain; ///< of this host
    double coldFactor = 1.5;       ///< allowed multiple of the declared cold rate, over all hosts
    double coldSlack = 5;          ///< allowed requests beyond it in any one second
};

/** Live entry hosts, among which bounds are divided. */
struct HostCount
{
    std::size_t all = 1;
    std::size_t ownDomain = 1; ///< in this host's failure domain

    bool operator==(const HostCount &) const = default;
};

/** Identity of the host and the bounds that it keeps. */
struct GatewayOptions
{
    SelectorOptions selector;
    RepeatLimits repeats; ///< the slack is that of all hosts together
    std::uint64_t randomSeed = 0;
};

} // namespace greengagestair
