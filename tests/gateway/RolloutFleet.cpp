#include "RolloutFleet.h"

#include "core/Hashing.h"

#include <algorithm>

namespace greengagestair {

static constexpr Duration kFrameTime = 2ms;
static constexpr Duration kStoreTime = 4ms;
/** Hosts read the store at this interval; the watch of a publisher and its relay take as long. */
static constexpr Duration kReadInterval = 500ms;
static constexpr Duration kCallTimeout = 2s;
static constexpr Duration kDrainDelay = 3s;
static constexpr Duration kCalmTime = 20s;
static const ServiceId kService { "s" };

static GatewayRoute makeRoute(const std::string &name, bool isRepeatable)
{
    GatewayRoute route;
    route.name = name;
    route.host = name + ".example";
    route.prefix = "/";
    route.repeatable = isRepeatable;
    route.timeout = 1500ms;
    route.latencyTarget = 200ms;
    route.maxAttempts = 2;
    route.targets = { { kService, 1 } };
    return route;
}

static std::shared_ptr<const RoutingConfiguration> makeConfiguration()
{
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->version = 1;
    configuration->routes = { makeRoute("read", true), makeRoute("buy", false) };
    BackendService service;
    service.name = kService;
    service.connectionLimit = 1000;
    configuration->services.emplace(kService, service);
    return configuration;
}

RolloutFleet::RolloutFleet(const RolloutPattern &pattern, std::uint64_t seed)
    : m_pattern(pattern)
    , m_random(seed)
{
    m_orderedAt = m_now + kCalmTime;
    m_hosts.resize(pattern.hosts);
    for (std::size_t i = 0; i < pattern.hosts; ++i)
        m_hosts[i].entry = { { "h" + std::to_string(i) }, { "d" }, {}, 0 };
    startServers("v1", pattern.oldServers);
    for (std::size_t i = 0; i < pattern.hosts; ++i) {
        GatewayOptions options;
        options.selector.host = m_hosts[i].entry.host;
        options.selector.failureDomain = { "d" };
        options.rollout = RolloutOptions {};
        options.repeats.slack = 100;
        options.randomSeed = m_random();
        m_hosts[i].gateway = std::make_unique<Gateway>(options);
        send(i, ConfigurationRead { makeConfiguration() });
        send(i, hostList());
        after(std::chrono::milliseconds(m_random() % 500), [this, i] { readStore(i); });
    }
    after(1s, [this] { arrive(); });
    at(pattern.newServersAt, [this] { startServers("v2", m_pattern.newServers); });
    at(0s, [this] { order("v2", m_pattern.duration); });
}

RolloutFleet::~RolloutFleet() = default;

void RolloutFleet::after(Duration delay, Action action)
{
    m_events.push({ m_now + delay, m_eventOrder++, std::move(action) });
}

void RolloutFleet::at(Duration time, Action action)
{
    after(m_orderedAt + time - m_now, std::move(action));
}

void RolloutFleet::runUntil(MonotonicTime end)
{
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.action();
    }
    m_now = end;
}

RolloutOutcome RolloutFleet::run(Duration end)
{
    runUntil(m_orderedAt + end);
    for (const auto &[exchange, servers] : m_ranAt)
        m_outcome.runTwice += servers.size() > 1 ? 1 : 0;
    return m_outcome;
}

void RolloutFleet::send(std::size_t index, const GatewayEvent &event)
{
    Host &host = m_hosts[index];
    if (!host.gateway)
        return;
    if (m_now < host.frozenUntil) {
        host.held.push_back(event);
        return;
    }
    for (const GatewayEffect &effect : host.gateway->handle(event, m_now)) {
        if (const auto *start = std::get_if<StartAttempt>(&effect))
            startAttempt(index, *start);
        else if (const auto *message = std::get_if<SendToHost>(&effect))
            deliver(index, *message);
        else if (const auto *state = std::get_if<WriteRolloutState>(&effect))
            write(index, state->write);
        else if (const auto *reply = std::get_if<ReplyToCaller>(&effect)) {
            const auto *forwarded = std::get_if<ForwardedReply>(&reply->reply);
            m_outcome.unanswered += forwarded && forwarded->answer.status == 200 ? 0 : 1;
        }
    }
    arm(index);
}

