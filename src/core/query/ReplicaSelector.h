#pragma once

#include "core/StepContext.h"
#include "greengagestair/Configuration.h"

#include <random>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Chooses the replica for an attempt by the load of the backend servers. PartDispatcher reports the
 * start and the end of each attempt. The load is estimated from three inputs only: the expected
 * wait in the last answer, the attempts of this host in flight, and recent failures.
 */
class ReplicaSelector
{
public:
    /** `ownDomain` is the failure domain of this host, whose servers are preferred. */
    explicit ReplicaSelector(FailureDomainId ownDomain);

    /** Counts an attempt as in flight at the server. */
    void attemptStarted(const ServerId &server);
    /**
     * Ends an attempt whose answer shows the load of the server: `expectedWait` is the wait that
     * the owner expects for a new part. The server is no longer avoided.
     */
    void attemptAnswered(const ServerId &server, Duration expectedWait, MonotonicTime now);
    /** Ends an attempt without an answer that shows the load of the server. */
    void attemptEndedWithoutLoadReport(const ServerId &server);
    /**
     * Records a failure and avoids the server for a random time between 250 ms and 500 ms, so that
     * not all hosts use it again at once. The bounds double with each consecutive failure, up to
     * eightfold.
     */
    void avoid(const ServerId &server, MonotonicTime now, std::mt19937_64 &random);
    /**
     * Records that an attempt was not answered within the hedge delay. Raises the expected wait of
     * the server to at least this delay. Each further call before the next answer doubles this
     * lower bound, to 5 s at most.
     */
    void markSlow(const ServerId &server, Duration hedgeDelay, MonotonicTime now);
    /** Returns whether the server is avoided because of recent failures. */
    bool isAvoided(const ServerId &server, MonotonicTime now) const;

    /**
     * Returns the candidate with the lowest expected wait; null if there is no candidate. Among
     * equal ones it prefers the failure domain of this host, then chooses at random. It returns an
     * avoided server only if all candidates are avoided. `partTime` is the usual time of a part.
     */
    const BackendServer *select(const std::vector<const BackendServer *> &candidates,
                                const Service &service, Duration partTime, MonotonicTime now,
                                std::mt19937_64 &random) const;
    /** Drops the state of idle servers that are not avoided. The cost is linear in all servers. */
    void removeIdle(MonotonicTime now);
    /** Returns the number of attempts of this host in flight at the server. */
    std::size_t inFlight(const ServerId &server) const;
    /** Returns the number of servers that are avoided now. */
    std::size_t avoidedServers(MonotonicTime now) const;

private:
    struct ServerState
    {
        int inFlight = 0;
        int consecutiveFailures = 0;
        int hedgeDelaysPassed = 0; ///< hedge delays passed since the last answer
        MonotonicTime avoidUntil;
        MonotonicTime expectedIdleAt; ///< expected end of the work queued at the server
    };

    Duration expectedWait(const ServerState &state, const Service &service, Duration partTime,
                          MonotonicTime now) const;

    FailureDomainId m_ownDomain;
    std::unordered_map<ServerId, ServerState> m_servers;
};

} // namespace greengagestair
