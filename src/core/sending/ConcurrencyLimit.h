#pragma once

#include "greengagestair/Types.h"

#include <cstddef>

namespace greengagestair {

/**
 * Adaptive number of queries in progress for one service. It rises by small steps while the limit
 * is in use and parts are fast, and falls by a factor when owners refuse parts or part times grow
 * beyond the best recent ones. It needs nothing but the ends of this host's own parts.
 */
class ConcurrencyLimit
{
public:
    ConcurrencyLimit(double initial, Duration warmPartTime);

    void addAnswer(Duration partTime, MonotonicTime now);
    void addRefusal(MonotonicTime now);
    /** Some query has to wait because of the limit. */
    void onLimitReached() { m_limitReached = true; }
    /** May be below 1: queries then start with pauses between them. */
    double value() const { return m_value; }
    Duration bestPartTime() const;

private:
    void endEpochIfDue(MonotonicTime now);
    void adjust(MonotonicTime now);
    void updateBest(Duration average, MonotonicTime now);
    void decreaseForLatency(Duration average, MonotonicTime now);

    double m_value;
    Duration m_warmPartTime;
    MonotonicTime m_epochStart;
    std::size_t m_answers = 0;
    std::size_t m_refusals = 0;
    Duration m_totalTime {};
    bool m_limitReached = false;
    Duration m_best = Duration::max();         ///< best average of the current window
    Duration m_previousBest = Duration::max(); ///< and of the one before
    MonotonicTime m_windowStart;
    Duration m_maxBest;
    int m_slowEpochs = 0; ///< in a row
};

} // namespace greengagestair