void RolloutFleet::arm(std::size_t index)
{
    Host &host = m_hosts[index];
    const auto next = host.gateway->nextWakeUp();
    if (!next || (host.armedFor && *host.armedFor <= *next))
        return;
    host.armedFor = std::max(*next, m_now);
    after(*host.armedFor - m_now, [this, index, due = *host.armedFor] {
        if (m_hosts[index].armedFor != due)
            return;
        m_hosts[index].armedFor.reset();
        send(index, TimeAdvanced {});
    });
}

void RolloutFleet::arrive()
{
    std::exponential_distribution<double> gap(m_pattern.requestsPerSecond);
    after(std::chrono::round<Duration>(std::chrono::duration<double>(gap(m_random))),
          [this] { arrive(); });
    std::vector<std::size_t> live;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (isLive(i) && m_now >= m_hosts[i].frozenUntil)
            live.push_back(i);
    }
    if (live.empty())
        return;
    const bool isOrder = m_random() % 4 == 0;
    auto request = std::make_shared<GatewayRequest>();
    request->method = isOrder ? "POST" : "GET";
    request->host = isOrder ? "buy.example" : "read.example";
    const ExchangeId exchange { ++m_lastExchange };
    request->requestId = std::to_string(exchange.value);
    request->target = "/" + request->requestId;
    const bool isCounted = m_now >= m_orderedAt && now() < m_pattern.duration;
    m_outcome.requests += isCounted ? 1 : 0;
    send(live[m_random() % live.size()], RequestReceived { exchange, request });
}

HostsRead RolloutFleet::hostList() const
{
    HostsRead read;
    for (const Host &host : m_hosts)
        read.hosts.push_back(host.entry);
    return read;
}

void RolloutFleet::readStore(std::size_t index)
{
    after(kReadInterval, [this, index] { readStore(index); });
    Host &host = m_hosts[index];
    if (!m_isStoreUp || host.isCutFromStore || !isLive(index))
        return;
    if (host.seenRevision != m_revision) {
        const std::uint64_t former = std::exchange(host.seenRevision, m_revision);
        RolloutsRead rollouts;
        if (m_order)
            rollouts.orders.push_back(*m_order);
        if (m_state)
            rollouts.states.push_back(*m_state);
        RegistrationsRead servers;
        for (const auto &[id, server] : m_servers) {
            if (server.isRunning)
                servers.registrations.push_back(server.registration);
        }
        after(kStoreTime, [this, index, rollouts, servers, former] {
            send(index, rollouts);
            send(index, servers);
            if (former == 0)
                send(index, hostList());
        });
    }
    after(kStoreTime, [this, index] { send(index, StoreCaughtUp {}); });
}

void RolloutFleet::order(const std::string &version, Duration duration)
{
    m_order = RolloutOrder { kService, version, duration, { ++m_revision } };
}

void RolloutFleet::removeOrder()
{
    m_order.reset();
    ++m_revision;
}

void RolloutFleet::startServers(const std::string &version, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        Server server;
        const std::string number = std::to_string(++m_lastServer);
        server.registration.server = { version + "-" + number };
        server.registration.service = kService;
        server.registration.endpoint = { "10.0.0." + number, 80 };
        server.registration.failureDomain = { "d" };
        server.registration.slots = 50;
        server.registration.startedAt = m_lastServer;
        server.registration.softwareVersion = version;
        m_servers.emplace(server.registration.server, server);
    }
    ++m_revision;
}

void RolloutFleet::stopServers(const std::string &version)
{
    for (auto &[id, server] : m_servers) {
        if (server.registration.softwareVersion == version)
            server.isRunning = false;
    }
    ++m_revision;
}

