#include "gateway/PermitHolder.h"

#include "gateway/PermitIssuer.h"

#include <algorithm>
#include <cmath>

namespace greengagestair {

/** Requests wait for the issuing host's answer for this time at most. */
static constexpr Duration kAnswerTime = std::chrono::milliseconds(12);
/** A request for permits without an answer is repeated after this time. */
static constexpr Duration kRepeatTime = std::chrono::milliseconds(250);
/** Permits for the demand of this time are asked for ahead. */
static constexpr std::chrono::duration<double> kAheadTime(0.2);
/** Time constant of the demand's moving average. */
static constexpr std::chrono::duration<double> kDemandTime(1.0);
static constexpr std::uint32_t kMaxPermits = 1000;

void PermitHolder::setFallbackRate(double perSecond, MonotonicTime now)
{
    m_fallback.setRate(perSecond, now);
}

std::uint32_t PermitHolder::held(MonotonicTime now) const
{
    std::uint32_t held = 0;
    for (const Permits &permits : m_permits) {
        if (now < permits.expiresAt)
            held += permits.count;
    }
    return held;
}

Permission PermitHolder::permission(MonotonicTime now, RandomSource &random)
{
    if (held(now) > 0)
        return Permission::Granted;
    if (m_requestedAt && now < *m_requestedAt + kAnswerTime)
        return Permission::Pending;
    // The issuing host has not answered in time.
    if (m_requestedAt && m_fallback.mayTake(now, random))
        return Permission::Granted;
    return mayRequest(now) ? Permission::Pending : Permission::Denied;
}

double PermitHolder::demandRate(MonotonicTime now) const
{
    const std::chrono::duration<double> age = now - m_demandUpdatedAt;
    return m_demandRate * std::exp(-age / kDemandTime);
}

void PermitHolder::addDemand(MonotonicTime now)
{
    m_demandRate = demandRate(now) + 1 / kDemandTime.count();
    m_demandUpdatedAt = now;
    m_wanted = std::min(m_wanted + 1, kMaxPermits);
}

void PermitHolder::take(MonotonicTime now)
{
    std::erase_if(m_permits, [now](const Permits &permits) {
        return permits.expiresAt <= now || permits.count == 0;
    });
    if (m_wanted > 0)
        --m_wanted;
    if (m_permits.empty())
        m_fallback.take(now);
    else
        --m_permits.front().count;
}

bool PermitHolder::mayRequest(MonotonicTime now) const
{
    return now >= m_pauseUntil && (!m_requestedAt || now >= *m_requestedAt + kRepeatTime);
}

std::uint32_t PermitHolder::permitsToRequest(bool isWaitedFor, MonotonicTime now) const
{
    if (!mayRequest(now))
        return 0;
    const double ahead = std::floor(demandRate(now) * kAheadTime.count());
    const std::uint32_t waiting = std::max<std::uint32_t>(m_wanted, isWaitedFor ? 1 : 0);
    const std::uint32_t wanted =
            waiting + static_cast<std::uint32_t>(std::min<double>(ahead, kMaxPermits));
    const std::uint32_t holding = held(now);
    // Asked for only once half of the stock is used, so that one message brings several permits.
    return holding * 2 > wanted ? 0 : std::min(wanted - holding, kMaxPermits);
}

std::uint64_t PermitHolder::startRequest(MonotonicTime now)
{
    m_requestedAt = now;
    m_wanted = 0;
    return ++m_lastRequest;
}

void PermitHolder::addGrant(const PermitGrant &grant, MonotonicTime now, RandomSource &random)
{
    if (grant.id != m_lastRequest || !m_requestedAt)
        return;
    const MonotonicTime expiresAt = *m_requestedAt + kPermitValidity;
    m_requestedAt.reset();
    if (grant.permits > 0 && now < expiresAt)
        m_permits.push_back({ grant.permits, expiresAt });
    if (grant.permits == 0) {
        // Hosts that were turned away together ask again at different times.
        const double factor = 1 + std::generate_canonical<double, 32>(random);
        const auto pause = static_cast<double>(grant.pause.count()) * factor;
        m_pauseUntil = now + Duration(static_cast<Duration::rep>(pause));
    }
}

} // namespace greengagestair
