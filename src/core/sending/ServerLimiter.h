#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/**
 * Limits that the configuration declares for the backend servers of a service. A cold server, for
 * example one that was just started, answers more slowly than a warm one and can fail if it gets
 * more concurrent requests than its cold limit.
 */
struct ServerLimits
{
    int slots = 1;            ///< maximum number of concurrent requests of a warm server
    int coldLimit = 1;        ///< maximum number of concurrent requests of a cold server
    Duration warmPartTime {}; ///< usual time in which a warm server answers a part
};

/**
 * Limits the number of concurrent requests on one backend server. BackendScheduler reports the
 * answers of the server and asks for the limit before it sends a part.
 *
 * The limit is derived from answers and from missing answers, because health and load endpoints
 * are delayed or misleading. It starts at the cold limit and rises only after fast answers.
 */
class ServerLimiter
{
public:
    /** Number of fast answers that raises the limit by one; a slow answer restarts the count. */
    static constexpr int kFastAnswersPerIncrease = 8;
    /**
     * An answer is slow if it takes longer than this multiple of the usual part time. A factor of 4
     * failed to detect some cold servers in randomised runs, although they took five times their
     * usual part time.
     */
    static constexpr int kSlowAnswerFactor = 2;
    /** Number of consecutive slow answers after which the server is treated as cold. */
    static constexpr int kSlowAnswersUntilCold = 2;
    /** After this time without an answer the server may have restarted, so the cold limit applies
     * until its next answer. */
    static constexpr Duration kIdleBeforeColdLimit = std::chrono::milliseconds(500);
    /** After this time without an answer, the next answer resets the limiter as resetToCold() does,
     * so that the limit must rise from the cold limit again. */
    static constexpr Duration kIdleBeforeReset = std::chrono::seconds(10);

    /**
     * Starts at the cold limit. If `rampEnabled` is false, limit() always returns the number of
     * slots. Only tests use this, to verify that they detect overloaded cold servers.
     */
    ServerLimiter(const ServerLimits &limits, MonotonicTime now, bool rampEnabled = true);

    /** Applies new limits of the configuration; the current limit is only clamped to them. */
    void setLimits(const ServerLimits &limits);
    /** Adjusts the limit after a request ended, `partTime` after it was sent. */
    void onAnswer(Duration partTime, MonotonicTime now);
    /** Lowers the limit by one after the server refused a request (HTTP 503 with reason shed). */
    void onShed(MonotonicTime now);
    /** Resets the limiter after the server restarted, refused a request as cold, returned to
     * service, could not be reached, or got a new owner. */
    void resetToCold(MonotonicTime now);

    /**
     * Maximum number of requests that may be in flight now. `oldestInFlight` is the age of the
     * oldest request in flight, or zero if there is none. If it is overdue, the cold limit applies,
     * because the server may have become cold.
     */
    int limit(MonotonicTime now, Duration oldestInFlight) const;
    /** A request that takes longer than this is slow, and overdue while it is in flight. */
    Duration slowPartTimeThreshold() const;
    /** Moving average of the part times, without slow answers. It starts at the declared time. */
    Duration recentPartTime() const { return m_recentPartTime; }
    /** Whether the limit has reached the number of slots. */
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