void RolloutFleet::kill(std::size_t host)
{
    m_hosts[host].gateway.reset();
    for (const auto &attempt : m_attempts) {
        if (attempt->host == host)
            attempt->isEnded = true;
    }
    // Its entry expires with its lease.
    after(15s, [this, host] {
        const HostId id = m_hosts[host].entry.host;
        HostsRead list = hostList();
        std::erase_if(list.hosts, [this](const HostEntry &entry) {
            const std::size_t index = std::stoul(entry.host.value.substr(1));
            return !isLive(index);
        });
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (isLive(i) && !m_hosts[i].keepsHostList)
                send(i, list);
        }
    });
}

void RolloutFleet::freeze(std::size_t host, Duration time)
{
    m_hosts[host].frozenUntil = m_now + time;
    after(time, [this, host] {
        for (const GatewayEvent &event : std::exchange(m_hosts[host].held, {}))
            send(host, event);
    });
}

void RolloutFleet::cutFromStore(std::size_t host, bool isCut)
{
    m_hosts[host].isCutFromStore = isCut;
}

void RolloutFleet::cutFromHosts(std::size_t host, bool isCut)
{
    m_hosts[host].isCutFromHosts = isCut;
}

void RolloutFleet::keepHostList(std::size_t host, bool isKept)
{
    // Such a host believes that it is alone.
    m_hosts[host].keepsHostList = isKept;
    HostsRead list = hostList();
    if (isKept)
        list.hosts = { m_hosts[host].entry };
    send(host, list);
}

std::size_t RolloutFleet::coordinator(std::size_t rank) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranking;
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        if (isLive(i))
            ranking.emplace_back(
                    rendezvousScore("rollout/" + kService.value, m_hosts[i].entry.host.value), i);
    }
    std::sort(ranking.rbegin(), ranking.rend());
    return ranking.at(rank).second;
}

std::size_t RolloutFleet::takeAttempts(std::size_t host, const std::string &version)
{
    return std::exchange(m_hosts[host].attempts[version], 0);
}

std::size_t RolloutFleet::attempts(const std::string &version) const
{
    std::size_t sum = 0;
    for (const Host &host : m_hosts) {
        const auto found = host.attempts.find(version);
        sum += found == host.attempts.end() ? 0 : found->second;
    }
    return sum;
}

bool RolloutFleet::draws(double share)
{
    return std::generate_canonical<double, 32>(m_random) < share;
}

bool RolloutFleet::isFaulty(Server &server, const std::string &route)
{
    server.recent.push_back(m_now);
    std::erase_if(server.recent, [this](MonotonicTime time) { return m_now - time > 1s; });
    const VersionFault &fault = m_pattern.fault;
    return server.registration.softwareVersion == "v2" && now() >= fault.from
            && static_cast<double>(server.recent.size()) >= fault.minServerRate
            && (fault.route.empty() || route.starts_with(fault.route));
}

AttemptResult RolloutFleet::resultOf(const Attempt &attempt, bool isBad) const
{
    BackendAnswer answer;
    answer.status = isBad ? 500 : 200;
    answer.signature = "by " + attempt.start.server.value;
    return answer;
}

void RolloutFleet::startAttempt(std::size_t host, const StartAttempt &start)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->host = host;
    attempt->start = start;
    Server &server = m_servers.at(start.server);
    attempt->version = server.registration.softwareVersion;
    ++m_hosts[host].attempts[attempt->version];
    m_attempts.push_back(attempt);
    if (attempt->version == "v2" && m_now >= m_orderedAt) {
        m_outcome.exposed += now() < m_pattern.duration ? 1 : 0;
        m_outcome.lastExposedAt = now();
    }
    if (!server.isRunning) {
        m_outcome.sentToStopped += server.hasStoppedAtComplete ? 1 : 0;
        after(kFrameTime, [this, attempt] { endAttempt(attempt, AttemptFailure::NotSent); });
        return;
    }
    if (start.request->method == "POST")
        m_ranAt[{ std::stoull(start.request->requestId) }].insert(start.server);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    double time = spread(m_random) * static_cast<double>(m_pattern.serverTime.count());
    // As in real fleets, one answer in a hundred takes five times as long.
    time *= draws(0.01) ? 5 : 1;
    bool isFailure = draws(0.002);
    if (isFaulty(server, start.request->host)) {
        const bool isSlow = draws(m_pattern.fault.slowShare);
        const bool fails = draws(m_pattern.fault.failShare);
        time *= isSlow ? m_pattern.fault.slowFactor : 1;
        isFailure = isFailure || fails;
        if (isSlow || fails) {
            ++m_outcome.badAnswers;
            if (m_outcome.badAnswers == 50)
                m_outcome.fiftiethBadAt = now();
        }
    }
    after(Duration(static_cast<Duration::rep>(time)),
          [this, attempt, isFailure] { endAttempt(attempt, resultOf(*attempt, isFailure)); });
}

