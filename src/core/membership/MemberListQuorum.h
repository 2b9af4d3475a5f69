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
 * One version of the cell's member list with the grants and failure reports of its majorities.
 * Membership keeps one for the newest list and one for the list before it.
 *
 * This host may send to a server only while a majority grants it and a majority reports each member
 * that ranks higher as failed. Two members of one list therefore never own a server at once: any
 * two majorities share a member, which would have to grant the higher-ranked member and report it
 * as failed at the same time. IssuedGrants prevents that.
 */
class MemberListQuorum
{
public:
    explicit MemberListQuorum(const HostId &self);

    /**
     * Returns the quorum of the list that follows this one. `ended` are the members whose processes
     * the platform has ended.
     */
    MemberListQuorum makeSuccessor(Revision version, const MemberList &list,
                                   const std::set<HostId> &ended) const;

    /** Ends this host's grant to itself: it has adopted a newer list. */
    void onSuperseded(MonotonicTime now) { m_selfGrantEnd = now + kGrantDuration; }

    /**
     * Recounts the majorities. `heldVersions` are the newest list versions that the other members
     * have sent; `ended` members do not count; `selfGrants` is whether this host may grant.
     */
    void update(const IssuedGrants &issued, const ReceivedGrants &received,
                const std::set<HostId> &ended, const std::map<HostId, Revision> &heldVersions,
                bool selfGrants, MonotonicTime now);

    /** Version of the member list; 0 without a list. */
    Revision version() const { return m_version; }
    const std::vector<Member> &members() const { return m_ranking.members(); }
    /** Null if the host is not a member. */
    const Member *find(const HostId &host) const;
    bool containsSelf() const { return find(m_self) != nullptr; }
    /** Size of a majority of the members that have not ended. */
    std::size_t majority() const { return m_majority; }

    /** Time until which a majority grants this host; MonotonicTime::min() if none does. */
    MonotonicTime grantsUntil() const { return m_grantsUntil; }
    /** Whether this host may send to the server at `now`. */
    bool isActiveOwner(const ServerId &server, MonotonicTime now) const;
    /** The first-ranked member that no majority reports as failed; null if there is none. */
    const Member *owner(const ServerId &server, MonotonicTime now) const;
    /** Whether a majority reports the member as failed, or it has ended. */
    bool isFailed(const HostId &host, MonotonicTime now) const;
    /** Members that rank higher than this host for the server. */
    std::vector<const Member *> higherRanked(const ServerId &server) const;
    /** Time before which changes of the list forbid this host to use the server. */
    MonotonicTime delayEnd(const ServerId &server) const
    {
        return m_handoverDelays.delayEnd(server);
    }

private:
    /** Whether a majority is known to hold this list or a later one. */
    bool isHeldByMajority(const std::map<HostId, Revision> &heldVersions,
                          const std::set<HostId> &ended) const;
    MonotonicTime computeGrantsEnd(const ReceivedGrants &received, const std::set<HostId> &ended,
                                   bool selfGrants) const;
    MonotonicTime computeFailedEnd(const HostId &subject, const IssuedGrants &issued,
                                   const ReceivedGrants &received,
                                   const std::set<HostId> &ended) const;
    /** Time until which a majority of the statements with the given ends is valid. */
    MonotonicTime majorityEnd(std::vector<MonotonicTime> ends) const;

    HostId m_self;
    Revision m_version;
    RendezvousRanking m_ranking;
    HandoverDelays m_handoverDelays;
    MonotonicTime m_selfGrantEnd = kNever;
    std::size_t m_majority = 0;
    MonotonicTime m_grantsUntil = MonotonicTime::min();
    std::vector<MonotonicTime> m_failedUntil; ///< by index in members()
};

} // namespace greengagestair
