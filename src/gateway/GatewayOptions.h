#pragma once

#include "gateway/RepeatBudget.h"
#include "greengagestair/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace greengagestair {

/** Options of BackendSelector. The limits hold for all entry hosts together. */
struct SelectorOptions
{
    HostId host;                   ///< this host
    FailureDomainId failureDomain; ///< failure domain of this host
    double coldFactor = 1.5;       ///< allowed multiple of a server's declared cold request rate
    double coldSlack = 5;          ///< requests per second allowed in addition
};

/** Numbers of live entry hosts, among which joint limits are divided. */
struct HostCount
{
    std::size_t all = 1;                             ///< in all failure domains
    std::size_t ownDomain = 1;                       ///< in this host's failure domain
    std::map<FailureDomainId, std::size_t> byDomain; ///< in each failure domain with hosts

    bool operator==(const HostCount &) const = default;
};

/** Options of Gateway, read from the settings file. */
struct GatewayOptions
{
    SelectorOptions selector;
    RepeatLimits repeats;         ///< the slack is for all entry hosts together
    std::uint64_t randomSeed = 0; ///< seed of this host's random choices
};

} // namespace greengagestair
