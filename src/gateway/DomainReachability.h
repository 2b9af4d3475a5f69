#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/GatewayEffect.h"
#include "greengagestair/Types.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Which failure domains this host can reach. A domain whose servers all leave requests unanswered
 * is doubted; it counts as unreachable once connection attempts to some of its servers fail too,
 * and as reachable again with the first connection or response.
 */
class DomainReachability
{
public:
    DomainReachability(FailureDomainId ownDomain, const BackendDirectory &directory);

    void setOwnDomain(FailureDomainId ownDomain) { m_ownDomain = std::move(ownDomain); }
    /** Begins a step: effects are appended to `effects` until the next call. */
    void beginStep(MonotonicTime now, GatewayEffects &effects);

    /** A request was sent to a server. */
    void addStart(const BackendRegistration &server);
    /** A server responded, in whichever way. */
    void addResponse(const FailureDomainId &failureDomain);
    /** An attempt to open a connection has ended, whoever asked for it. */
    void addConnection(const ServerId &server, bool isConnected);
    /** Another host of this failure domain found a domain unreachable; this host looks for itself.
     */
    void addUnreachableReport(const FailureDomainId &failureDomain);
    /** Handles all times that have come. */
    void advance();
    std::optional<MonotonicTime> nextWakeUp() const;

    bool isReachable(const FailureDomainId &failureDomain) const;
    /** True if servers of other failure domains are registered and none of those can be reached. */
    bool isIsolated() const;

private:
    enum class State { Reachable, Suspected, Unreachable };
    struct Domain
    {
        State state = State::Reachable;
        std::vector<ServerId>
                unansweredServers;           ///< servers that got requests since the last response
        MonotonicTime unansweredSince;       ///< first request since the last response
        std::vector<ServerId> pendingProbes; ///< connection attempts in progress
        MonotonicTime nextProbeAt;           ///< while unreachable
        std::size_t nextProbeIndex = 0;      ///< next server to be probed
    };

    bool isUnresponsive(const Domain &domain, const FailureDomainId &failureDomain) const;
    void startProbes(const FailureDomainId &failureDomain, Domain &domain);
    void setReachable(const FailureDomainId &failureDomain, Domain &domain);
    void setUnreachable(const FailureDomainId &failureDomain, Domain &domain);

    FailureDomainId m_ownDomain;
    const BackendDirectory &m_directory;
    std::unordered_map<FailureDomainId, Domain> m_domains;
    std::size_t m_unreachableDomains = 0; ///< domains in that state
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
};

} // namespace greengagestair