void RolloutFleet::endAttempt(const std::shared_ptr<Attempt> &attempt, const AttemptResult &result)
{
    if (std::exchange(attempt->isEnded, true))
        return;
    send(attempt->host, AttemptEnded { attempt->start.attempt, result });
    std::erase(m_attempts, attempt);
}

void RolloutFleet::deliver(std::size_t from, const SendToHost &message)
{
    const std::size_t to = std::stoul(message.host.value.substr(1));
    if (m_hosts[from].isCutFromHosts || m_hosts[to].isCutFromHosts)
        return;
    const HostId sender = m_hosts[from].entry.host;
    if (const auto *report = std::get_if<RolloutReport>(&message.message))
        after(kFrameTime,
              [this, to, event = RolloutReported { sender, *report }] { send(to, event); });
    else if (const auto *notice = std::get_if<RolloutNotice>(&message.message))
        after(kFrameTime, [this, to, event = RolloutNoticed { *notice }] { send(to, event); });
}

void RolloutFleet::write(std::size_t host, const RolloutWrite &write)
{
    const auto answer = [this, host](Duration delay, const StoreResult<Revision> &result) {
        after(delay, [this, host, result] { send(host, RolloutWriteEnded { kService, result }); });
    };
    if (!m_isStoreUp || m_hosts[host].isCutFromStore)
        return answer(kCallTimeout, StoreFailure::Unreachable);
    if (draws(m_pattern.lateEffects)) {
        after(3s, [this, write] { commit(write); });
        return answer(kCallTimeout, StoreFailure::Unreachable);
    }
    const bool isDone = commit(write);
    if (draws(m_pattern.lostAnswers))
        return answer(kCallTimeout, StoreFailure::Unreachable);
    if (isDone)
        answer(kStoreTime, Revision { m_revision });
    else
        answer(kStoreTime, StoreFailure::Conflict);
}

bool RolloutFleet::commit(const RolloutWrite &write)
{
    const Revision current = m_state ? m_state->revision : Revision {};
    const Revision order = m_order ? m_order->revision : Revision {};
    if (write.state.revision != current || write.expectedOrder != order)
        return false;
    m_state = write.state;
    m_state->revision = { ++m_revision };
    onStatus(*m_state);
    return true;
}

void RolloutFleet::onStatus(const RolloutState &state)
{
    const std::string text = std::string(isActive(state) ? "active" : toText(state.phase)) + " "
            + state.targetVersion;
    if (m_outcome.statuses.empty() || m_outcome.statuses.back() != text)
        m_outcome.statuses.push_back(text);
    if (!isActive(state) && !m_outcome.endedAt)
        m_outcome.endedAt = now();
    if (state.phase == RolloutPhase::RolledBack)
        after(kDrainDelay, [this, version = state.targetVersion] {
            if (m_state->targetVersion == version && m_state->phase == RolloutPhase::RolledBack)
                stopServers(version);
        });
    if (state.phase != RolloutPhase::Complete)
        return;
    for (auto &[id, server] : m_servers) {
        if (server.registration.softwareVersion == state.targetVersion || !server.isRunning)
            continue;
        server.isRunning = false;
        server.hasStoppedAtComplete = true;
    }
    const auto attempts = m_attempts;
    for (const auto &attempt : attempts) {
        if (attempt->isEnded || !m_servers.at(attempt->start.server).hasStoppedAtComplete)
            continue;
        ++m_outcome.lost;
        after(0s, [this, attempt] { endAttempt(attempt, AttemptFailure::Lost); });
    }
}

} // namespace greengagestair
