#include "core/query/SnapshotSelector.h"

#include <algorithm>

namespace greengagestair {

/** Lifetime of a record that a server lacks a version; the server may load the version later. */
static constexpr Duration kLackingVersionRetention = std::chrono::seconds(1);
/** Number of snapshots of one service that are kept for sharing between queries. */
static constexpr std::size_t kMaxPinnedPerService = 8;

static std::shared_ptr<const PinnedSnapshot> makePinned(const Snapshot &snapshot)
{
    auto result = std::make_shared<PinnedSnapshot>();
    result->version = snapshot.version;
    result->ranges = snapshot.ranges;
    std::unordered_map<GroupId, std::size_t> indexes;
    for (const KeyRange &range : snapshot.ranges) {
        const auto [position, inserted] = indexes.emplace(range.group, result->groups.size());
        if (inserted)
            result->groups.push_back(range.group);
        result->groupOfRange.push_back(position->second);
    }
    return result;
}

void SnapshotSelector::recordHeldVersion(const ServerId &server, IndexVersion version)
{
    if (m_lackingVersions.empty())
        return;
    const auto found = m_lackingVersions.find(server);
    if (found == m_lackingVersions.end())
        return;
    std::erase_if(found->second,
                  [&](const LackingVersion &entry) { return entry.version == version; });
    if (found->second.empty())
        m_lackingVersions.erase(found);
}

void SnapshotSelector::recordLackingVersion(const ServerId &server, IndexVersion version,
                                            const std::vector<IndexVersion> &held,
                                            MonotonicTime now)
{
    for (const IndexVersion &heldVersion : held)
        recordHeldVersion(server, heldVersion);
    std::vector<LackingVersion> &entries = m_lackingVersions[server];
    std::erase_if(entries, [&](const LackingVersion &entry) {
        return entry.version == version || entry.expiresAt <= now;
    });
    entries.push_back({ version, now + kLackingVersionRetention });
}

bool SnapshotSelector::lacks(const ServerId &server, IndexVersion version, MonotonicTime now) const
{
    if (m_lackingVersions.empty())
        return false;
    const auto found = m_lackingVersions.find(server);
    if (found == m_lackingVersions.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const LackingVersion &entry) {
                           return entry.version == version && entry.expiresAt > now;
                       });
}

std::shared_ptr<const PinnedSnapshot> SnapshotSelector::select(const Service &service,
                                                               const ServiceSnapshots &snapshots,
                                                               const UsableCheck &isUsable,
                                                               MonotonicTime now)
{
    if (snapshots.snapshots.empty())
        return nullptr;
    removeExpired(now);
    if (m_lackingVersions.empty())
        return findOrCreatePinned(service.name, snapshots.snapshots.front());
    std::shared_ptr<const PinnedSnapshot> best;
    std::size_t bestServed = 0;
    for (const Snapshot &snapshot : snapshots.snapshots) {
        auto candidate = findOrCreatePinned(service.name, snapshot);
        const std::size_t served = countServedGroups(service, *candidate, isUsable, now);
        if (served == candidate->groups.size())
            return candidate;
        if (best == nullptr || served > bestServed) {
            best = std::move(candidate);
            bestServed = served;
        }
    }
    return best;
}

void SnapshotSelector::removeExpired(MonotonicTime now)
{
    for (auto server = m_lackingVersions.begin(); server != m_lackingVersions.end();) {
        std::erase_if(server->second,
                      [&](const LackingVersion &entry) { return entry.expiresAt <= now; });
        server = server->second.empty() ? m_lackingVersions.erase(server) : std::next(server);
    }
}

std::shared_ptr<const PinnedSnapshot> SnapshotSelector::findOrCreatePinned(const ServiceId &service,
                                                                           const Snapshot &snapshot)
{
    auto &cached = m_pinned[service];
    for (const auto &candidate : cached) {
        if (candidate->version == snapshot.version && candidate->ranges == snapshot.ranges)
            return candidate;
    }
    if (cached.size() >= kMaxPinnedPerService)
        cached.erase(cached.begin());
    cached.push_back(makePinned(snapshot));
    return cached.back();
}

std::size_t SnapshotSelector::countServedGroups(const Service &service,
                                                const PinnedSnapshot &snapshot,
                                                const UsableCheck &isUsable,
                                                MonotonicTime now) const
{
    return static_cast<std::size_t>(
            std::count_if(snapshot.groups.begin(), snapshot.groups.end(), [&](const GroupId &name) {
                const auto group = std::find_if(
                        service.groups.begin(), service.groups.end(),
                        [&](const Group &candidate) { return candidate.name == name; });
                return group != service.groups.end()
                        && canServe(*group, snapshot.version, isUsable, now);
            }));
}

bool SnapshotSelector::canServe(const Group &group, IndexVersion version,
                                const UsableCheck &isUsable, MonotonicTime now) const
{
    bool anyUsable = false;
    bool anyHolding = false;
    for (const BackendServer &server : group.servers) {
        const bool usable = isUsable(server.name);
        const bool holding = !lacks(server.name, version, now);
        if (usable && holding)
            return true;
        anyUsable = anyUsable || usable;
        anyHolding = anyHolding || holding;
    }
    // A group whose replicas are all unusable has no answer for any snapshot, so its usability must
    // not affect the choice between snapshots.
    return !anyUsable && anyHolding;
}

} // namespace greengagestair
