#include "StoreFleet.h"

#include <algorithm>
#include <charconv>

namespace greengagestair {

static constexpr Duration kCallTime = 4ms;
static constexpr Duration kSlowCallTime = 1500ms;
static constexpr Duration kFrameTime = 1ms;
static constexpr std::size_t kServers = 20;

static std::string encode(const std::string &key, std::uint64_t number)
{
    return key + "=" + std::to_string(number);
}

static StoreEntry decodeText(const std::string &encoded)
{
    const std::size_t separator = encoded.rfind('=');
    const std::string key = encoded.substr(0, separator);
    std::uint64_t number = 0;
    std::from_chars(encoded.data() + separator + 1, encoded.data() + encoded.size(), number);
    const ServerId server { key.substr(key.find('/') + 1) };
    if (number == 0)
        return { key, AbsentServer { server, {} }, encoded };
    BackendRegistration registration;
    registration.server = server;
    registration.startedAt = number;
    return { key, ServerEntry { registration }, encoded };
}

/** The store as one host sees it. */
class StoreFleet::HostStore : public RegistryStore
{
public:
    HostStore(StoreFleet &fleet, std::size_t host)
        : m_fleet(fleet)
        , m_host(host)
    {
    }
    void readAll(OnEntries done) override { m_fleet.readAll(m_host, std::move(done)); }
    StoreEntry decode(const std::string &encoded) const override { return decodeText(encoded); }
    std::string encodeRemoval(const std::string &key) const override { return encode(key, 0); }
    void awaitChanges(Revision after, Duration wait, OnEntries done) override
    {
        m_fleet.watch(m_host, after, wait, std::move(done));
    }
    void grantLease(Duration, std::function<void(StoreResult<LeaseGrant>)>) override { }
    void renewLease(std::uint64_t, std::function<void(StoreResult<StoreDone>)>) override { }
    void announceHost(const HostEntry &, std::uint64_t,
                      std::function<void(StoreResult<StoreDone>)>) override
    {
    }
    void writeRollout(const RolloutWrite &, std::function<void(StoreResult<Revision>)>) override { }
    void endLease(std::uint64_t, std::function<void(StoreResult<StoreDone>)>) override { }

private:
    StoreFleet &m_fleet;
    std::size_t m_host;
};

StoreFleet::StoreFleet(const StorePattern &pattern, std::uint64_t seed)
    : m_pattern(pattern)
    , m_random(seed)
{
    for (std::size_t i = 0; i < kServers; ++i)
        change();
    std::vector<HostEntry> list;
    for (std::size_t i = 0; i < pattern.hosts; ++i)
        list.push_back({ { "h" + std::to_string(i) },
                         { "d" + std::to_string(i % pattern.domains) },
                         {},
                         0 });
    m_hosts.resize(pattern.hosts);
    for (std::size_t i = 0; i < pattern.hosts; ++i) {
        m_hosts[i].entry = list[i];
        m_hosts[i].store = std::make_unique<HostStore>(*this, i);
        m_hosts[i].election = std::make_unique<StoreRoleElection>(list[i]);
        m_hosts[i].election->update(list);
        const bool isPublisher = m_hosts[i].election->role() == StoreRole::Publisher;
        if (isPublisher && pattern.arePublishersCut)
            m_cutFromStore.insert(i);
        std::uniform_real_distribution<double> draw(0, 1);
        if (draw(m_random) < pattern.cutShare)
            m_cutHosts.insert(i);
        if (draw(m_random) < pattern.slowShare)
            m_slowHosts.insert(i);
    }
}

StoreFleet::~StoreFleet() = default;

void StoreFleet::after(Duration delay, Action action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

void StoreFleet::runUntil(MonotonicTime end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = end;
}

void StoreFleet::startProcess(std::size_t index)
{
    Host &host = m_hosts[index];
    ++host.incarnation;
    host.view.clear();
    host.highest = {};
    host.armedFor.reset();
    host.watcher = std::make_unique<StoreWatcher>(
            *host.store, [this, index](const GatewayEvent &event) { apply(index, event); },
            [](const LogRecord &) {},
            [this, index](const StoreChanges &changes) { share(index, changes); },
            [this, index] { arm(index); }, m_random());
    host.watcher->setRole(host.election->role(), m_now);
    arm(index);
}

void StoreFleet::arm(std::size_t index)
{
    Host &host = m_hosts[index];
    const auto next = host.watcher->nextWakeUp();
    if (!next || (host.armedFor && *host.armedFor <= *next))
        return;
    host.armedFor = *next;
    after(std::max(*next - m_now, Duration(0)), [this, index, incarnation = host.incarnation] {
        Host &armed = m_hosts[index];
        if (armed.incarnation != incarnation)
            return;
        armed.armedFor.reset();
        armed.watcher->advance(m_now);
        arm(index);
    });
}

void StoreFleet::apply(std::size_t index, const GatewayEvent &event)
{
    Host &host = m_hosts[index];
    if (host.gateway)
        applyToGateway(host, event);
    if (const auto *read = std::get_if<RegistrationsRead>(&event)) {
        host.view.clear();
        for (const BackendRegistration &registration : read->registrations)
            host.view["servers/" + registration.server.value] = registration.startedAt;
    } else if (const auto *written = std::get_if<RegistrationWritten>(&event)) {
        host.view["servers/" + written->registration.server.value] =
                written->registration.startedAt;
    } else if (const auto *removed = std::get_if<RegistrationRemoved>(&event)) {
        host.view.erase("servers/" + removed->server.value);
    }
    const StorePosition reached = host.watcher->position().value_or(StorePosition {});
    if (reached.era < host.highest.era)
        m_outcome.hasFallenBack = true;
    host.highest = std::max(host.highest, reached);
    noteIfCurrent();
}

void StoreFleet::applyToGateway(Host &host, const GatewayEvent &event)
{
    host.gateway->handle(event, m_now);
    const auto server = host.gateway->directory().find(m_removedServer);
    if (server && server->removeAt)
        host.removesAt = server->removeAt;
}

void StoreFleet::kill(std::size_t index)
{
    ++m_hosts[index].incarnation;
    m_hosts[index].gateway.reset();
    m_hosts[index].watcher.reset();
}

void StoreFleet::share(std::size_t from, const StoreChanges &changes)
{
    if (isCut(from))
        return;
    for (const HostEntry &recipient : m_hosts[from].election->changeRecipients()) {
        const std::size_t to = std::stoul(recipient.host.value.substr(1));
        std::uniform_real_distribution<double> draw(0, 1);
        if (isCut(to) || draw(m_random) < m_pattern.lostFrames)
            continue;
        const Duration delay = kFrameTime + Duration(m_random() % 2000);
        after(delay, [this, to, changes, incarnation = m_hosts[to].incarnation] {
            const bool isGone = !m_hosts[to].watcher || m_hosts[to].incarnation != incarnation;
            if (isGone || isCut(to))
                return;
            m_hosts[to].watcher->applySharedChanges(changes, m_now);
            arm(to);
        });
    }
}

bool StoreFleet::isCut(std::size_t host) const
{
    return m_isDown ? m_cutHosts.contains(host)
                    : m_returnedAt && m_now < *m_returnedAt + 3s && m_cutHosts.contains(host);
}

bool StoreFleet::reachesStore(std::size_t host) const
{
    const bool isCutFromStore = m_cutFromStore.contains(host) && (m_isDown || m_returnedAt);
    return !m_isDown && !isCut(host) && !isCutFromStore;
}

Duration StoreFleet::callTime(std::size_t host)
{
    return kCallTime + (m_slowHosts.contains(host) ? kSlowCallTime : Duration(0));
}

void StoreFleet::countCall(bool isReadOfAll)
{
    ++m_outcome.calls;
    if (!m_returnedAt)
        return;
    ++m_callsBySecond[std::chrono::floor<std::chrono::seconds>(m_now - *m_returnedAt).count()];
    m_outcome.readsOfAll += isReadOfAll ? 1 : 0;
}

StorePosition StoreFleet::position() const
{
    return { { m_state.revision }, { m_pattern.statesEra ? m_era : 0 } };
}

StoreFleet::OnEntries StoreFleet::whileAlive(std::size_t host, OnEntries done)
{
    return [this, host, incarnation = m_hosts[host].incarnation,
            done = std::move(done)](const StoreResult<StoreEntries> &result) {
        if (m_hosts[host].incarnation == incarnation)
            done(result);
    };
}

void StoreFleet::readAll(std::size_t host, OnEntries onRead)
{
    countCall(true);
    after(callTime(host), [this, host, done = whileAlive(host, std::move(onRead))] {
        if (!reachesStore(host))
            return done(StoreFailure::Unreachable);
        StoreEntries read { {}, position() };
        for (const auto &[key, number] : m_state.content)
            read.entries.push_back(decodeText(encode(key, number)));
        done(std::move(read));
    });
}

void StoreFleet::watch(std::size_t host, Revision revision, Duration wait, OnEntries onChanges)
{
    countCall(false);
    auto opened = std::make_shared<Watch>(
            Watch { host, revision.value, whileAlive(host, std::move(onChanges)) });
    after(callTime(host), [this, opened] {
        if (!reachesStore(opened->host)) {
            opened->isOpen = false;
            return opened->done(StoreFailure::Unreachable);
        }
        if (opened->after > m_state.revision) {
            opened->isOpen = false;
            return opened->done(StoreFailure::HistoryDropped);
        }
        m_watches.push_back(opened);
        if (opened->after < m_state.revision)
            answer(opened);
    });
    after(callTime(host) + wait, [this, opened] {
        if (opened->isOpen)
            answer(opened);
    });
}

StoreEntries StoreFleet::entriesAfter(std::uint64_t revision) const
{
    StoreEntries changes { {}, position() };
    for (auto change = m_state.history.upper_bound(revision); change != m_state.history.end();
         ++change)
        changes.entries.push_back(decodeText(encode(change->second.key, change->second.number)));
    return changes;
}

void StoreFleet::answer(const std::shared_ptr<Watch> &watch)
{
    watch->isOpen = false;
    std::erase(m_watches, watch);
    if (!reachesStore(watch->host))
        return watch->done(StoreFailure::Unreachable);
    watch->done(entriesAfter(watch->after));
}

void StoreFleet::answerWatches()
{
    const auto open = m_watches;
    for (const auto &watch : open)
        after(kCallTime, [this, watch] {
            if (watch->isOpen)
                answer(watch);
        });
}

void StoreFleet::change()
{
    const std::string key = "servers/s" + std::to_string(m_random() % kServers);
    const bool isRemoval = m_state.content.contains(key) && m_random() % 3 == 0;
    const std::uint64_t number = isRemoval ? 0 : ++m_changes;
    if (isRemoval)
        m_state.content.erase(key);
    else
        m_state.content[key] = number;
    m_state.history[++m_state.revision] = { key, number };
    answerWatches();
}

void StoreFleet::goDown()
{
    m_isDown = true;
    const auto open = m_watches;
    for (const auto &watch : open)
        answer(watch);
}

void StoreFleet::goUp()
{
    m_isDown = false;
    m_currentAt.reset();
    if (!m_returnedAt)
        m_returnedAt = m_now;
    if (!m_pattern.hasReturn)
        return;
    m_state = m_copy;
    ++m_era;
    for (int i = 0; i < m_pattern.changesBeforeCalls; ++i)
        change();
}

bool StoreFleet::areAllInStoreEra() const
{
    return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const Host &host) {
        return host.watcher->position() && host.watcher->position()->era == position().era;
    });
}

