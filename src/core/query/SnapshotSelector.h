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
     * Records that the server lacks a version, for one second, as it may load the version
     * meanwhile. `held` are the versions that the server reported as held.
     */
    void recordLackingVersion(const ServerId &server, IndexVersion version,
                              const std::vector<IndexVersion> &held, MonotonicTime now);
    /** Returns whether the server is known to lack the version. */
    bool lacks(const ServerId &server, IndexVersion version, MonotonicTime now) const;

    /**
     * Returns the newest snapshot for which every group has a usable replica that is not known to
     * lack its version. If there is none, returns the one with the most such groups, and the newest
     * of these; null if the service has no snapshot. A group without any usable replica counts too
     * if one of its replicas is not known to lack the version.
     */
    std::shared_ptr<const PinnedSnapshot> select(const Service &service,
                                                 const ServiceSnapshots &snapshots,
                                                 const UsableCheck &isUsable, MonotonicTime now);
    /** Removes expired records of lacking versions. */
    void removeExpired(MonotonicTime now);
    /** Returns the number of servers that are recorded as lacking some version. */
    std::size_t serversLacking() const { return m_lacking.size(); }

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

    std::unordered_map<ServerId, std::vector<LackingVersion>> m_lacking;
    std::unordered_map<ServiceId, std::vector<std::shared_ptr<const PinnedSnapshot>>> m_pinned;
};

} // namespace greengagestair
