#include "core/sending/ConcurrencyLimit.h"

#include <algorithm>

namespace greengagestair {

static constexpr Duration kMinEpoch = std::chrono::milliseconds(50);
static constexpr std::size_t kMinParts = 30;
static constexpr Duration kBestWindow = std::chrono::seconds(15);
/** A straggler counts as this multiple of the best time, so that 1 in 100 hardly matters. */
static constexpr int kStragglerCap = 4;
/** The best time stays within this multiple of the declared one: a host that starts under overload
 * would otherwise take long part times for normal. */
static constexpr int kMaxBestFactor = 3;
static constexpr double kMaxRefusedShare = 0.02;
static constexpr double kSlowFactor = 1.5;
static constexpr double kFastFactor = 1.25;
static constexpr double kDecrease = 0.85;
/** Decreases after which a queue would have drained. */
static constexpr int kMaxSlowEpochs = 8;
static constexpr double kIncreaseShare = 0.1;
static constexpr double kIncreaseStep = 0.05;
/** Keeps some work going, from which a recovery is noticed. */
static constexpr double kMinLimit = 0.2;

ConcurrencyLimit::ConcurrencyLimit(double initial, Duration warmPartTime)
    : m_value(initial)
    , m_warmPartTime(warmPartTime)
    , m_maxBest(warmPartTime * kMaxBestFactor)
{
}

void ConcurrencyLimit::addAnswer(Duration partTime, MonotonicTime now)
{
    ++m_answers;
    m_totalTime += std::min(partTime, bestPartTime() * kStragglerCap);
    endEpochIfDue(now);
}

void ConcurrencyLimit::addRefusal(MonotonicTime now)
{
    ++m_refusals;
    endEpochIfDue(now);
}

Duration ConcurrencyLimit::bestPartTime() const
{
    const Duration best = std::min(m_best, m_previousBest);
    return std::clamp(best, m_warmPartTime, m_maxBest);
}

void ConcurrencyLimit::endEpochIfDue(MonotonicTime now)
{
    if (m_answers + m_refusals < kMinParts || now < m_epochStart + kMinEpoch)
        return;
    adjust(now);
    m_epochStart = now;
    m_answers = 0;
    m_refusals = 0;
    m_totalTime = {};
    m_limitReached = false;
}

void ConcurrencyLimit::adjust(MonotonicTime now)
{
    const double refusedShare =
            static_cast<double>(m_refusals) / static_cast<double>(m_answers + m_refusals);
    if (m_answers == 0 || refusedShare > kMaxRefusedShare) {
        m_value = std::max(kMinLimit, m_value * kDecrease);
        return;
    }
    const Duration average = m_totalTime / static_cast<Duration::rep>(m_answers);
    updateBest(average, now);
    const double ratio = static_cast<double>(average.count())
            / static_cast<double>(std::max(bestPartTime(), Duration(1)).count());
    if (ratio > kSlowFactor) {
        decreaseForLatency(average, now);
        return;
    }
    m_slowEpochs = 0;
    if (ratio < kFastFactor && m_limitReached)
        m_value += m_value * kIncreaseShare + kIncreaseStep;
}

void ConcurrencyLimit::decreaseForLatency(Duration average, MonotonicTime now)
{
    if (++m_slowEpochs <= kMaxSlowEpochs) {
        m_value = std::max(kMinLimit, m_value * kDecrease);
        return;
    }
    // The parts stay slow at a quarter of the load: the servers are slow, not overloaded.
    m_slowEpochs = 0;
    m_best = average;
    m_previousBest = average;
    m_windowStart = now;
    m_maxBest = std::max(m_maxBest, average);
}

void ConcurrencyLimit::updateBest(Duration average, MonotonicTime now)
{
    if (now >= m_windowStart + kBestWindow) {
        m_windowStart = now;
        m_previousBest = m_best;
        m_best = Duration::max();
    }
    m_best = std::min(m_best, average);
}

} // namespace greengagestair
