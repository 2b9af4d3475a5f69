#pragma once

#include "core/Interfaces.h"
#include "core/membership/DelistedMembers.h"
#include "core/membership/IssuedGrants.h"
#include "core/membership/MemberListEditor.h"
#include "core/membership/MemberListQuorum.h"
#include "core/membership/PeerHealth.h"
#include "core/membership/ReceivedGrants.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <optional>
#include <vector>

namespace greengagestair {

/**
 * Decides which entry host owns a backend server, and whether this host may send to it now.
 *
 * A cell is the set of entry hosts of one failure domain. Its members exchange heartbeats and grant
 * each other, by majority, the right to send. The reducer passes peer messages and ticks to this
 * class; the entry role and the owner role query it through OwnershipView.
 *
 * At most one member of a cell may send to a backend server at any time. Three classes guarantee
 * this: IssuedGrants (a member never has a grant and a failure report on the same member valid at
 * once), MemberListQuorum (majorities of one list version) and HandoverDelays (changes from one
 * list version to the next).
 */
class Membership : public OwnershipView
{
public:
    Membership(const ReducerOptions &options, DocumentView &documents, DocumentWriter &writer);

    std::optional<Member> ownerOf(const ServerId &server, MonotonicTime now) const override;
    bool maySendTo(const ServerId &server, MonotonicTime now) const override;
    std::optional<OwnershipStart> ownershipStart(const ServerId &server,
                                                 MonotonicTime now) const override;
    MonotonicTime grantsUntil(MonotonicTime now) const override;

    /**
     * Whether this host holds grants of a majority at the newest member list. Only then may it add
     * or remove members.
     */
    bool hasCurrentMajority(MonotonicTime now) const;

    /** Answers a heartbeat with an ack, unless a former process of the host sent it. */
    void onHeartbeat(StepContext &context, const PeerEnvelope &envelope,
                     const Heartbeat &heartbeat);
    /** Stores the grant and the failure reports of an ack and recounts the majorities. */
    void onHeartbeatAck(StepContext &context, const PeerEnvelope &envelope,
                        const HeartbeatAck &ack);
    /**
     * Adds the sender to the member list. Refuses the request if this host may not change the list
     * now, if the sender needs no new entry, or if the host list does not contain the sender.
     */
    void onJoinRequest(StepContext &context, const PeerEnvelope &envelope,
                       const JoinRequest &request);
    /** Avoids a host of another cell for a while after the connection to it was lost. */
    void onPeerLost(StepContext &context, const HostId &host);

    /**
     * Adopts changed documents, then sends the heartbeats and starts the member list changes that
     * are due. Call it after every event and at nextWakeUp().
     */
    void onTick(StepContext &context);
    /** Time at which onTick() has work to do if no event comes before. */
    MonotonicTime nextWakeUp() const;

    /**
     * Starts to leave the cell. This host releases its servers in the first onTick() that finds the
     * owner role idle, see setOwnerIdle().
     */
    void requestStop(StepContext &context);
    /** Sets whether the owner role has nothing queued and nothing in flight. */
    void setOwnerIdle(bool idle);

    /** State of the member list and the grants as a JSON object, for the reducer's dump. */
    boost::json::object dump(MonotonicTime now) const;

private:
    bool isOwnCell(const FailureDomainId &domain) const;
    /** Whether this process has announced that it sends no more, or does so in the next tick. */
    bool hasReleasedServers() const;
    /** Whether this process may grant to other members and counts its own grant. */
    bool canGrant() const;
    /** Ownership rule while the switch `ownershipGrants` is off; it does not exclude two owners. */
    bool ranksFirstAmongReachable(const ServerId &server) const;

    /**
     * Ends all grants and reports that have expired by now. Runs before an event is applied, so
     * that they end even if the event renews them.
     */
    void expireStatements(StepContext &context);
    /** Recounts the majorities of the current and the previous list. */
    void updateMajorities(StepContext &context);
    void applyDocuments(StepContext &context);
    void adoptList(StepContext &context, const MemberList &list, const std::set<HostId> &delisted);
    /** Updates m_failedSince. */
    void trackFailures(MonotonicTime now);
    void updateMajoritySince(StepContext &context);
    void updateListConfirmed(StepContext &context);
    bool enoughMembersConfirmList() const;
    void recordListVersion(const HostId &host, Revision version);

    void sendToCell(StepContext &context);
    void sendToOtherCells(StepContext &context);
    void sendToSeeds(StepContext &context);
    void sendHeartbeat(StepContext &context, const HostId &host, const Endpoint &endpoint,
                       bool withDocuments);
    Heartbeat makeHeartbeat(bool withDocuments) const;
    void onPeerMessage(const PeerEnvelope &envelope, bool released, MonotonicTime now);

    void editList(StepContext &context);
    void sendJoinRequest(StepContext &context);

    const ReducerOptions m_options;
    DocumentView &m_documents;
    IssuedGrants m_issuedGrants;
    ReceivedGrants m_receivedGrants;
    MemberListQuorum m_currentQuorum;
    std::optional<MemberListQuorum> m_previousQuorum; ///< kept until its grants have expired
    DelistedMembers m_delistedMembers;
    std::set<HostId> m_currentEnded;  ///< excluded from the majorities of the newest list
    std::set<HostId> m_previousEnded; ///< m_currentEnded when the previous list was replaced
    MemberListEditor m_editor;
    PeerHealth m_peerHealth;
    mutable std::map<FailureDomainId, std::pair<Revision, RendezvousRanking>> m_otherCells;

    /** Newest member list version that each other member has sent to this process. */
    std::map<HostId, Revision> m_peerListVersions;
    /** Whether the list is known to be at least as new as every one that this host granted at. */
    bool m_listConfirmed = false;
    std::map<HostId, MonotonicTime> m_failedSince; ///< members that a majority reports as failed
    std::optional<MonotonicTime> m_majoritySince;  ///< start of the grants held without a gap

    std::uint64_t m_sequence = 0;
    MonotonicTime m_nextHeartbeat;
    MonotonicTime m_nextCrossCellHeartbeat;
    MonotonicTime m_nextSeedHeartbeat;
    MonotonicTime m_nextListEdit;
    std::vector<Endpoint> m_unansweredSeeds; ///< seeds that have not sent a message yet
    std::size_t m_joinAttempts = 0;
    bool m_leaving = false;
    bool m_ownerIdle = false;
    bool m_released = false; ///< announced; this process never sends to a server again
};

} // namespace greengagestair
