#pragma once

#include "core/membership/MembershipTimes.h"
#include "greengagestair/Configuration.h"
#include "greengagestair/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace greengagestair {

/**
 * What this member says about each other member of its cell: grant, failure report, or neither.
 *
 * At any time it gives at most one of the two statements about a member, and it keeps
 * kTakeoverDelay between the last statement of one kind and the first of the other. Since each is
 * valid for kGrantDuration only, a majority that grants a member and a majority that reports it
 * failed cannot be valid together: they would share a member that gave both statements.
 */
class IssuedGrants
{
public:
    /** A change of what is said about a member. */
    struct Transition
    {
        HostId member;
        GrantState state = GrantState::Clearing;
    };

    /** New members start in Clearing, as everyone does for a new process: statements that an
     * earlier process of this host, or an earlier listing, gave may still be valid. */
    void setMembers(const std::vector<Member> &members, const HostId &self, MonotonicTime now);

    /** Marks as failed the members that were not acked for kTakeoverDelay. */
    std::vector<Transition> refresh(MonotonicTime now);

    /** Whether the heartbeat is from the newest known incarnation, and so may be acked. */
    bool isCurrentIncarnation(const HostId &member, Incarnation incarnation) const;

    /**
     * Notes a heartbeat that is about to be acked and returns what the ack says about its sender.
     * Without `mayGrant` (another list version, or a list that is not confirmed) the ack is no
     * grant. `refresh` must have been called for the same time.
     */
    GrantState onHeartbeat(const HostId &member, Incarnation incarnation, bool released,
                           bool mayGrant, MonotonicTime now);

    /** What an ack says about all members but its receiver. */
    std::vector<MemberReport> reports(const HostId &receiver, MonotonicTime now);

    /** Failed for a member that has released its servers. */
    GrantState state(const HostId &member) const;
    bool isReleased(const HostId &member) const;
    /** Whether the member's heartbeats arrived within kTakeoverDelay. */
    bool hasRecentHeartbeat(const HostId &member) const;

private:
    struct Entry
    {
        GrantState state = GrantState::Clearing;
        Incarnation incarnation;
        bool released = false; ///< this incarnation never acts again
        MonotonicTime clearingSince;
        MonotonicTime lastAck; ///< or the time at which the entry was made
        bool heard = false;
        std::optional<MonotonicTime> lastGrant;
        std::optional<MonotonicTime> lastReport;
    };

    static GrantState statement(const Entry &entry);
    static void startClearing(Entry &entry, MonotonicTime now);
    static void noteReport(Entry &entry, MonotonicTime now);
    static void noteGrant(Entry &entry, MonotonicTime now);

    std::map<HostId, Entry> m_entries;
};

} // namespace greengagestair
