#include "gateway/StoreFollower.h"

#include "core/Backoff.h"

namespace greengagestair {

/**
 * A waiting call can miss changes, or its connection can fall silent, without a sign. A new call
 * finds out; changes of the configuration have to be in force within 3 s.
 */
static constexpr Duration kWatchTime = std::chrono::milliseconds(1800);
/** Changes of registrations come in groups; one call then brings several. */
static constexpr Duration kServersInterval = std::chrono::milliseconds(300);
/** The number of hosts changes slowly and is only used to divide bounds. */
static constexpr Duration kHostsInterval = std::chrono::seconds(8);
static constexpr Duration kFirstRetry = std::chrono::milliseconds(100);
/** A configuration has to be in force 3 s after its acceptance. */
static constexpr Duration kLongestRetry = std::chrono::milliseconds(800);

static Duration intervalOf(Feed feed)
{
    switch (feed) {
    case Feed::Operators:
        break;
    case Feed::Servers:
        return kServersInterval;
    case Feed::Hosts:
        return kHostsInterval;
    }
    return {};
}

StoreFollower::StoreFollower(Feed feed, RegistryStore &store, OnEvent onEvent, OnLog onLog,
                             std::uint64_t randomSeed)
    : m_feed(feed)
    , m_store(store)
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
    if (!m_revision || m_feed == Feed::Hosts) {
        const Freshness freshness =
                m_feed == Feed::Hosts ? Freshness::Cheap : Freshness::Current;
        m_store.readAll(m_feed, freshness, [this](const StoreResult<FeedPage> &result) { onRead(result); });
        return;
    }
    m_store.awaitChanges(m_feed, *m_revision, kWatchTime,
                         [this](const StoreResult<FeedPage> &result) { onChanges(result); });
}

void StoreFollower::onRead(const StoreResult<FeedPage> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    onSuccess();
    const FeedPage &page = std::get<FeedPage>(result);
    m_revision = page.revision;
    publishAll(page);
}

void StoreFollower::onChanges(const StoreResult<FeedPage> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    onSuccess();
    const FeedPage &page = std::get<FeedPage>(result);
    m_revision = std::max(*m_revision, page.revision);
    for (const FeedEntry &entry : page.entries)
        publishChange(entry);
    if (m_feed == Feed::Operators && !page.entries.empty())
        publishEvacuations();
}

void StoreFollower::onFailure(StoreFailure failure)
{
    if (failure == StoreFailure::HistoryDropped) {
        m_revision.reset();
        m_nextCallAt = m_now;
        m_onLog({ LogWeight::State, "historyDropped", { { "feed", toText(m_feed) } } });
        return;
    }
    if (++m_failures == 2) {
        m_onLog({ LogWeight::State,
                  "storeLost",
                  { { "feed", toText(m_feed) }, { "failure", toText(failure) } } });
    }
    // A call that was cut is made again at once; only a second failure says that the store is away.
    m_nextCallAt = m_now;
    if (m_failures > 1)
        m_nextCallAt += backoffDelay(m_failures - 1, kFirstRetry, kLongestRetry, m_random);
}

void StoreFollower::onSuccess()
{
    if (m_failures > 1)
        m_onLog({ LogWeight::State, "storeRegained", { { "feed", toText(m_feed) } } });
    m_failures = 0;
    m_nextCallAt = m_now + intervalOf(m_feed);
}

void StoreFollower::publishAll(const FeedPage &page)
{
    RegistrationsRead servers;
    m_evacuations.clear();
    m_hosts.clear();
    for (const FeedEntry &entry : page.entries) {
        if (const auto *server = std::get_if<ServerEntry>(&entry.value))
            servers.registrations.push_back(server->registration);
        else
            publishChange(entry);
    }
    switch (m_feed) {
    case Feed::Servers:
        m_onEvent(std::move(servers));
        break;
    case Feed::Operators:
        publishEvacuations();
        break;
    case Feed::Hosts:
        publishHosts();
        break;
    }
}

void StoreFollower::publishChange(const FeedEntry &entry)
{
    if (const auto *configuration = std::get_if<ConfigurationEntry>(&entry.value)) {
        m_onEvent(ConfigurationRead { configuration->configuration });
    } else if (const auto *evacuation = std::get_if<EvacuationEntry>(&entry.value)) {
        m_evacuations[entry.name] = evacuation->failureDomain;
    } else if (const auto *server = std::get_if<ServerEntry>(&entry.value)) {
        m_onEvent(RegistrationWritten { server->registration });
    } else if (std::holds_alternative<HostEntry>(entry.value)) {
        m_hosts.insert(entry.name);
    } else {
        logUnreadable(entry);
        m_evacuations.erase(entry.name);
        m_hosts.erase(entry.name);
        if (m_feed == Feed::Servers)
            m_onEvent(RegistrationRemoved { { entry.name.substr(entry.name.find('/') + 1) } });
    }
}

void StoreFollower::logUnreadable(const FeedEntry &entry)
{
    const std::string &problem = std::get<AbsentEntry>(entry.value).problem;
    if (problem.empty())
        return;
    m_onLog({ LogWeight::State,
              "entryUnreadable",
              { { "entry", entry.name }, { "problem", problem } } });
}

void StoreFollower::publishEvacuations()
{
    EvacuationsRead event;
    for (const auto &[name, failureDomain] : m_evacuations)
        event.failureDomains.insert(failureDomain);
    m_onEvent(std::move(event));
}

void StoreFollower::publishHosts()
{
    m_onEvent(HostsCounted { std::max<std::size_t>(m_hosts.size(), 1) });
}

} // namespace greengagestair