void StoreFleet::noteIfCurrent()
{
    if (m_returnedAt && !m_isDown && !m_currentAt && areAllInStoreEra())
        m_currentAt = m_now;
}

Duration StoreFleet::runWithKilled(const std::set<StoreRole> &killed)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        GatewayOptions options;
        options.selector.host = m_hosts[host].entry.host;
        options.selector.failureDomain = m_hosts[host].entry.failureDomain;
        m_hosts[host].gateway = std::make_unique<Gateway>(options);
        after(Duration(m_random() % 300'000), [this, host] { startProcess(host); });
    }
    runUntil(m_now + 6s + Duration(m_random() % 1'000'000));
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (killed.contains(m_hosts[host].election->role()))
            kill(host);
    }
    const std::string key = m_state.content.begin()->first;
    m_removedServer = { key.substr(key.find('/') + 1) };
    m_state.content.erase(key);
    m_state.history[++m_state.revision] = { key, 0 };
    answerWatches();
    const MonotonicTime removedAt = m_now;
    runUntil(m_now + 8s);
    Duration longest {};
    for (const Host &host : m_hosts) {
        if (host.gateway)
            longest = std::max(longest, host.removesAt.value_or(MonotonicTime::max()) - removedAt);
    }
    return longest;
}

StoreOutcome StoreFleet::run()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host)
        after(Duration(m_random() % 300'000), [this, host] { startProcess(host); });
    runUntil(m_now + 5s);
    m_copy = m_state;
    for (int i = 0; i < m_pattern.lostChanges; ++i) {
        after(Duration(m_random() % 3'500'000), [this] { change(); });
    }
    runUntil(m_now + 5s);
    goDown();
    runUntil(m_now + 2s);
    goUp();
    if (m_pattern.returnsTwice) {
        runUntil(m_now + 1s);
        goDown();
        runUntil(m_now + 1s);
        goUp();
    }
    after(300ms, [this] {
        std::uniform_real_distribution<double> draw(0, 1);
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (draw(m_random) < m_pattern.restartShare)
                startProcess(host);
        }
    });
    for (int i = 0; i < m_pattern.laterChanges; ++i)
        after(2s + i * 1s, [this] { change(); });
    runUntil(m_now + 12s);
    m_outcome.areAllCurrent = std::all_of(m_hosts.begin(), m_hosts.end(), [this](const Host &host) {
        return host.view == m_state.content;
    });
    m_outcome.untilCurrent = m_currentAt ? *m_currentAt - *m_returnedAt : Duration::max();
    for (const auto &[second, calls] : m_callsBySecond)
        m_outcome.callsInBusiestSecond = std::max(m_outcome.callsInBusiestSecond, calls);
    return m_outcome;
}

} // namespace greengagestair
