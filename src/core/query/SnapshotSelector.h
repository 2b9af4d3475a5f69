#pragma once

#include "core/Interfaces.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/** One snapshot with its groups, shared by the queries that are pinned to it. */
struct PinnedSnapshot
{
    IndexVersion version;
    std::vector<KeyRange> ranges;
    std::vector<GroupId> groups;           ///< each group once, in the order of the ranges
    std::vector<std::size_t> groupOfRange; ///< index into `groups` for each range
};

/** Chooses the snapshot of a query from what answers have told about the servers' versions. */
class SnapshotSelector
{
public:
    /** Whether a server takes new parts now. */
    using UsableCheck = std::function<bool(const ServerId &server)>;

    void recordHeldVersion(const ServerId &server, IndexVersion version);
    void recordLackingVersion(const ServerId &server, IndexVersion version,
                              const std::vector<IndexVersion> &held, MonotonicTime now);
    /** Whether the server is known to lack the version. */
    bool lacks(const ServerId &server, IndexVersion version, MonotonicTime now) const;

    /**
     * The newest snapshot for which every group has a usable replica that is not known to lack it.
     * If there is none, the newest one with the most such groups. Null without any snapshot.
     */
    std::shared_ptr<const PinnedSnapshot> select(const Service &service,
                                                 const ServiceSnapshots &snapshots,
                                                 const UsableCheck &isUsable, MonotonicTime now);
    /** Forgets what has expired. */
    void removeExpired(MonotonicTime now);
    std::size_t serversLacking() const { return m_lacking.size(); }

private:
    struct LackingVersion
    {
        IndexVersion version;
        MonotonicTime until;
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
