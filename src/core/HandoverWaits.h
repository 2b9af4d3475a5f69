#pragma once

#include "core/MembershipTimes.h"
#include "greengagestair/Configuration.h"

#include <optional>
#include <set>
#include <vector>

namespace greengagestair {

/**
 * How long this member must not use a server after changes of the member list.
 *
 * A member that has not learned of a new list may act on grants of the old one until they lapse.
 * Each majority at the new list contains a member that granted at the old one and has stopped doing
 * so, hence kTakeoverSilence after its first majority at the new list a member knows that all
 * grants of older lists have lapsed. It need not wait for a server for which any member that may
 * act at the old list and this one exclude each other anyway: this one was listed before, and no
 * member that ranks higher for the server was taken off the list. (Consecutive lists differ by one
 * host, so that their majorities intersect.) Members that are gone cannot act and do not count.
 */
class HandoverWaits
{
public:
    explicit HandoverWaits(HostId self);

    /** Notes a new list; `gone` are the members whose processes the platform has ended. */
    void onNewList(Revision oldVersion, const std::vector<Member> &oldMembers, Revision newVersion,
                   const std::vector<Member> &newMembers, const std::set<HostId> &gone);

    /** Notes that a majority grants at the newest list. */
    void onMajority(MonotonicTime now);

    /** The server must not be used before; kNever while the first majority is awaited. */
    MonotonicTime waitEnd(const ServerId &server) const;

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
