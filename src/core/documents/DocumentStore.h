#pragma once

#include "core/Interfaces.h"
#include "core/documents/DocumentSet.h"
#include "core/documents/DocumentUpdater.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace greengagestair {

/**
 * Replicates the documents of the platform on this host. It adopts newer versions from the platform
 * and from peers and sends them on to peers; a version in force is only ever replaced by a higher
 * one. The other modules of the core read the documents through DocumentView.
 *
 * In each cell, the two members that rank highest for a document's key, among those from which
 * messages arrived recently, watch the document in the platform. Every host also reads each
 * document at long intervals, so that a cell gets updates even if its watchers reach their peers
 * but not the platform.
 */
class DocumentStore : public DocumentView, public DocumentWriter
{
public:
    DocumentStore(const ReducerOptions &options, PlatformAccess &platform);

    const Configuration *configuration() const override;
    Revision configurationVersion() const override;
    const ServiceSnapshots *snapshots(const ServiceId &service) const override;
    const MemberList *members(const FailureDomainId &domain) const override;
    Revision memberListVersion(const FailureDomainId &domain) const override;
    const HostList *hostList() const override;
    Revision hostListVersion() const override;
    const QuarantineList &quarantine() const override;
    std::optional<ResolvedServer> findServer(const ServerId &server) const override;
    bool acceptsNewWork(const ServerId &server) const override;
    std::vector<DocumentVersion> versions() const override;
    std::optional<MonotonicTime>
    memberListConfirmedAt(const FailureDomainId &domain) const override;

    void change(StepContext &context, const PlatformKey &key, DocumentChangeFunction change,
                Duration timeout, DocumentChangeHandler done) override;

    /** Starts the platform calls that are due and ends the changes whose timeout has passed. */
    void onTick(StepContext &context);
    /** Time at which onTick must be called next. */
    MonotonicTime nextWakeUp() const;

    /** Adopts a document that a peer pushed, if it is newer. */
    void onPush(StepContext &context, const PeerEnvelope &envelope, const DocumentPush &push);
    /** Sends the requested document to the peer. */
    void onRequest(StepContext &context, const PeerEnvelope &envelope,
                   const DocumentRequest &request);
    /**
     * Compares the versions in a peer's heartbeat or ack with those held, requests documents that
     * are newer at the peer and offers those that are older there. An empty list is ignored,
     * because most heartbeats carry no versions.
     */
    void onPeerVersions(StepContext &context, const PeerEnvelope &envelope,
                        const std::vector<DocumentVersion> &versions);

    /**
     * Whether the documents are complete enough to serve callers. A configuration must be held, and
     * one of two conditions must be met: the platform and all seeds have answered and no peer has
     * reported a newer configuration than the one held; or 1 s has passed since the first answer of
     * the platform or a peer. Once true, the result stays true.
     */
    bool isReady() const;

    /** Starts no further watches and reads; changes in progress continue. */
    void requestStop();

    /** Returns the state for the operators' dump. */
    boost::json::object dump(MonotonicTime now) const;

private:
    /** Progress of the platform calls that keep one document up to date. */
    struct DocumentSync
    {
        bool watching = false;   ///< a watch (for the host list: a poll) is in progress
        bool reading = false;    ///< a read is in progress
        bool readAgain = false;  ///< start another read when the one in progress ends
        bool answered = false;   ///< the platform has answered a call for this document
        MonotonicTime nextWatch; ///< earliest start of the next watch or poll
        MonotonicTime nextRead;  ///< earliest start of the next read
        MonotonicTime watchStarted;
        MonotonicTime readStarted;
        /** Start time of the latest call whose answer contained no newer version than the one held.
         */
        std::optional<MonotonicTime> confirmedAt;
        int failures = 0; ///< consecutive failed calls
    };
    /** Documents held by one peer, as it reported them. */
    struct PeerState
    {
        MonotonicTime lastReceived; ///< time of the latest heartbeat or ack
        std::unordered_map<PlatformKey, Revision> versions;
        /** Earliest time at which to offer a document that the peer holds in an older version. */
        std::unordered_map<PlatformKey, MonotonicTime> nextOffer;
    };

    void addSyncs(StepContext &context);
    void startDueCalls(StepContext &context, const PlatformKey &key, DocumentSync &sync);
    void startWatch(StepContext &context, const PlatformKey &key, DocumentSync &sync);
    void startRead(StepContext &context, const PlatformKey &key, DocumentSync &sync);
    void onWatched(StepContext &context, const PlatformKey &key, const PlatformFinished &finished);
    void onRead(StepContext &context, const PlatformKey &key, const PlatformFinished &finished);
    /** Applies the platform's answer to a read or watch; returns false if the call failed. */
    bool applyAnswer(StepContext &context, const PlatformKey &key, DocumentSync &sync,
                     MonotonicTime started, const PlatformFinished &finished);
    /** Reads the own cell's member list again if one of the members is not on the host list: a
     * member may be treated as gone only if the platform has confirmed that the member list is
     * current. */
    void confirmMemberList(StepContext &context);
    static void readNow(StepContext &context, DocumentSync &sync);
    Duration slowReadInterval() const;
    /** Number of cell members with recent messages that rank above this host for the key. */
    std::size_t watcherRank(const PlatformKey &key, MonotonicTime now) const;
    bool isWatcher(const PlatformKey &key, MonotonicTime now) const;

    void updateReadiness(MonotonicTime now);

    /** Adopts a newer version and pushes it to peers, except to `from`, the peer that sent it (null
     * if it came from the platform). */
    void adoptDocument(StepContext &context, const PlatformKey &key, Revision version,
                       const std::string &content, const HostId *from);
    void pushToPeers(StepContext &context, const PlatformKey &key, const HostId *from);
    void pushTo(StepContext &context, const HostId &host, const Endpoint &endpoint,
                const PlatformKey &key);
    void offerIfOutdated(StepContext &context, const PeerEnvelope &envelope, PeerState &peer,
                         const DocumentVersion &ours);
    void request(StepContext &context, const PeerEnvelope &envelope, const PlatformKey &key);
    std::vector<const Member *> targetsInOtherCells(const PlatformKey &key) const;
    bool peerHoldsVersion(const HostId &host, const PlatformKey &key, Revision version) const;
    void removeInactivePeers(MonotonicTime now);

    const ReducerOptions m_options;
    PlatformAccess &m_platform;
    DocumentSet m_documents;
    DocumentUpdater m_changes;
    std::map<PlatformKey, DocumentSync> m_syncs;
    Revision m_syncedConfiguration; ///< configuration version that m_syncs was built for
    std::unordered_map<HostId, PeerState> m_peers;
    std::unordered_map<PlatformKey, MonotonicTime> m_nextRequest; ///< earliest next peer request
    std::set<Endpoint> m_pendingSeeds; ///< seeds from which no heartbeat or ack has arrived
    std::optional<MonotonicTime> m_firstAnswer; ///< first answer of the platform or a peer
    Revision m_newestReportedConfiguration;     ///< newest configuration version held by any peer
    MonotonicTime m_nextPeerCleanup;
    bool m_ready = false;
    bool m_stopping = false;
};

} // namespace greengagestair
