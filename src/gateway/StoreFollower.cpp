#include "gateway/StoreFollower.h"

#include "core/Backoff.h"

#include <algorithm>

namespace greengagestair {

/**
 * A waiting call can miss changes, or its connection can fall silent, without a sign. A new call
 * finds out; changes of the configuration have to be in force within 3 s.
 */
static constexpr Duration kWatchTime = std::chrono::milliseconds(2100);
/** Changes come in groups; one call then brings several. */
static constexpr Duration kCallInterval = std::chrono::milliseconds(400);
static constexpr Duration kFirstRetry = std::chrono::milliseconds(100);
/** A configuration has to be in force 3 s after its acceptance. */
static constexpr Duration kLongestRetry = std::chrono::milliseconds(800);

StoreFollower::StoreFollower(RegistryStore &store, FailureDomainId ownDomain, OnEvent onEvent,
                             OnLog onLog, std::uint64_t randomSeed)
    : m_store(store)
    , m_ownDomain(std::move(ownDomain))
    , m_onEvent(std::move(onEvent))
    , m_onLog(std::move(onLog))
    , m_random(randomSeed)
{
}

std::optional<MonotonicTime> StoreFollower::nextWakeUp() const
{
    if (m_isCalling)
        return std::nullopt;
    return m_nextCallAt;
}

void StoreFollower::advance(MonotonicTime now)
{
    m_now = now;
    if (m_isCalling || now < m_nextCallAt)
        return;
    m_isCalling = true;
    if (!m_revision) {
        m_store.readAll([this](const StoreResult<StoreEntries> &result) { onRead(result); });
        return;
    }
    m_store.awaitChanges(
            *m_revision, kWatchTime,
            [this](const StoreResult<StoreEntries> &result) { onChanges(result); });
}

void StoreFollower::onRead(const StoreResult<StoreEntries> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    const StoreEntries &store = std::get<StoreEntries>(result);
    m_revision = store.revision;
    onSuccess(!store.entries.empty());
    publishAll(store);
}

void StoreFollower::onChanges(const StoreResult<StoreEntries> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    const StoreEntries &changes = std::get<StoreEntries>(result);
    m_revision = std::max(*m_revision, changes.revision);
    onSuccess(!changes.entries.empty());
    for (const StoreEntry &entry : changes.entries)
        publishChange(entry);
    if (!changes.entries.empty())
        publishSets();
}

void StoreFollower::onFailure(StoreFailure failure)
{
    if (failure == StoreFailure::HistoryDropped) {
        m_revision.reset();
        m_nextCallAt = m_now;
        m_onLog({ LogWeight::State, "historyDropped", {} });
        return;
    }
    if (++m_failures == 2) {
        m_onLog({ LogWeight::State, "storeLost", { { "failure", toText(failure) } } });
    }
    // A call that was cut is made again at once; only a second failure says that the store is away.
    m_nextCallAt = m_now;
    if (m_failures > 1)
        m_nextCallAt += backoffDelay(m_failures - 1, kFirstRetry, kLongestRetry, m_random);
}

void StoreFollower::onSuccess(bool hasEntries)
{
    if (m_failures > 1)
        m_onLog({ LogWeight::State, "storeRegained", {} });
    m_failures = 0;
    m_nextCallAt = hasEntries ? m_now + kCallInterval : m_now;
}

void StoreFollower::publishAll(const StoreEntries &store)
{
    RegistrationsRead servers;
    m_evacuations.clear();
    m_hosts.clear();
    for (const StoreEntry &entry : store.entries) {
        if (const auto *server = std::get_if<ServerEntry>(&entry.value))
            servers.registrations.push_back(server->registration);
        else if (!std::holds_alternative<AbsentServer>(entry.value))
            publishChange(entry);
    }
    m_onEvent(std::move(servers));
    publishSets();
}

void StoreFollower::publishChange(const StoreEntry &entry)
{
    if (const auto *configuration = std::get_if<ConfigurationEntry>(&entry.value)) {
        m_onEvent(ConfigurationRead { configuration->configuration });
    } else if (const auto *evacuation = std::get_if<EvacuationEntry>(&entry.value)) {
        m_evacuations[entry.key] = evacuation->failureDomain;
    } else if (const auto *server = std::get_if<ServerEntry>(&entry.value)) {
        m_onEvent(RegistrationWritten { server->registration });
    } else if (const auto *gone = std::get_if<AbsentServer>(&entry.value)) {
        logUnreadable(entry.key, gone->problem);
        m_onEvent(RegistrationRemoved { gone->server });
    } else if (const auto *host = std::get_if<HostEntry>(&entry.value)) {
        m_hosts[entry.key] = host->failureDomain;
    } else if (const auto *absent = std::get_if<AbsentEntry>(&entry.value)) {
        logUnreadable(entry.key, absent->problem);
        m_evacuations.erase(entry.key);
        m_hosts.erase(entry.key);
    }
}

void StoreFollower::logUnreadable(const std::string &key, const std::string &problem)
{
    if (problem.empty())
        return;
    m_onLog({ LogWeight::State, "entryUnreadable", { { "key", key }, { "problem", problem } } });
}

void StoreFollower::publishSets()
{
    EvacuationsRead evacuations;
    for (const auto &[key, failureDomain] : m_evacuations)
        evacuations.failureDomains.insert(failureDomain);
    m_onEvent(std::move(evacuations));
    const auto isNear = [this](const auto &host) { return host.second == m_ownDomain; };
    const auto near = static_cast<std::size_t>(
            std::count_if(m_hosts.begin(), m_hosts.end(), isNear));
    m_onEvent(HostsCounted { { std::max<std::size_t>(m_hosts.size(), 1),
                               std::max<std::size_t>(near, 1) } });
}

} // namespace greengagestair
