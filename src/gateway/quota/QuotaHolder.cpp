#include "gateway/quota/QuotaHolder.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/** The issuer tells the standby of each request within this time, with some delay on the way. */
static constexpr Duration kRecentTime = std::chrono::milliseconds(110);

bool QuotaHolder::maySendFreely(const HostId &host, double mostUnconfirmed, MonotonicTime now) const
{
    const std::uint32_t unconfirmed = m_unreported + (m_question ? m_question->used : 0);
    return m_freeFrom == host && now < m_freeUntil && unconfirmed < mostUnconfirmed;
}

void QuotaHolder::allowFreely(const HostId &host, MonotonicTime now)
{
    m_freeFrom = host;
    m_freeUntil = now + kFreeTime;
}

void QuotaHolder::addRecentUse(MonotonicTime now)
{
    if (now >= m_recentSince + kRecentTime) {
        const bool isAdjacent = now < m_recentSince + 2 * kRecentTime;
        m_recent = { 0, isAdjacent ? m_recent[0] : 0 };
        m_recentSince = now;
    }
    ++m_recent[0];
}

void QuotaHolder::addUse(MonotonicTime now)
{
    ++m_unreported;
    addRecentUse(now);
}

void QuotaHolder::repeatRecentUses(MonotonicTime now)
{
    const bool isOld = now >= m_recentSince + 2 * kRecentTime;
    const std::uint32_t recent = isOld ? 0 : m_recent[0] + m_recent[1];
    // What was not reported at all is among the recent ones, unless it is older.
    m_unreported = std::max(m_unreported, recent);
    m_recent = {};
}

bool QuotaHolder::takePermit(MonotonicTime now)
{
    if (m_permits == 0 || now >= m_permitsUntil)
        return false;
    --m_permits;
    return true;
}

void QuotaHolder::addPermits(std::uint32_t permits, MonotonicTime askedAt)
{
    // Older ones count as used, which errs on the low side.
    m_permits = permits;
    m_permitsUntil = askedAt + kPermitValidity;
}

const QuotaQuestion &QuotaHolder::startQuestion(std::uint64_t id, const HostId &host,
                                                bool isToStandby, MonotonicTime now)
{
    m_question = QuotaQuestion { id,
                                 host,
                                 isToStandby,
                                 now,
                                 static_cast<std::uint32_t>(waiting.size()),
                                 std::exchange(m_unreported, 0) };
    m_nextReportAt = now + kReportInterval;
    return *m_question;
}

QuotaQuestion QuotaHolder::endQuestion(bool isAnswered)
{
    QuotaQuestion ended = *std::exchange(m_question, std::nullopt);
    if (!isAnswered)
        m_unreported += ended.used;
    return ended;
}

std::optional<MonotonicTime> QuotaHolder::dueAt() const
{
    if (m_question)
        return m_question->askedAt + kAnswerTime;
    if (m_unreported > 0)
        return m_nextReportAt;
    return std::nullopt;
}

} // namespace greengagestair
