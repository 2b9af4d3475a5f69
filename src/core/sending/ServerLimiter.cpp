#include "core/sending/ServerLimiter.h"

#include "core/Assert.h"

#include <algorithm>

namespace greengagestair {

/** Weight of the newest answer in the recent part time is 1 in this. */
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
        return; // a straggler must not raise the estimate that detects stragglers
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
    const bool doubtful = idle || overdue || m_slowAnswers > 0;
    const int limit = doubtful ? std::min(m_limit, m_limits.coldLimit) : m_limit;
    GREENGAGESTAIR_ASSERT(limit <= m_limits.slots);
    return limit;
}

} // namespace greengagestair
