#pragma once

#include "core/membership/MembershipTimes.h"
#include "greengagestair/Configuration.h"

#include <optional>
#include <set>
#include <vector>

namespace greengagestair {

/**
 * How long this member must not use a server after changes of the member list.
 *
 * A member that has not learned of a new list may act on grants of the old one until they lapse.
 * A majority of the new list contains a member of each majority of the old one. Once a majority is
 * known to hold the new list, hence to have stopped granting at the old one, all grants at the old
 * list lapse within kGrantDuration; this class waits for kTakeoverDelay. It need not wait for a
 * server for which any member that may act at the old list and this one exclude each other anyway:
 * this one was listed before, and no member that ranks higher for the server was taken off the
 * list. (Consecutive lists differ by one host, so that their majorities intersect.) Members that
 * are gone cannot act and do not count.
 */
class HandoverDelays
{
public:
    explicit HandoverDelays(HostId self);

    /** Notes a new list; `gone` are the members whose processes the platform has ended. */
    void onNewList(Revision oldVersion, const std::vector<Member> &oldMembers, Revision newVersion,
                   const std::vector<Member> &newMembers, const std::set<HostId> &ended);

    /** Notes that a majority of the members, this one included, holds the newest list. */
    void onMajorityHoldsList(MonotonicTime now);

    /** The server must not be used before; kNever while the first majority is awaited. */
    MonotonicTime delayEnd(const ServerId &server) const;

private:
    /** One change of the list. */
    struct Step
    {
        bool comparable = false;     ///< this host was listed before, and at most one host changed
        std::vector<HostId> removed; ///< that may still act
        std::optional<MonotonicTime> firstMajority; ///< at this list or a later one
    };

    bool mustWait(const Step &step, const ServerId &server) const;

    HostId m_self;
    std::vector<Step> m_steps; ///< whose waits may not be over, oldest first
};

} // namespace greengagestair
