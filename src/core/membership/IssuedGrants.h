#pragma once

#include "core/membership/MembershipTimes.h"
#include "greengagestair/Configuration.h"
#include "greengagestair/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace greengagestair {

/**
 * The statements that this host makes about each other member of its cell: a grant (Granting), a
 * failure report (Failed), or neither (Clearing). Membership sends them in heartbeat acks.
 *
 * A host never makes both statements about a member at once, and it leaves at least kTakeoverDelay
 * between the last statement of one kind and the first of the other. Each is valid for
 * kGrantDuration only, so a majority that grants a member and a majority that reports it as failed
 * are never valid together: they would share a host that made both statements.
 */
class IssuedGrants
{
public:
    /** A change of the state of a member. */
    struct Transition
    {
        HostId member;
        GrantState state = GrantState::Clearing;
    };

    /**
     * Sets the members, all but `self`. A new member starts in Clearing, and so does every member
     * after a restart of this host: statements that a former process of this host made, or this
     * one before the member was removed and added again, may still be valid.
     */
    void setMembers(const std::vector<Member> &members, const HostId &self, MonotonicTime now);

    /**
     * Marks as failed each member whose last acked heartbeat is kTakeoverDelay or longer ago.
     * Returns the members that it has marked.
     */
    std::vector<Transition> detectFailures(MonotonicTime now);

    /**
     * Whether the incarnation is at least as new as any known one of the member. Only then may its
     * heartbeat be acked.
     */
    bool isCurrentIncarnation(const HostId &member, Incarnation incarnation) const;

    /**
     * Records a heartbeat that is about to be acked and returns the statement about its sender for
     * the ack. The ack grants only with `mayGrant`, which is false if the sender has another list
     * version or if this host's list is not confirmed. Call detectFailures() with the same time
     * before.
     */
    GrantState onHeartbeat(const HostId &member, Incarnation incarnation, bool released,
                           bool mayGrant, MonotonicTime now);

    /**
     * Returns the statements about all members but the receiver of the ack, and records the failure
     * reports among them as made at `now`.
     */
    std::vector<MemberReport> reports(const HostId &receiver, MonotonicTime now);

    /** State of a member: Failed if it has released its servers, Clearing if it is unknown. */
    GrantState state(const HostId &member) const;
    /** Whether the member's newest process has announced that it sends to no server again. */
    bool isReleased(const HostId &member) const;
    /**
     * Whether a heartbeat of the member arrived within kTakeoverDelay before the last call of
     * detectFailures().
     */
    bool hasRecentHeartbeat(const HostId &member) const;

private:
    struct Entry
    {
        GrantState state = GrantState::Clearing;
        Incarnation incarnation;
        bool released = false; ///< this incarnation never sends to a server again
        MonotonicTime clearingSince;
        MonotonicTime lastAck; ///< time of creation if no heartbeat was acked
        bool recentHeartbeat = false;
        std::optional<MonotonicTime> lastGrant;
        std::optional<MonotonicTime> lastReport;
    };

    static GrantState statement(const Entry &entry);
    static void startClearing(Entry &entry, MonotonicTime now);
    static void recordReport(Entry &entry, MonotonicTime now);
    static void recordGrant(Entry &entry, MonotonicTime now);

    std::map<HostId, Entry> m_entries;
};

} // namespace greengagestair
