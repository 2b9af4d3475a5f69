#include "core/sending/ServerLimiter.h"

#include "core/Assert.h"

#include <algorithm>

namespace greengagestair {

/** The newest answer has a weight of 1 / kRecentAnswerDivisor in the recent part time. */
static constexpr int kRecentAnswerDivisor = 16;

ServerLimiter::ServerLimiter(const ServerLimits &limits, MonotonicTime now, bool rampEnabled)
    : m_limits(limits)
    , m_rampEnabled(rampEnabled)
    , m_limit(limits.coldLimit)
    , m_recentPartTime(limits.warmPartTime)
    , m_lastAnswer(now)
{
}

void ServerLimiter::setLimits(const ServerLimits &limits)
{
    m_limits = limits;
    m_limit = std::clamp(m_limit, std::min(limits.coldLimit, limits.slots), limits.slots);
}

Duration ServerLimiter::slowPartTimeThreshold() const
{
    return kSlowAnswerFactor * std::max(m_recentPartTime, m_limits.warmPartTime);
}

void ServerLimiter::onAnswer(Duration partTime, MonotonicTime now)
{
    const bool wasIdle = now - m_lastAnswer - partTime > kIdleBeforeReset;
    if (wasIdle)
        resetToCold(now);
    m_lastAnswer = now;
    if (partTime > slowPartTimeThreshold()) {
        m_fastAnswers = 0;
        ++m_slowAnswers;
        if (m_slowAnswers >= kSlowAnswersUntilCold)
            m_limit = m_limits.coldLimit;
        return; // slow answers must not raise the average by which they are detected
    }
    m_slowAnswers = 0;
    m_recentPartTime += (partTime - m_recentPartTime) / kRecentAnswerDivisor;
    ++m_fastAnswers;
    if (m_fastAnswers >= kFastAnswersPerIncrease && m_limit < m_limits.slots) {
        ++m_limit;
        m_fastAnswers = 0;
    }
}

void ServerLimiter::onShed(MonotonicTime now)
{
    m_lastAnswer = now;
    m_fastAnswers = 0;
    m_limit = std::max(1, m_limit - 1);
}

void ServerLimiter::resetToCold(MonotonicTime now)
{
    m_lastAnswer = now;
    m_fastAnswers = 0;
    m_slowAnswers = 0;
    m_limit = m_limits.coldLimit;
    m_recentPartTime = m_limits.warmPartTime;
}

int ServerLimiter::limit(MonotonicTime now, Duration oldestInFlight) const
{
    if (!m_rampEnabled)
        return m_limits.slots;
    const bool idle = now - m_lastAnswer > kIdleBeforeColdLimit;
    const bool overdue = oldestInFlight > slowPartTimeThreshold();
    const bool mayBeCold = idle || overdue || m_slowAnswers > 0;
    const int limit = mayBeCold ? std::min(m_limit, m_limits.coldLimit) : m_limit;
    GREENGAGESTAIR_ASSERT(limit <= m_limits.slots);
    return limit;
}

} // namespace greengagestair
