#pragma once

#include "core/StepContext.h"
#include "core/membership/HandoverDelays.h"
#include "core/membership/IssuedGrants.h"
#include "core/membership/ReceivedGrants.h"
#include "core/membership/RendezvousRanking.h"

#include <map>
#include <set>
#include <vector>

namespace greengagestair {

/**
 * One version of the cell's member list with what majorities of its members say.
 *
 * This host may act for a server only while a majority grants it and a majority reports each member
 * that ranks higher as failed. Two members of one list cannot both act for a server: the one that
 * ranks lower needs a failure report on the other from a member that grants the other, and
 * IssuedGrants excludes that.
 */
class MemberListQuorum
{
public:
    explicit MemberListQuorum(const HostId &self);

    /** The view of the list that follows this one. */
    MemberListQuorum next(Revision version, const MemberList &list,
                          const std::set<HostId> &ended) const;

    /** Notes that this host has taken a newer list: it grants itself no more at this one. */
    void onSuperseded(MonotonicTime now) { m_selfGrantEnd = now + kGrantDuration; }

    /**
     * Counts again what the members say. `heldVersions` are the newest list versions that the
     * others have shown; `selfGrants` tells whether this host may grant.
     */
    void update(const IssuedGrants &own, const ReceivedGrants &others,
                const std::set<HostId> &ended, const std::map<HostId, Revision> &heldVersions,
                bool selfGrants, MonotonicTime now);

    Revision version() const { return m_version; }
    const std::vector<Member> &members() const { return m_ranking.members(); }
    const Member *find(const HostId &host) const;
    bool containsSelf() const { return find(m_self) != nullptr; }
    /** Of the members that are not gone. */
    std::size_t majority() const { return m_majority; }

    /** Until when a majority grants; a time in the past if none does. */
    MonotonicTime grantsUntil() const { return m_grantsUntil; }
    /** Whether this host may act for the server. */
    bool holds(const ServerId &server, MonotonicTime now) const;
    /** The first-ranked member that no majority reports as failed; null if there is none. */
    const Member *owner(const ServerId &server, MonotonicTime now) const;
    bool isFailed(const HostId &host, MonotonicTime now) const;
    /** Members that rank higher than this host for the server. */
    std::vector<const Member *> higherRanked(const ServerId &server) const;
    /** End of the wait that changes of the list cause. */
    MonotonicTime delayEnd(const ServerId &server) const { return m_waits.delayEnd(server); }

private:
    bool isHeldByMajority(const std::map<HostId, Revision> &heldVersions,
                          const std::set<HostId> &ended) const;
    MonotonicTime countGrants(const ReceivedGrants &others, const std::set<HostId> &ended,
                              bool selfGrants) const;
    MonotonicTime countReports(const HostId &subject, const IssuedGrants &own,
                               const ReceivedGrants &others, const std::set<HostId> &ended) const;
    MonotonicTime reachedByMajority(std::vector<MonotonicTime> ends) const;

    HostId m_self;
    Revision m_version;
    RendezvousRanking m_ranking;
    HandoverDelays m_waits;
    MonotonicTime m_selfGrantEnd = kNever;
    std::size_t m_majority = 0;
    MonotonicTime m_grantsUntil = MonotonicTime::min();
    std::vector<MonotonicTime> m_failedUntil; ///< by index of the member
};

} // namespace greengagestair
