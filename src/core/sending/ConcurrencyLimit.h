#pragma once

#include "greengagestair/Types.h"

#include <cstddef>

namespace greengagestair {

/**
 * Adaptive limit on the queries in progress for one service on one entry host. AdmissionControl
 * reports the parts of this host that end and the queries that wait for the limit; no other input
 * is needed.
 *
 * The limit is adjusted once per epoch. It rises in small steps while queries wait for it and parts
 * are fast. It is multiplied by a factor below 1 if owners refuse parts, or if part times grow well
 * beyond the best recent ones.
 */
class ConcurrencyLimit
{
public:
    /** `warmPartTime` is the usual time of a part that the configuration declares. */
    ConcurrencyLimit(double initial, Duration warmPartTime);

    /** Counts a part that was answered after `partTime`. */
    void addAnswer(Duration partTime, MonotonicTime now);
    /** Counts a part that the owner of its server refused. */
    void addRefusal(MonotonicTime now);
    /** Records that a query has to wait because of the limit. */
    void onLimitReached() { m_limitReached = true; }
    /** The current limit. AdmissionControl enforces a fraction by pauses between queries. */
    double value() const { return m_value; }
    /** The best (lowest) recent average part time, which is the reference for slow parts. */
    Duration bestPartTime() const;

private:
    void endEpochIfDue(MonotonicTime now);
    void adjust(MonotonicTime now);
    void updateBestPartTime(Duration average, MonotonicTime now);
    void decreaseForLatency(Duration average, MonotonicTime now);

    double m_value;
    Duration m_warmPartTime;
    MonotonicTime m_epochStart;
    std::size_t m_answers = 0;
    std::size_t m_refusals = 0;
    Duration m_totalPartTime {}; ///< sum of the part times of this epoch
    bool m_limitReached = false;
    /** Lowest epoch average of the current window. */
    Duration m_bestPartTime = Duration::max();
    /** Lowest epoch average of the previous window. */
    Duration m_previousBestPartTime = Duration::max();
    MonotonicTime m_windowStart;
    Duration m_maxBestPartTime; ///< upper bound of bestPartTime()
    int m_slowEpochs = 0;       ///< number of consecutive slow epochs
};

} // namespace greengagestair
