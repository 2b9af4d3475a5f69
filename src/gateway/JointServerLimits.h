#pragma once

#include "core/CounterSet.h"
#include "gateway/BackendDirectory.h"
#include "gateway/EventRateLimit.h"
#include "gateway/GatewayEffect.h"
#include "gateway/IssuerElection.h"
#include "gateway/PermitIssuer.h"
#include "gateway/RegistryStore.h"

#include <memory>
#include <optional>
#include <vector>

namespace greengagestair {

/**
 * Keeps the request limits that servers name together with the other entry hosts. One host of the
 * list, elected for each server by rendezvous hashing, issues permits for its requests; the others
 * ask it when they have requests for the server. A host that takes over from another one issues
 * nothing for a short time, until the former permits have expired and all hosts have read the new
 * list. A part of each limit is not issued but divided among all hosts, for those that get no
 * answer.
 *
 * It also records the other statements of servers, which each host follows by itself.
 *
 * Gateway passes the time and the list of effects with beginStep().
 */
class JointServerLimits
{
public:
    JointServerLimits(HostId self, std::uint64_t randomSeed);

    /** Sets the current time and the list to which effects are appended. */
    void beginStep(MonotonicTime now, GatewayEffects &effects);
    /** Replaces the list of live hosts, which includes this host once it is announced. */
    void setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts);
    /** Sets the number of hosts among which the part that is not issued is divided. */
    void setHostCount(std::size_t hosts);

    /** Takes over what a server says in a response to an attempt that began at `startedAt`. */
    void addResponse(Backend &backend, const ServerStatement &statement, MonotonicTime startedAt);
    /** Whether a request may be sent to the server now; always if it has named no limit. */
    Permission permission(Backend &backend);
    /**
     * Asks for permits if the server's demand requires it. `isNew` tells that a request would go to
     * the server that was not counted before, `isWaitedFor` that one waits for a permit.
     */
    void addDemand(Backend &backend, bool isNew, bool isWaitedFor);
    /** Records that a request is sent to the server. */
    void take(Backend &backend);

    /**
     * Answers another host's request for permits if this host issues them. `backend` is the server,
     * or null if this host does not know it.
     */
    void answer(const HostId &sender, const PermitRequest &request, Backend *backend);
    /** Takes over the permits and the newest statement from the issuing host. */
    void addGrant(Backend &backend, const PermitGrant &grant);

    /** Counters for the metrics. */
    const CounterSet &counters() const { return m_counters; }

private:
    void addPause(Backend &backend, Duration pause);
    /** Issues permits and passes on the statement; nullopt if this host does not issue them now. */
    std::optional<PermitGrant> issue(const HostId &sender, const PermitRequest &request);
    /** Sends a changed statement to all hosts but the one that it came from. */
    void tellHosts(const HostId &source, const PermitGrant &grant);
    void addReport(Backend &backend, const LimitStatement &statement);
    PermitRequest makeRequest(Backend &backend, std::uint32_t permits);
    /** Logs a change of a limit; `source` is "response" or "host". */
    void log(const Backend &backend, ServerNeeds::Change change, std::string_view source,
             MonotonicTime attemptStartedAt);

    RandomSource m_random;
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
    IssuerElection m_election; ///< keys are the names of servers
    std::size_t m_hostCount = 1;
    PermitIssuer m_issuer;
    EventRateLimit m_noticeLimit;
    CounterSet m_counters;
};

} // namespace greengagestair
