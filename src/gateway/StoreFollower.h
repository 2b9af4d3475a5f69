#pragma once

#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/RegistryStore.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace greengagestair {

/**
 * Follows one feed of the platform's store: reads all entries once, then waits for changes from
 * that revision on. Starts over when the store has dropped the history. Entries are handed on as
 * gateway events, losses and returns of the store as log decisions.
 */
class StoreFollower
{
public:
    using OnEvent = std::function<void(GatewayEvent event)>;
    using OnLog = std::function<void(LogDecision decision)>;

    StoreFollower(Feed feed, RegistryStore &store, OnEvent onEvent, OnLog onLog,
                  std::uint64_t randomSeed);

    /** Starts the next call if it is due. */
    void advance(MonotonicTime now);
    /** When advance() is wanted next; null while a call is in progress. */
    std::optional<MonotonicTime> nextWakeUp() const;
    /** True once all entries have been read. */
    bool isSynchronised() const { return m_revision.has_value(); }
    Feed feed() const { return m_feed; }

private:
    void onRead(const StoreResult<FeedPage> &result);
    void onChanges(const StoreResult<FeedPage> &result);
    void onFailure(StoreFailure failure);
    void onSuccess();
    void publishAll(const FeedPage &page);
    void publishChange(const FeedEntry &entry);
    void publishEvacuations();
    void publishHosts();
    void logUnreadable(const FeedEntry &entry);

    Feed m_feed;
    RegistryStore &m_store;
    OnEvent m_onEvent;
    OnLog m_onLog;
    std::mt19937_64 m_random;
    std::optional<Revision> m_revision; ///< all changes up to it are known
    MonotonicTime m_now;
    MonotonicTime m_nextCallAt;
    bool m_isCalling = false;
    int m_failures = 0; ///< in a row
    std::map<std::string, FailureDomainId> m_evacuations;
    std::set<std::string> m_hosts;
};

} // namespace greengagestair
