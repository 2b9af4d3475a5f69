#pragma once

#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/RegistryStore.h"
#include "gateway/StoreRoleElection.h"
#include "greengagestair/Messages.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace greengagestair {

/**
 * Follows the platform's store: reads all entries once, then waits for changes from that revision
 * on. Starts over when the store has dropped the history. Entries are handed on as
 * gateway events, losses and returns of the store as log decisions.
 */
class StoreWatcher
{
public:
    using OnEvent = std::function<void(GatewayEvent event)>;
    using OnLog = std::function<void(LogRecord decision)>;
    /** Called with what the neighbours are to know, also if nothing has changed. */
    using OnChanges = std::function<void(StoreChanges changes)>;

    /** Called at the end of each call, when nextWakeUp() has changed. */
    using OnCallEnd = std::function<void()>;

    StoreWatcher(RegistryStore &store, OnEvent onEvent, OnLog onLog, OnChanges onChanges,
                 OnCallEnd onCallEnd, std::uint64_t randomSeed);

    /** Starts the next call if it is due. */
    void advance(MonotonicTime now);
    /** When advance() is wanted next; null while a call is in progress. */
    std::optional<MonotonicTime> nextWakeUp() const;
    /** Takes changes that another host has read; no call is made while they come. */
    void applySharedChanges(const StoreChanges &changes, MonotonicTime now);
    /** All entries that are known, for a host that cannot reach the store; null before the first
     * read. */
    std::optional<StoreChanges> snapshot() const;
    /** Takes another host's entries in place of a first read. */
    void applySnapshot(const StoreChanges &snapshot, MonotonicTime now);
    /** True if the store does not answer and nothing is known yet. */
    bool needsSnapshot() const { return !m_revision && m_consecutiveFailures > 0; }
    void setRole(StoreRole role, MonotonicTime now);
    /** True once all entries have been read. */
    bool isSynchronised() const { return m_revision.has_value(); }

private:
    void onRead(const StoreResult<StoreEntries> &result);
    void onChangesRead(const StoreResult<StoreEntries> &result);
    void publishChanges(const std::vector<StoreEntry> &entries);
    void awaitSharedChanges();
    void onFailure(StoreFailure failure);
    void onSuccess(bool hasEntries);
    void updateCache(const StoreEntry &entry);
    void publishAll(const StoreEntries &store);
    void publishChange(const StoreEntry &entry);
    void publishSets();
    void logUnreadable(const std::string &key, const std::string &problem);

    RegistryStore &m_store;
    OnEvent m_onEvent;
    OnLog m_onLog;
    OnChanges m_onChanges;
    OnCallEnd m_onCallEnd;
    std::mt19937_64 m_random;
    std::optional<Revision> m_revision; ///< all changes up to it are known
    MonotonicTime m_now;
    MonotonicTime m_nextCallAt;
    bool m_isCalling = false;
    StoreRole m_role = StoreRole::Standalone;
    StoreRole m_callRole = StoreRole::Standalone; ///< as the call in progress began
    MonotonicTime m_sharedChangesDueAt;           ///< a reader makes no call before, others tell it
    int m_consecutiveFailures = 0;                ///< in a row
    std::map<std::string, std::string>
            m_encodedEntries; ///< entries as the store encodes them, by key
    std::map<std::string, FailureDomainId> m_evacuations; ///< by key
    std::map<std::string, HostEntry> m_hosts;             ///< by key
};

} // namespace greengagestair
