#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/** Limits declared for the backend servers of a service. */
struct ServerLimits
{
    int slots = 1;
    int coldLimit = 1;
    Duration warmPartTime {};
};

/**
 * How many requests one backend server bears now, learned from its answers: health and load
 * endpoints lag or mislead. Starts at the cold limit and rises by evidence only.
 */
class ServerLimiter
{
public:
    /** Fast answers in succession that raise the limit by one. */
    static constexpr int kFastAnswersPerIncrease = 8;
    /**
     * An answer slower than this multiple of the usual part time is slow. With 4, randomised runs
     * showed servers at five times their usual part time that were not noticed as cold.
     */
    static constexpr int kSlowAnswerFactor = 2;
    /** Slow answers in succession after which the server is taken for cold. */
    static constexpr int kSlowAnswersUntilCold = 2;
    /** A server without an answer for this long may have restarted: its next answer decides. */
    static constexpr Duration kIdleBeforeColdLimit = std::chrono::milliseconds(500);
    /** A server without an answer for this long is taken for cold. */
    static constexpr Duration kIdleBeforeReset = std::chrono::seconds(10);

    /** `rampEnabled` is false only in tests of the check on cold servers. */
    ServerLimiter(const ServerLimits &limits, MonotonicTime now, bool rampEnabled = true);

    void setLimits(const ServerLimits &limits);
    void onAnswer(Duration partTime, MonotonicTime now);
    /** HTTP 503 with reason shed. */
    void onShed(MonotonicTime now);
    /** The server restarted, refused as cold, or has a new owner. */
    void resetToCold(MonotonicTime now);

    /**
     * Requests that may be in flight now. `oldestInFlight` is the age of the oldest one, zero if
     * there is none: a server that is overdue may have turned cold.
     */
    int limit(MonotonicTime now, Duration oldestInFlight) const;
    /** Age of a request in flight from which on the server is treated as cold. */
    Duration slowPartTimeThreshold() const;
    /** Usual time of a part, from recent answers. */
    Duration recentPartTime() const { return m_recentPartTime; }
    bool isWarm() const { return m_limit >= m_limits.slots; }

private:
    ServerLimits m_limits;
    bool m_rampEnabled;
    int m_limit;
    int m_fastAnswers = 0;
    int m_slowAnswers = 0;
    Duration m_recentPartTime;
    MonotonicTime m_lastAnswer;
};

} // namespace greengagestair
