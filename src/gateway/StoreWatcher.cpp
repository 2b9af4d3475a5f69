#include "gateway/StoreWatcher.h"

#include "core/Backoff.h"

#include <algorithm>

namespace greengagestair {

/**
 * A watch call can miss changes or hang on a dead connection without an error, so it is repeated
 * after this time. A new configuration has to be in force within 3 s.
 */
static constexpr Duration kWatchTimeout = std::chrono::milliseconds(2100);
/** Watch timeout of a host that watches the store for others. */
static constexpr Duration kSharingWatchTimeout = std::chrono::milliseconds(1000);
/** Time without changes from another host after which a subscriber calls the store itself. */
static constexpr Duration kSharedChangesTimeout = std::chrono::milliseconds(1600);
/**
 * Maximum random addition to kSharedChangesTimeout, so that one subscriber calls first and shares
 * the result.
 */
static constexpr Duration kSharedChangesJitter = std::chrono::milliseconds(500);
/** Delay of the next call after a change. Changes come in groups; one call then reads several. */
static constexpr Duration kCallInterval = std::chrono::milliseconds(500);
/** Registrations are read up to a second after they were written, so cold ends scatter. */
static constexpr Duration kColdTolerance = std::chrono::milliseconds(1000);
static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
/** Maximum retry delay; a configuration has to be in force within 3 s of its acceptance. */
static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);

StoreWatcher::StoreWatcher(RegistryStore &store, OnEvent onEvent, OnLog onLog, OnChanges onChanges,
                           OnCallEnd onCallEnd, std::uint64_t randomSeed)
    : m_store(store)
    , m_onEvent(std::move(onEvent))
    , m_onLog(std::move(onLog))
    , m_onChanges(std::move(onChanges))
    , m_onCallEnd(std::move(onCallEnd))
    , m_random(randomSeed)
{
}

std::optional<MonotonicTime> StoreWatcher::nextWakeUp() const
{
    if (m_isCalling)
        return std::nullopt;
    if (m_role != StoreRole::Publisher && m_position && !m_isHistoryDropped)
        return std::max(m_nextCallAt, m_sharedChangesDueAt);
    return m_nextCallAt;
}

void StoreWatcher::setRole(StoreRole role, MonotonicTime now)
{
    m_now = std::max(m_now, now);
    const auto getsSharedChanges = [](StoreRole other) {
        return other == StoreRole::Subscriber || other == StoreRole::Standby;
    };
    const bool startsWaiting = getsSharedChanges(role) && !getsSharedChanges(m_role);
    m_role = role;
    if (startsWaiting)
        awaitSharedChanges();
}

void StoreWatcher::awaitSharedChanges()
{
    std::uniform_int_distribution<Duration::rep> jitter(0, kSharedChangesJitter.count());
    m_sharedChangesDueAt = m_now + kSharedChangesTimeout;
    if (m_role != StoreRole::Standby)
        m_sharedChangesDueAt += Duration(jitter(m_random));
}

void StoreWatcher::advance(MonotonicTime now)
{
    m_now = now;
    const auto next = nextWakeUp();
    if (!next || now < *next)
        return;
    m_isCalling = true;
    m_callRole = m_role;
    if (!m_position || m_isHistoryDropped) {
        m_store.readAll([this](const StoreResult<StoreEntries> &result) {
            onAllRead(result);
            m_onCallEnd();
        });
        return;
    }
    m_store.awaitChanges(m_position->revision,
                         m_role == StoreRole::Standalone ? kWatchTimeout : kSharingWatchTimeout,
                         [this](const StoreResult<StoreEntries> &result) {
                             onChangesRead(result);
                             m_onCallEnd();
                         });
}

void StoreWatcher::onAllRead(const StoreResult<StoreEntries> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    const StoreEntries &store = std::get<StoreEntries>(result);
    if (m_position && store.position.revision < m_position->revision)
        return onSuccess(false);
    m_position = store.position;
    m_isHistoryDropped = false;
    onSuccess(!store.entries.empty());
    publishAll(store);
}

