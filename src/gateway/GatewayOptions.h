#pragma once

#include "gateway/RepeatBudget.h"
#include "greengagestair/Types.h"

#include <cstddef>

namespace greengagestair {

/** Bounds that all entry hosts share, and what this host may use of them. */
struct SelectorOptions
{
    FailureDomainId failureDomain;  ///< of this host
    std::size_t connectionsPerServer = 2; ///< least number of connections this host may hold
    double coldFactor = 1.5; ///< allowed multiple of the declared cold rate, over all hosts
    double coldSlack = 5;    ///< allowed requests beyond it in any one second
};

/** Identity of the host and the bounds that it keeps. */
struct GatewayOptions
{
    SelectorOptions selector;
    RepeatLimits repeats; ///< the slack is that of all hosts together
};

} // namespace greengagestair
