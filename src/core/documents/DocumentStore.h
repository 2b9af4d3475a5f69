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
 * Takes documents from the platform and from peers and offers newer ones to peers. The versions in
 * force only rise.
 *
 * Each document is watched by the two members of the cell that rank first for its key among those
 * heard recently; every host also reads each document slowly, so that watchers that are heard but
 * cut off from the platform do not hold back their cell.
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

    /** Starts the platform calls that are due and ends changes whose time is over. */
    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const;

    void onPush(StepContext &context, const PeerEnvelope &envelope, const DocumentPush &push);
    void onRequest(StepContext &context, const PeerEnvelope &envelope,
                   const DocumentRequest &request);
    /**
     * Compares the versions of a heartbeat or ack with those held. No versions tell nothing: most
     * heartbeats carry none.
     */
    void onPeerVersions(StepContext &context, const PeerEnvelope &envelope,
                        const std::vector<DocumentVersion> &versions);

    /**
     * Whether a configuration is held and the platform and all seeds were heard, or 1 s has passed
     * since the first answer of any of them. Once true it stays true.
     */
    bool isReady() const;

    /** Starts no more watches and reads; changes under way continue. */
    void requestStop();

    boost::json::object dump(MonotonicTime now) const;

private:
    /** Platform calls for one document. */
    struct DocumentSync
    {
        bool watching = false;
        bool reading = false;
        bool readAgain = false;  ///< at the end of the read under way
        bool answered = false;   ///< the platform has told its state since the start
        MonotonicTime nextWatch; ///< of a watch or, for the host list, a poll
        MonotonicTime nextRead;
        MonotonicTime watchStarted;
        MonotonicTime readStarted;
        /** Start of the latest call by which the platform held no newer version. */
        std::optional<MonotonicTime> confirmedAt;
        int failures = 0; ///< in a row
    };
    struct PeerState
    {
        MonotonicTime heard;
        std::unordered_map<PlatformKey, Revision> versions;
        /** When to offer a document that the peer holds in an older version. */
        std::unordered_map<PlatformKey, MonotonicTime> nextOffer;
    };

    void addSyncs(StepContext &context);
    void startDueCalls(StepContext &context, const PlatformKey &key, DocumentSync &sync);
    void startWatch(StepContext &context, const PlatformKey &key, DocumentSync &sync);
    void startRead(StepContext &context, const PlatformKey &key, DocumentSync &sync);
    void onWatched(StepContext &context, const PlatformKey &key, const PlatformFinished &finished);
    void onRead(StepContext &context, const PlatformKey &key, const PlatformFinished &finished);
    /** Takes what the platform told; false if the call failed. */
    bool applyAnswer(StepContext &context, const PlatformKey &key, DocumentSync &sync,
                     MonotonicTime started, const PlatformFinished &finished);
    /** Reads the own member list if the host list does not show a member: whether it may be counted
     * as gone depends on the list being current. */
    void confirmMemberList(StepContext &context);
    static void readNow(StepContext &context, DocumentSync &sync);
    Duration slowReadInterval() const;
    /** Number of cell members heard recently that rank before this host for the key. */
    std::size_t watcherRank(const PlatformKey &key, MonotonicTime now) const;
    bool isWatcher(const PlatformKey &key, MonotonicTime now) const;

    void updateReadiness(MonotonicTime now);

    /** Adopts a newer version and spreads it; `from` is the peer that sent it, if any. */
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
    void removeSilentPeers(MonotonicTime now);

    const ReducerOptions m_options;
    PlatformAccess &m_platform;
    DocumentSet m_documents;
    DocumentUpdater m_changes;
    std::map<PlatformKey, DocumentSync> m_syncs;
    Revision m_syncedConfiguration;
    std::unordered_map<HostId, PeerState> m_peers;
    std::unordered_map<PlatformKey, MonotonicTime> m_nextRequest;
    std::set<Endpoint> m_pendingSeeds;
    std::optional<MonotonicTime> m_firstAnswer; ///< of the platform or a peer
    Revision m_newestReportedConfiguration;     ///< version of the configuration at any peer
    MonotonicTime m_nextPeerCleanup;
    bool m_ready = false;
    bool m_stopping = false;
};

} // namespace greengagestair