void StoreWatcher::onChangesRead(const StoreResult<StoreEntries> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    const StoreEntries &changes = std::get<StoreEntries>(result);
    onSuccess(!changes.entries.empty());
    // Newer changes from another host were applied during the call; older ones must not follow.
    if (!m_position || changes.position.revision < m_position->revision)
        return;
    StoreChanges shared { *m_position, changes.position, {} };
    for (const StoreEntry &entry : changes.entries) {
        if (isWorthSharing(entry))
            shared.entries.push_back(entry.encoded);
    }
    m_position = changes.position;
    publishChanges(changes.entries);
    if (m_callRole != StoreRole::Standalone)
        m_onChanges(std::move(shared));
}

static bool isSameServer(const BackendRegistration &left, const BackendRegistration &right)
{
    return left.service == right.service && left.endpoint == right.endpoint
            && left.failureDomain == right.failureDomain && left.slots == right.slots
            && left.isDraining == right.isDraining && left.startedAt == right.startedAt;
}

bool StoreWatcher::isWorthSharing(const StoreEntry &entry)
{
    if (const auto *absent = std::get_if<AbsentServer>(&entry.value))
        m_sharedServers.erase(absent->server);
    const auto *server = std::get_if<ServerEntry>(&entry.value);
    if (!server)
        return true;
    const BackendRegistration &registration = server->registration;
    const MonotonicTime coldUntil = m_now + registration.coldFor;
    const auto known = m_sharedServers.find(registration.server);
    const bool isKnown = known != m_sharedServers.end()
            && isSameServer(known->second.registration, registration)
            && coldUntil <= known->second.coldUntil + kColdTolerance;
    if (isKnown)
        return false;
    m_sharedServers.insert_or_assign(registration.server, SharedServer { registration, coldUntil });
    return true;
}

void StoreWatcher::publishChanges(const std::vector<StoreEntry> &entries)
{
    for (const StoreEntry &entry : entries) {
        updateCache(entry);
        publishChange(entry);
    }
    if (!entries.empty())
        publishEvacuationsAndHosts();
}

void StoreWatcher::applySharedChanges(const StoreChanges &changes, MonotonicTime now)
{
    m_now = std::max(m_now, now);
    // The changes in between are missing, so this host reads them from the store.
    if (!m_position || changes.after.revision > m_position->revision) {
        m_sharedChangesDueAt = m_now;
        return;
    }
    awaitSharedChanges();
    m_isHistoryDropped = false;
    if (changes.position.revision <= m_position->revision)
        return;
    m_position = changes.position;
    std::vector<StoreEntry> entries;
    for (const std::string &encoded : changes.entries)
        entries.push_back(m_store.decode(encoded));
    publishChanges(entries);
}

void StoreWatcher::updateCache(const StoreEntry &entry)
{
    const bool isGone = std::holds_alternative<AbsentEntry>(entry.value)
            || std::holds_alternative<AbsentServer>(entry.value);
    if (isGone)
        m_encodedEntries.erase(entry.key);
    else if (!std::holds_alternative<IgnoredEntry>(entry.value))
        m_encodedEntries[entry.key] = entry.encoded;
}

std::optional<StoreChanges> StoreWatcher::snapshot() const
{
    if (!m_position)
        return std::nullopt;
    StoreChanges snapshot { {}, *m_position, {} };
    for (const auto &[key, encoded] : m_encodedEntries)
        snapshot.entries.push_back(encoded);
    return snapshot;
}

void StoreWatcher::applySnapshot(const StoreChanges &snapshot, MonotonicTime now)
{
    m_now = std::max(m_now, now);
    if (m_position)
        return;
    m_position = snapshot.position;
    StoreEntries store { {}, snapshot.position };
    for (const std::string &encoded : snapshot.entries)
        store.entries.push_back(m_store.decode(encoded));
    m_onLog({ LogPriority::State,
              "snapshotTaken",
              { { "revision", std::to_string(snapshot.position.revision.value) },
                { "entries", std::to_string(snapshot.entries.size()) } } });
    publishAll(store);
}

