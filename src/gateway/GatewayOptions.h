#pragma once

#include "gateway/RepeatBudget.h"
#include "greengagestair/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

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

/** How far the requests of a tenant may exceed its quota, over all entry hosts together. */
struct QuotaOptions
{
    Duration window = std::chrono::seconds(5); ///< the limit holds in any span of this length
    double overage = 0.1;                      ///< allowed excess, as a share of the quota
    double slack = 20;                         ///< requests allowed in addition in each window
};

/** Limits on the requests to a software version that is being rolled out, over all hosts. */
struct RolloutOptions
{
    double exposedShare = 0.1; ///< share of a service's requests that a bad version may get
    double exposedSlack = 50;  ///< requests allowed in addition
    Duration rollbackTime =
            std::chrono::seconds(5); ///< from the 50th bad answer to the last request
};

/** Options of Gateway, read from the settings file. */
struct GatewayOptions
{
    SelectorOptions selector;
    RepeatLimits repeats;                  ///< the slack is for all entry hosts together
    std::optional<QuotaOptions> quota;     ///< nullopt: quotas of tenants are not enforced
    std::optional<RolloutOptions> rollout; ///< nullopt: orders of roll-outs are ignored
    bool sharesObservations = false;       ///< hosts tell each other what they see of servers
    bool pacesReturningServers = false;    ///< servers that return get their load step by step
    std::uint64_t randomSeed = 0;          ///< seed of this host's random choices
};

} // namespace greengagestair
