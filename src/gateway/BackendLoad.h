#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace greengagestair {

/**
 * This host's observations of one backend server: requests in progress, response times and recent
 * failures. BackendSelector uses them to estimate how long the next request will take.
 */
class BackendLoad
{
public:
    /** Records that an attempt was sent to the server. */
    void addStart(AttemptId attempt, MonotonicTime now);
    /** Records that the attempt ended with a complete response. */
    void addAnswer(AttemptId attempt, MonotonicTime now);
    /** Records that the server refused the attempt without running it. */
    void addRefusal(AttemptId attempt, MonotonicTime now);
    /** Records that the attempt ended without a usable response. */
    void addFailure(AttemptId attempt, MonotonicTime now);
    /** Records a failure by which no byte of the attempt has reached the server. */
    void addUnsent(AttemptId attempt, MonotonicTime now);
    /**
     * Records that this host stopped waiting for the attempt. Its age counts as a response time if
     * it exceeds the average; it does not count as a failure.
     */
    void addAbandoned(AttemptId attempt, MonotonicTime now);

    /** True if a connection that an earlier request used is probably still open. */
    bool isLikelyConnected(MonotonicTime now) const;

    /** Number of attempts in progress. */
    std::size_t inFlight() const { return m_startTimes.size(); }

    /**
     * Estimated time for a request sent now. It combines recent response times, the age of the
     * oldest request without a response, the number of requests in progress per slot, and penalties
     * for recent failures and for the share of refused attempts. Without recent responses,
     * `fallback` stands in for the response times.
     */
    Duration expectedTime(Duration fallback, std::size_t slots, MonotonicTime now) const;

    /** Number of attempts sent in the last second, without those recorded by addUnsent(). */
    std::size_t requestsInLastSecond(MonotonicTime now) const;
    /** Takes over the attempts of the last second that `former` has recorded. */
    void takeRecentRequests(const BackendLoad &former);

private:
    /** Removes the recent requests that were sent a second ago or earlier. */
    void forgetOldRequests(MonotonicTime now);
    /** Removes the attempt and returns its age; nullopt if it is unknown. */
    std::optional<Duration> removeAttempt(AttemptId attempt, MonotonicTime now);
    void addSample(Duration time, MonotonicTime now);
    void addPenalty(MonotonicTime now);
    double penaltyAt(MonotonicTime now) const;
    /** Updates the share of refused attempts by one attempt, for which `refused` is 0 or 1. */
    void addRefusalSample(double refused, MonotonicTime now);
    double refusalShareAt(MonotonicTime now) const;

    std::map<AttemptId, MonotonicTime> m_startTimes;
    Duration m_average {};
    MonotonicTime m_lastSample;
    bool m_hasSample = false;
    std::optional<MonotonicTime> m_lastAnswer;
    double m_penalty = 0;
    MonotonicTime m_penaltyUpdatedAt;
    double m_refusalShare = 0; ///< moving average, 0 to 1
    MonotonicTime m_refusalShareUpdatedAt;
    std::deque<MonotonicTime> m_recentRequests; ///< of the last second, the earliest first
};

} // namespace greengagestair