void StoreWatcher::onFailure(StoreFailure failure)
{
    if (failure == StoreFailure::HistoryDropped) {
        onSuccess(false);
        m_isHistoryDropped = true;
        m_onLog({ LogPriority::State, "historyDropped", {} });
        return;
    }
    if (++m_consecutiveFailures == 2) {
        m_onLog({ LogPriority::State, "storeLost", { { "failure", toText(failure) } } });
    }
    // An interrupted call is retried at once; a second failure means that the store is unreachable.
    m_nextCallAt = m_now;
    if (m_consecutiveFailures <= 1)
        return;
    // Most subscribers retry more rarely than the publisher and its standby, so that one of these
    // two reaches the store first. The standby alone has to keep the bound on new configurations if
    // the publisher stays cut off from the store.
    const bool isSubscriber = m_role == StoreRole::Subscriber && m_position && !m_isHistoryDropped;
    const Duration first = isSubscriber ? kSharedChangesTimeout : kMinRetryDelay;
    const Duration longest = isSubscriber ? 2 * kSharedChangesTimeout : kMaxRetryDelay;
    m_nextCallAt += backoffDelay(m_consecutiveFailures - 1, first, longest, m_random);
}

void StoreWatcher::onSuccess(bool hasEntries)
{
    if (m_consecutiveFailures > 1)
        m_onLog({ LogPriority::State, "storeRegained", {} });
    m_consecutiveFailures = 0;
    m_nextCallAt = hasEntries ? m_now + kCallInterval : m_now;
}

void StoreWatcher::publishAll(const StoreEntries &store)
{
    RegistrationsRead servers;
    m_encodedEntries.clear();
    m_evacuations.clear();
    m_hosts.clear();
    for (const StoreEntry &entry : store.entries) {
        updateCache(entry);
        if (const auto *server = std::get_if<ServerEntry>(&entry.value))
            servers.registrations.push_back(server->registration);
        else if (!std::holds_alternative<AbsentServer>(entry.value))
            publishChange(entry);
    }
    m_onEvent(std::move(servers));
    publishEvacuationsAndHosts();
}

void StoreWatcher::publishChange(const StoreEntry &entry)
{
    if (const auto *configuration = std::get_if<ConfigurationEntry>(&entry.value)) {
        m_onEvent(ConfigurationRead { configuration->configuration });
    } else if (const auto *evacuation = std::get_if<EvacuationEntry>(&entry.value)) {
        m_evacuations[entry.key] = evacuation->failureDomain;
    } else if (const auto *server = std::get_if<ServerEntry>(&entry.value)) {
        m_onEvent(RegistrationWritten { server->registration });
    } else if (const auto *absentServer = std::get_if<AbsentServer>(&entry.value)) {
        logUnreadable(entry.key, absentServer->problem);
        m_onEvent(RegistrationRemoved { absentServer->server });
    } else if (const auto *host = std::get_if<HostEntry>(&entry.value)) {
        m_hosts[entry.key] = *host;
    } else if (const auto *absentEntry = std::get_if<AbsentEntry>(&entry.value)) {
        logUnreadable(entry.key, absentEntry->problem);
        m_evacuations.erase(entry.key);
        m_hosts.erase(entry.key);
    }
}

void StoreWatcher::logUnreadable(const std::string &key, const std::string &problem)
{
    if (problem.empty())
        return;
    m_onLog({ LogPriority::State, "entryUnreadable", { { "key", key }, { "problem", problem } } });
}

void StoreWatcher::publishEvacuationsAndHosts()
{
    EvacuationsRead evacuations;
    for (const auto &[key, failureDomain] : m_evacuations)
        evacuations.failureDomains.insert(failureDomain);
    m_onEvent(std::move(evacuations));
    HostsRead hosts;
    for (const auto &[key, host] : m_hosts)
        hosts.hosts.push_back(host);
    m_onEvent(std::move(hosts));
}

} // namespace greengagestair
