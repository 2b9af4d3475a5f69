#pragma once

#include "core/membership/MembershipTimes.h"
#include "greengagestair/Messages.h"

#include <deque>
#include <map>

namespace greengagestair {

/**
 * The statements that other members make in heartbeat acks: grants for this host and failure
 * reports on other members. Membership stores them here; MemberListQuorum counts them.
 *
 * A statement is valid for kGrantDuration from the time at which this host sent the acked
 * heartbeat, so it never ends later here than at the member that made it.
 */
class ReceivedGrants
{
public:
    /** `own` is the incarnation of this process; acks to another one are ignored. */
    explicit ReceivedGrants(Incarnation own);

    /** Records a heartbeat to the cell. The sequence must be higher than the one before. */
    void onHeartbeatSent(std::uint64_t sequence, Revision memberListVersion, MonotonicTime now);

    /**
     * Stores the statements of an ack. Returns false and ignores the ack if it is for another
     * incarnation of this host, for a heartbeat that is no longer recorded, or older than an ack
     * that the same member sent before.
     */
    bool onAck(const HostId &from, Incarnation fromIncarnation, const HeartbeatAck &ack);

    /**
     * Time until which the issuer grants this host at this list version; MonotonicTime::min()
     * without a grant.
     */
    MonotonicTime grantedUntil(const HostId &issuer, Revision memberListVersion) const;
    /**
     * Time until which the issuer's failure report on the subject is valid; MonotonicTime::min()
     * without a report.
     */
    MonotonicTime reportedFailedUntil(const HostId &issuer, const HostId &subject) const;

private:
    struct SentHeartbeat
    {
        std::uint64_t sequence = 0;
        Revision memberListVersion;
        MonotonicTime at;
    };
    struct Statements
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;               ///< of the newest heartbeat that was acked
        std::map<Revision, MonotonicTime> grants; ///< end by list version; at most two are kept
        std::map<HostId, MonotonicTime> reports;  ///< end by subject
    };

    const SentHeartbeat *findSent(std::uint64_t sequence) const;
    static void applyGrant(Statements &statements, const SentHeartbeat &sent,
                           const HeartbeatAck &ack);
    static void applyReports(Statements &statements, const SentHeartbeat &sent,
                             const HeartbeatAck &ack);

    const Incarnation m_ownIncarnation;
    std::deque<SentHeartbeat> m_sentHeartbeats;
    std::map<HostId, Statements> m_statements;
};

} // namespace greengagestair
