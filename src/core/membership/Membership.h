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
 * Says which entry host owns a backend server, and whether this one may send to it now.
 *
 * Exclusion rests on three classes: IssuedGrants (what this member says about others),
 * MemberListQuorum (what majorities of one list say) and HandoverDelays (between two lists).
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

    /** Whether a majority grants at the newest list; such a member may change the list. */
    bool hasCurrentMajority(MonotonicTime now) const;

    void onHeartbeat(StepContext &context, const PeerEnvelope &envelope,
                     const Heartbeat &heartbeat);
    void onHeartbeatAck(StepContext &context, const PeerEnvelope &envelope,
                        const HeartbeatAck &ack);
    void onJoinRequest(StepContext &context, const PeerEnvelope &envelope,
                       const JoinRequest &request);
    void onPeerLost(StepContext &context, const HostId &host);

    /** Follows document changes and sends the heartbeats that are due. */
    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const;

    /** Starts to leave: the servers are given up once the owner role is released. */
    void requestStop(StepContext &context);
    /** Told by the owner role whether it has nothing queued and nothing in flight. */
    void setOwnerIdle(bool released);

    boost::json::object dump(MonotonicTime now) const;

private:
    bool isOwnCell(const FailureDomainId &domain) const;
    /** Whether this incarnation has promised not to act, or is about to. */
    bool hasGivenUp() const;
    /** Whether this process may grant to others and counts itself as granting. */
    bool selfGrants() const;
    bool ranksFirstAmongHeard(const ServerId &server) const;

    void refresh(StepContext &context);
    void update(StepContext &context);
    void followDocuments(StepContext &context);
    void adoptList(StepContext &context, const MemberList &list, const std::set<HostId> &delisted);
    void trackFailures(MonotonicTime now);
    void noteMajority(StepContext &context);
    void updateTrust(StepContext &context);
    bool heardEnoughMembers() const;
    void noteListVersion(const HostId &host, Revision version);

    void sendToCell(StepContext &context);
    void sendToOtherCells(StepContext &context);
    void sendToSeeds(StepContext &context);
    void sendHeartbeat(StepContext &context, const HostId &host, const Endpoint &endpoint,
                       bool withDocuments);
    Heartbeat makeHeartbeat(bool withDocuments) const;
    void noteHeard(const PeerEnvelope &envelope, bool released, MonotonicTime now);

    void editList(StepContext &context);
    void askToJoin(StepContext &context);

    const ReducerOptions m_options;
    DocumentView &m_documents;
    IssuedGrants m_table;
    ReceivedGrants m_collector;
    MemberListQuorum m_current;
    std::optional<MemberListQuorum> m_previous; ///< its grants stay valid until they lapse
    DelistedMembers m_presence;
    std::set<HostId> m_currentGone;  ///< as counted at the newest list
    std::set<HostId> m_previousGone; ///< as counted when the previous list was replaced
    MemberListEditor m_editor;
    PeerHealth m_contacts;
    mutable std::map<FailureDomainId, std::pair<Revision, RendezvousRanking>> m_otherCells;

    /** Newest member list versions that the other members have shown to this process. */
    std::map<HostId, Revision> m_heardVersions;
    bool m_trusted = false; ///< the list is not older than one that this host has granted at
    std::map<HostId, MonotonicTime> m_failedSince;
    std::optional<MonotonicTime> m_majoritySince;

    std::uint64_t m_sequence = 0;
    MonotonicTime m_nextHeartbeat;
    MonotonicTime m_nextCrossCell;
    MonotonicTime m_nextSeeds;
    MonotonicTime m_nextEdit;
    std::vector<Endpoint> m_unheardSeeds;
    std::size_t m_joinAttempts = 0;
    bool m_leaving = false;
    bool m_ownerIdle = false;
    bool m_released = false; ///< announced; this incarnation never acts again
};

} // namespace greengagestair
