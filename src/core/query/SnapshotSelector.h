#pragma once

#include "core/Interfaces.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/** A snapshot with its groups. All queries that are pinned to it share one object. */
struct PinnedSnapshot
{
    IndexVersion version;                  ///< index version from which all parts must be answered
    std::vector<KeyRange> ranges;          ///< all key ranges of the snapshot
    std::vector<GroupId> groups;           ///< each group once, in order of its first range
    std::vector<std::size_t> groupOfRange; ///< index into `groups` for each range
};

/**
 * Chooses the snapshot for a query. PartDispatcher reports after each attempt which index versions
 * a server holds or lacks, so that the newest snapshot that every group can serve is chosen.
 */
class SnapshotSelector
{
public:
    /** Returns whether a server accepts new parts now. */
    using UsableCheck = std::function<bool(const ServerId &server)>;

    /** Records that the server holds the version. */
    void recordHeldVersion(const ServerId &server, IndexVersion version);
    /**
     * Records that the server lacks a version. The record expires after one second, because the
     * server may have loaded the version by then. `held` lists the versions that the server
     * reported as held.
     */
    void recordLackingVersion(const ServerId &server, IndexVersion version,
                              const std::vector<IndexVersion> &held, MonotonicTime now);
    /** Returns whether an unexpired record shows that the server lacks the version. */
    bool lacks(const ServerId &server, IndexVersion version, MonotonicTime now) const;

    /**
     * Returns the newest snapshot that every group can serve. If there is none, returns the newest
     * of the snapshots that the most groups can serve; null if the service has no snapshot. A group
     * can serve a snapshot if one of its usable replicas holds the version. If all replicas of the
     * group are unusable, it is enough that any of them holds the version. A replica counts as
     * holding each version that it is not recorded as lacking.
     */
    std::shared_ptr<const PinnedSnapshot> select(const Service &service,
                                                 const ServiceSnapshots &snapshots,
                                                 const UsableCheck &isUsable, MonotonicTime now);
    /** Removes expired records of lacking versions. */
    void removeExpired(MonotonicTime now);
    /** Returns the number of servers that are recorded as lacking some version. */
    std::size_t serversLackingVersions() const { return m_lackingVersions.size(); }

private:
    struct LackingVersion
    {
        IndexVersion version;
        MonotonicTime expiresAt;
    };

    std::shared_ptr<const PinnedSnapshot> findOrCreatePinned(const ServiceId &service,
                                                             const Snapshot &snapshot);
    std::size_t countServedGroups(const Service &service, const PinnedSnapshot &snapshot,
                                  const UsableCheck &isUsable, MonotonicTime now) const;
    bool canServe(const Group &group, IndexVersion version, const UsableCheck &isUsable,
                  MonotonicTime now) const;

    std::unordered_map<ServerId, std::vector<LackingVersion>> m_lackingVersions;
    std::unordered_map<ServiceId, std::vector<std::shared_ptr<const PinnedSnapshot>>> m_pinned;
};

} // namespace greengagestair
