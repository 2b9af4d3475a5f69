#pragma once

#include "gateway/RateShare.h"
#include "greengagestair/Messages.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

namespace greengagestair {

/** A question to the issuer or the standby that has no answer yet. */
struct QuotaQuestion
{
    std::uint64_t id = 0;
    HostId host;
    bool isToStandby = false;
    MonotonicTime askedAt;
    std::uint32_t wanted = 0;
    std::uint32_t used = 0;
};

/** One host's state for one tenant: what it may send, what it has sent and which requests wait. */
class QuotaHolder
{
public:
    /** A question without an answer for this time counts as unanswered. */
    static constexpr Duration kAnswerTime = std::chrono::milliseconds(12);
    /** Reports of requests that were sent without a permit are at least this far apart. */
    static constexpr Duration kReportInterval = std::chrono::milliseconds(10);
    /** Permits are valid for this time from the question on. */
    static constexpr Duration kPermitValidity = std::chrono::milliseconds(200);
    /** A host may send without asking first for this time after it was told so. */
    static constexpr Duration kFreeTime = std::chrono::seconds(60);

    /**
     * True if a request may be sent at once: `host`, which issues the permits now, has allowed it,
     * and fewer than `mostUnconfirmed` requests were sent since its last answer.
     */
    bool maySendFreely(const HostId &host, double mostUnconfirmed, MonotonicTime now) const;
    void allowFreely(const HostId &host, MonotonicTime now);
    /** From now on each request needs a permit; ends the permission of `host` or of any host. */
    void requirePermits() { m_freeFrom.reset(); }
    const std::optional<HostId> &freeFrom() const { return m_freeFrom; }

    /** Records a request that is sent without a permit and has to be reported. */
    void addUse(MonotonicTime now);
    /** Adds the requests of the last moments, which the former issuer may not have passed on. */
    void repeatRecentUses(MonotonicTime now);
    /** Uses up a permit; false if none is held. */
    bool takePermit(MonotonicTime now);
    void addPermits(std::uint32_t permits, MonotonicTime askedAt);
    /** Counts a request sent with a permit, for repeatRecentUses(). */
    void addRecentUse(MonotonicTime now);

    /** Starts a question with all that has to be reported. */
    const QuotaQuestion &startQuestion(std::uint64_t id, const HostId &host, bool isToStandby,
                                       MonotonicTime now);
    /** Ends the question; what it reported has to be reported again if it was not answered. */
    QuotaQuestion endQuestion(bool isAnswered);
    const std::optional<QuotaQuestion> &question() const { return m_question; }
    std::uint32_t unreported() const { return m_unreported; }
    /** Time at which something is due: the end of a question or a report; nullopt if nothing is. */
    std::optional<MonotonicTime> dueAt() const;

    std::deque<ExchangeId> waiting;       ///< requests that wait for a permit, in their order
    MonotonicTime refusedUntil;           ///< no permits can be had before
    MonotonicTime referredUntil;          ///< the issuer has referred this host to the standby
    MonotonicTime nextProbeAt;            ///< an issuer that is not asked now is tried again then
    std::uint64_t probe = 0;              ///< identifier of the last such trial
    std::optional<MonotonicTime> armedAt; ///< time of the timer, set by TenantQuotas
    RateShare fallback;                   ///< this host's share if neither host can be reached

private:
    std::optional<HostId> m_freeFrom;
    MonotonicTime m_freeUntil;
    std::uint32_t m_unreported = 0;
    std::uint32_t m_permits = 0;
    MonotonicTime m_permitsUntil;
    std::optional<QuotaQuestion> m_question;
    MonotonicTime m_nextReportAt;
    /** Requests in the current span of kRecentTime and in the one before. */
    std::array<std::uint32_t, 2> m_recent {};
    MonotonicTime m_recentSince;
};

} // namespace greengagestair
