#pragma once

#include "core/StepContext.h"
#include "greengagestair/Configuration.h"

#include <random>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * What this entry host knows of each backend server from its own parts: the expected wait reported
 * with the last answer, its own parts in flight, and failures that make it avoid the server.
 */
class ReplicaSelector
{
public:
    explicit ReplicaSelector(FailureDomainId ownDomain);

    void attemptStarted(const ServerId &server);
    /** The attempt ended with a statement of the owner about the server. */
    void attemptAnswered(const ServerId &server, Duration expectedWait, MonotonicTime now);
    /** The attempt ended without one. */
    void attemptDropped(const ServerId &server);
    /** Avoids the server for a short, jittered time that doubles with each failure in a row. */
    void avoid(const ServerId &server, MonotonicTime now, std::mt19937_64 &random);
    /** The server has not answered within the hedge delay. */
    void markSlow(const ServerId &server, Duration hedgeDelay, MonotonicTime now);
    bool isAvoided(const ServerId &server, MonotonicTime now) const;

    /**
     * The candidate with the lowest expected wait; among equals one of the own failure domain, then
     * any. Avoided servers are taken only if there is no other. Null if there is no candidate.
     */
    const BackendServer *select(const std::vector<const BackendServer *> &candidates,
                                const Service &service, Duration partTime, MonotonicTime now,
                                std::mt19937_64 &random) const;
    /** Drops the state of servers that are idle; called rarely. */
    void removeIdle(MonotonicTime now);
    std::size_t inFlight(const ServerId &server) const;
    std::size_t avoidedServers(MonotonicTime now) const;

private:
    struct ServerState
    {
        int inFlight = 0;
        int consecutiveFailures = 0; ///< in a row
        int hedgeDelaysPassed = 0;   ///< hedge delays passed since the last answer
        MonotonicTime avoidUntil;
        MonotonicTime expectedIdleAt; ///< expected end of the work queued at the server
    };

    Duration expectedWait(const ServerState &state, const Service &service, Duration partTime,
                          MonotonicTime now) const;

    FailureDomainId m_ownDomain;
    std::unordered_map<ServerId, ServerState> m_servers;
};

} // namespace greengagestair
