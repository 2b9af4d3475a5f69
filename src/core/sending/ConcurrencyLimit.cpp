#include "core/sending/ConcurrencyLimit.h"

#include <algorithm>

namespace greengagestair {

/** An epoch ends after this time at the earliest, and only once it has kMinPartsPerEpoch parts. */
static constexpr Duration kMinEpochDuration = std::chrono::milliseconds(50);
static constexpr std::size_t kMinPartsPerEpoch = 30;
/** The best average of the current and of the previous window of this length is the reference. */
static constexpr Duration kBestTimeWindow = std::chrono::seconds(15);
/** A single part time counts as at most this multiple of the best time, so that one straggler in
 * 100 parts hardly changes the average. */
static constexpr int kMaxStragglerFactor = 4;
/** The best time is initially at most this multiple of the declared part time. Otherwise a host
 * that starts under overload would treat long part times as normal. */
static constexpr int kMaxBestFactor = 3;
/** The limit is decreased if a larger share of the parts of an epoch is refused. */
static constexpr double kMaxRefusedShare = 0.02;
/** The limit is decreased if the average part time is above this multiple of the best time. */
static constexpr double kSlowRatio = 1.5;
/** The limit may be increased if the average part time is below this multiple of the best time. */
static constexpr double kFastRatio = 1.25;
/** A decrease multiplies the limit by this. */
static constexpr double kDecreaseFactor = 0.85;
/** After this number of consecutive decreases, any queue at the servers would have drained. Parts
 * that are still slow then show that the servers themselves are slower. */
static constexpr int kMaxSlowEpochs = 8;
/** An increase adds this share of the limit, and kIncreaseStep. */
static constexpr double kIncreaseShare = 0.1;
static constexpr double kIncreaseStep = 0.05;
/** Minimum limit: some parts must still be sent, so that a recovery is detected. */
static constexpr double kMinLimit = 0.2;

ConcurrencyLimit::ConcurrencyLimit(double initial, Duration warmPartTime)
    : m_value(initial)
    , m_warmPartTime(warmPartTime)
    , m_maxBestPartTime(warmPartTime * kMaxBestFactor)
{
}

void ConcurrencyLimit::addAnswer(Duration partTime, MonotonicTime now)
{
    ++m_answers;
    m_totalPartTime += std::min(partTime, bestPartTime() * kMaxStragglerFactor);
    endEpochIfDue(now);
}

void ConcurrencyLimit::addRefusal(MonotonicTime now)
{
    ++m_refusals;
    endEpochIfDue(now);
}

Duration ConcurrencyLimit::bestPartTime() const
{
    const Duration best = std::min(m_bestPartTime, m_previousBestPartTime);
    return std::clamp(best, m_warmPartTime, m_maxBestPartTime);
}

void ConcurrencyLimit::endEpochIfDue(MonotonicTime now)
{
    if (m_answers + m_refusals < kMinPartsPerEpoch || now < m_epochStart + kMinEpochDuration)
        return;
    adjust(now);
    m_epochStart = now;
    m_answers = 0;
    m_refusals = 0;
    m_totalPartTime = {};
    m_limitReached = false;
}

void ConcurrencyLimit::adjust(MonotonicTime now)
{
    const double refusedShare =
            static_cast<double>(m_refusals) / static_cast<double>(m_answers + m_refusals);
    if (m_answers == 0 || refusedShare > kMaxRefusedShare) {
        m_value = std::max(kMinLimit, m_value * kDecreaseFactor);
        return;
    }
    const Duration average = m_totalPartTime / static_cast<Duration::rep>(m_answers);
    updateBestPartTime(average, now);
    const double ratio = static_cast<double>(average.count())
            / static_cast<double>(std::max(bestPartTime(), Duration(1)).count());
    if (ratio > kSlowRatio) {
        decreaseForLatency(average, now);
        return;
    }
    m_slowEpochs = 0;
    if (ratio < kFastRatio && m_limitReached)
        m_value += m_value * kIncreaseShare + kIncreaseStep;
}

void ConcurrencyLimit::decreaseForLatency(Duration average, MonotonicTime now)
{
    if (++m_slowEpochs <= kMaxSlowEpochs) {
        m_value = std::max(kMinLimit, m_value * kDecreaseFactor);
        return;
    }
    // The parts are still slow at a quarter of the load, so the servers are slow and not
    // overloaded. Their current part time becomes the new reference.
    m_slowEpochs = 0;
    m_bestPartTime = average;
    m_previousBestPartTime = average;
    m_windowStart = now;
    m_maxBestPartTime = std::max(m_maxBestPartTime, average);
}

void ConcurrencyLimit::updateBestPartTime(Duration average, MonotonicTime now)
{
    if (now >= m_windowStart + kBestTimeWindow) {
        m_windowStart = now;
        m_previousBestPartTime = m_bestPartTime;
        m_bestPartTime = Duration::max();
    }
    m_bestPartTime = std::min(m_bestPartTime, average);
}

} // namespace greengagestair
