#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace greengagestair {

/** What this host has sent to one backend server and how it fared. */
class BackendLoad
{
public:
    void addStart(AttemptId attempt, MonotonicTime now);
    /** A whole response came. */
    void addAnswer(AttemptId attempt, MonotonicTime now);
    /** The server refused the request without running it. */
    void addRefusal(AttemptId attempt, MonotonicTime now);
    /** The attempt ended without a usable response. */
    void addFailure(AttemptId attempt, MonotonicTime now);
    /** The attempt was given up; it says nothing of the server but its age. */
    void addAbandoned(AttemptId attempt, MonotonicTime now);

    /** True if a connection from an earlier request is probably still open. */
    bool isLikelyConnected(MonotonicTime now) const;

    std::size_t inFlight() const { return m_startTimes.size(); }

    /**
     * Time that a request sent now is expected to take: recent response times, the age of the
     * oldest request without a response, and a penalty for recent failures. `fallback` holds for a
     * server without recent responses.
     */
    Duration expectedTime(Duration fallback, std::size_t slots, MonotonicTime now) const;

    /** Requests sent in the last second. */
    std::size_t coldRequestsInLastSecond(MonotonicTime now);
    /** Records a request to a cold server. */
    void addColdRequest(MonotonicTime now);

private:
    /** Removes the attempt; null if it is unknown. */
    std::optional<Duration> removeAttempt(AttemptId attempt, MonotonicTime now);
    void addSample(Duration time, MonotonicTime now);
    void addPenalty(double weight, MonotonicTime now);
    double penaltyAt(MonotonicTime now) const;

    std::map<AttemptId, MonotonicTime> m_startTimes;
    Duration m_average {};
    MonotonicTime m_lastSample;
    bool m_hasSample = false;
    std::optional<MonotonicTime> m_lastAnswer;
    double m_penalty = 0;
    MonotonicTime m_penaltyUpdatedAt;
    std::deque<MonotonicTime> m_coldRequests;
};

} // namespace greengagestair
