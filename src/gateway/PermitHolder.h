#pragma once

#include "gateway/RateShare.h"
#include "greengagestair/Messages.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace greengagestair {

/** Whether a request may be sent to a server with regard to the limit that it has named. */
enum class Permission {
    Granted,
    Pending, ///< permits can be asked for, or the answer of the issuing host is due in a moment
    Denied
};

/**
 * The permits that this host holds for one backend server with a request limit, and its dialogue
 * with the host that issues them. While that host does not answer, this host's share of the part of
 * the limit that is not issued is used instead.
 */
class PermitHolder
{
public:
    /** Sets this host's share, in requests per second, for the time without an issuing host. */
    void setFallbackRate(double perSecond, MonotonicTime now);
    /** Whether a request may be sent now; asks for nothing. */
    Permission permission(MonotonicTime now, RandomSource &random);
    /** Records that a request would go to the server if that is permitted. */
    void addDemand(MonotonicTime now);
    /** Records that a request is sent. */
    void take(MonotonicTime now);

    /**
     * Number of permits to ask for now, which covers the demand of the next moment; 0 if none is
     * needed or none can be had now. At least one is needed if a request waits for it.
     */
    std::uint32_t permitsToRequest(bool isWaitedFor, MonotonicTime now) const;
    /** Records that permits are asked for; returns the identifier of the request. */
    std::uint64_t startRequest(MonotonicTime now);
    /** Records the answer; late ones and those to earlier requests count for nothing. */
    void addGrant(const PermitGrant &grant, MonotonicTime now, RandomSource &random);

private:
    struct Permits
    {
        std::uint32_t count = 0;
        MonotonicTime expiresAt;
    };

    /** True if no answer is due and no pause lasts. */
    bool mayRequest(MonotonicTime now) const;
    /** Permits that are still valid. */
    std::uint32_t held(MonotonicTime now) const;
    /** Requests per second that would go to the server. */
    double demandRate(MonotonicTime now) const;

    std::vector<Permits> m_permits; ///< by ascending expiry
    std::uint32_t m_wanted = 0;     ///< requests since permits were last asked for
    double m_demandRate = 0;
    MonotonicTime m_demandUpdatedAt;
    std::uint64_t m_lastRequest = 0;
    std::optional<MonotonicTime> m_requestedAt; ///< start of the request that has no answer yet
    MonotonicTime m_pauseUntil;                 ///< no permits can be had before
    RateShare m_fallback;
};

} // namespace greengagestair
