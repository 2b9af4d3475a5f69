#pragma once

#include "core/membership/MembershipTimes.h"
#include "greengagestair/Configuration.h"

#include <optional>
#include <set>
#include <vector>

namespace greengagestair {

/**
 * How long this host must not use a server after changes of the member list. MemberListQuorum
 * checks these delays before it lets this host own a server.
 *
 * A member that does not have the new list yet may send to servers on grants of the old list until
 * they expire. Consecutive lists differ by one host, so every majority of the new list contains a
 * member of each majority of the old one. Once a majority holds the new list, it no longer grants
 * at the old list, and all grants at the old list expire within kGrantDuration. This class waits
 * for kTakeoverDelay.
 *
 * The delay is not needed for a server if this host was a member of the old list and no member that
 * ranks higher for the server was removed: the failure reports and grants then already exclude
 * this host and any owner at the old list from each other. Members that have ended cannot send to a
 * server and are ignored.
 */
class HandoverDelays
{
public:
    explicit HandoverDelays(HostId self);

    /** Records a new list. `ended` are the members whose processes the platform has ended. */
    void onNewList(Revision oldVersion, const std::vector<Member> &oldMembers, Revision newVersion,
                   const std::vector<Member> &newMembers, const std::set<HostId> &ended);

    /** Records that a majority of the members, including this host, holds the newest list. */
    void onMajorityHoldsList(MonotonicTime now);

    /**
     * Time before which this host must not use the server: kNever until a majority holds the list,
     * MonotonicTime::min() without a delay.
     */
    MonotonicTime delayEnd(const ServerId &server) const;

private:
    /** The change from one list that this host had to the next. */
    struct ListChange
    {
        /** Whether this host was a member before, and at most one host was added or removed. */
        bool isSingleChange = false;
        std::vector<HostId> removed; ///< removed members that may still send to servers
        /** Time at which a majority was first known to hold this list or a later one. */
        std::optional<MonotonicTime> firstMajority;
    };

    bool requiresDelay(const ListChange &change, const ServerId &server) const;

    HostId m_self;
    std::vector<ListChange> m_changes; ///< changes whose delay may not be over, oldest first
};

} // namespace greengagestair
