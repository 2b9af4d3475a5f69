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
 * Detects which failure domains this host cannot reach, so that BackendSelector avoids them.
 * RequestDispatcher and Gateway report requests, responses and connection attempts to it. A domain
 * is suspected if several of its servers, or all if it has few, leave requests unanswered and none
 * responds, or if another host reports the domain. A suspected domain is probed by connection
 * attempts. If all attempts fail, the domain is unreachable until the first connection or response.
 */
class DomainReachability
{
public:
    DomainReachability(FailureDomainId ownDomain, const BackendDirectory &directory);

    /** Sets the failure domain of this host. */
    void setOwnDomain(FailureDomainId ownDomain) { m_ownDomain = std::move(ownDomain); }
    /**
     * Sets the current time and the list to which effects are appended. The list has to stay
     * valid until the next call of beginStep().
     */
    void beginStep(MonotonicTime now, GatewayEffects &effects);

    /** Records that a request was sent to a server. */
    void addStart(const BackendRegistration &server);
    /** Records any response of a server in `failureDomain`, refusals and errors included. */
    void addResponse(const FailureDomainId &failureDomain);
    /** Records the end of any connection attempt; it counts if the server is being probed. */
    void addConnectionResult(const ServerId &server, bool isConnected);
    /** Probes a domain that another host of this host's own failure domain found unreachable. */
    void addUnreachableReport(const FailureDomainId &failureDomain);
    /** Handles all timers that are due: suspects unresponsive domains, probes unreachable ones. */
    void advance();
    /** Time at which advance() is due; nullopt if no timer is pending. */
    std::optional<MonotonicTime> nextWakeUp() const;

    /** False if the failure domain was found unreachable; true for suspected and unknown ones. */
    bool isReachable(const FailureDomainId &failureDomain) const;
    /** True if registered servers exist in other failure domains and none of these is reachable. */
    bool isIsolated() const;

private:
    enum class State { Reachable, Suspected, Unreachable };
    struct Domain
    {
        State state = State::Reachable;
        std::vector<ServerId> unansweredServers; ///< were sent requests since the last response
        MonotonicTime unansweredSince;       ///< time of the first request since the last response
        std::vector<ServerId> pendingProbes; ///< connection attempts in progress
        MonotonicTime nextProbeAt;           ///< used in state Unreachable only
        std::size_t nextProbeIndex = 0;      ///< index of the next server to be probed
    };

    bool isUnresponsive(const Domain &domain, const FailureDomainId &failureDomain) const;
    void startProbes(const FailureDomainId &failureDomain, Domain &domain);
    void setReachable(const FailureDomainId &failureDomain, Domain &domain);
    void setUnreachable(const FailureDomainId &failureDomain, Domain &domain);

    FailureDomainId m_ownDomain;
    const BackendDirectory &m_directory;
    std::unordered_map<FailureDomainId, Domain> m_domains;
    std::size_t m_unreachableDomains = 0; ///< number of domains in state Unreachable
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
};

} // namespace greengagestair
