#pragma once

#include "core/membership/MembershipTimes.h"
#include "greengagestair/Messages.h"

#include <deque>
#include <map>

namespace greengagestair {

/**
 * What the other members say: grants for this member and failure reports on others, each with the
 * time until which it is valid, counted from the sending of the heartbeat that was acked.
 */
class ReceivedGrants
{
public:
    explicit ReceivedGrants(Incarnation own);

    /** Notes a heartbeat to the cell; sequences rise. */
    void onHeartbeatSent(std::uint64_t sequence, Revision memberListVersion, MonotonicTime now);

    /** Takes an ack; false if it is for another incarnation, too old or out of order. */
    bool onAck(const HostId &from, Incarnation fromIncarnation, const HeartbeatAck &ack);

    /** Until when the member's grant for a heartbeat with this list version is valid. */
    MonotonicTime grantedUntil(const HostId &by, Revision memberListVersion) const;
    /** Until when the member's failure report on the subject is valid. */
    MonotonicTime reportedFailedUntil(const HostId &by, const HostId &subject) const;

private:
    struct Sent
    {
        std::uint64_t sequence = 0;
        Revision memberListVersion;
        MonotonicTime at;
    };
    struct Statements
    {
        Incarnation incarnation;
        std::uint64_t sequence = 0;               ///< of the newest heartbeat that was acked
        std::map<Revision, MonotonicTime> grants; ///< by list version; at most two are kept
        std::map<HostId, MonotonicTime> reports;
    };

    const Sent *findSent(std::uint64_t sequence) const;
    static void takeGrant(Statements &statements, const Sent &sent, const HeartbeatAck &ack);
    static void takeReports(Statements &statements, const Sent &sent, const HeartbeatAck &ack);

    const Incarnation m_own;
    std::deque<Sent> m_sent;
    std::map<HostId, Statements> m_statements;
};

} // namespace greengagestair
