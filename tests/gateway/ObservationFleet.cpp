#include "ObservationFleet.h"

#include <cmath>

namespace greengagestair {

static constexpr Duration kLatencyTarget = 180ms;
static constexpr std::size_t kSlots = 2;
static constexpr std::size_t kQueueLimit = 12;
/** The hosts run before the queries begin, so that they may use their shares of the slack. */
static constexpr Duration kLeadTime = 15s;

ObservationFleet::ObservationFleet(ObservationPattern pattern, std::uint64_t seed)
    : m_pattern(std::move(pattern))
    , m_random(seed)
{
    configure();
}

void ObservationFleet::configure()
{
    const auto domainOf = [this](std::size_t index) {
        return FailureDomainId { "d" + std::to_string(index % m_pattern.domains) };
    };
    RoutingConfiguration configuration;
    configuration.version = 1;
    GatewayRoute route = GatewayFixture::lookupRoute();
    route.timeout = 600ms;
    route.latencyTarget = kLatencyTarget;
    route.maxAttempts = m_pattern.maxAttempts;
    route.gather->services.clear();
    route.gather->minCoverage = m_pattern.minCoverage;
    RegistrationsRead servers;
    for (std::size_t shard = 0; shard < m_pattern.shards; ++shard) {
        const std::string name = "shard-" + std::to_string(shard);
        BackendService service;
        service.name = { name };
        service.connectionLimit = 2 * m_pattern.hosts;
        configuration.services.emplace(service.name, service);
        route.gather->services.push_back({ name });
        for (std::size_t replica = 0; replica < m_pattern.replicas; ++replica) {
            BackendRegistration registration =
                    GatewayFixture::registration(name, domainOf(replica).value);
            registration.server.value += "-" + std::to_string(replica);
            registration.slots = kSlots;
            servers.registrations.push_back(registration);
            m_servers[registration.server.value] = { registration, uniform(), 0, {} };
        }
    }
    configuration.routes.push_back(route);
    const auto shared = std::make_shared<const RoutingConfiguration>(configuration);
    for (std::size_t index = 0; index < m_pattern.hosts; ++index)
        m_entries.push_back({ { "h" + std::to_string(index) }, domainOf(index), {}, 0 });
    m_hosts.resize(m_pattern.hosts);
    for (std::size_t index = 0; index < m_pattern.hosts; ++index) {
        GatewayOptions options;
        options.selector.host = m_entries[index].host;
        options.selector.failureDomain = m_entries[index].failureDomain;
        options.repeats.slack = 54;
        options.sharesObservations = m_pattern.isShared;
        options.randomSeed = m_random();
        m_hosts[index].gateway = std::make_unique<Gateway>(options);
        send(index, ConfigurationRead { shared });
        send(index, servers);
        send(index, HostsRead { m_entries, false });
        after(kLeadTime + Duration(static_cast<Duration::rep>(uniform() * 5e5)),
              [this, index] { query(index); });
    }
    m_start = m_now + kLeadTime;
}

void ObservationFleet::after(Duration delay, Action action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

ObservationOutcome ObservationFleet::run()
{
    const MonotonicTime end = m_start + m_pattern.warmUp + m_pattern.length;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    return m_outcome;
}

void ObservationFleet::send(std::size_t host, const GatewayEvent &event)
{
    for (const GatewayEffect &effect : m_hosts[host].gateway->handle(event, m_now))
        apply(host, effect);
    armTimer(host);
}

void ObservationFleet::armTimer(std::size_t index)
{
    Host &host = m_hosts[index];
    const auto next = host.gateway->nextWakeUp();
    if (!next || (host.wakeUpAt && *host.wakeUpAt <= *next))
        return;
    const MonotonicTime at = std::max(*next, m_now);
    host.wakeUpAt = at;
    after(at - m_now, [this, index, at] {
        if (m_hosts[index].wakeUpAt != at)
            return;
        m_hosts[index].wakeUpAt.reset();
        send(index, TimeAdvanced {});
    });
}

void ObservationFleet::query(std::size_t index)
{
    Host &host = m_hosts[index];
    auto request = std::make_shared<GatewayRequest>();
    const ExchangeId exchange { ++host.lastExchange };
    request->method = "GET";
    request->host = "lookup.example";
    request->target = "/find/" + std::to_string(m_order);
    request->requestId = "r-" + std::to_string(exchange.value);
    host.arrivals[exchange] = m_now;
    send(index, RequestReceived { exchange, request });
    const double gap = -std::log(1 - uniform()) / m_pattern.queriesPerSecond;
    after(Duration(static_cast<Duration::rep>(gap * 1e6)), [this, index] { query(index); });
}

Duration ObservationFleet::latency(const FailureDomainId &one, const FailureDomainId &other) const
{
    return one == other ? 700us : 1400us;
}

void ObservationFleet::apply(std::size_t host, const GatewayEffect &effect)
{
    if (const auto *attempt = std::get_if<StartAttempt>(&effect)) {
        m_hosts[host].open.insert(attempt->attempt);
        const BackendRegistration &target = m_servers.at(attempt->server.value).registration;
        const FailureDomainId &own = m_entries[host].failureDomain;
        const std::string part = attempt->request->requestId + " " + target.service.value;
        const bool isFirst = ++m_hosts[host].attempts[part] == 1;
        if (isCounted())
            ++(isFirst ? m_outcome.parts : m_outcome.repeats);
        if (!m_pattern.isCut(own, target.failureDomain))
            after(latency(own, target.failureDomain),
                  [this, host, copy = *attempt] { arrive(host, copy); });
        after(attempt->remaining,
              [this, host, id = attempt->attempt] { end(host, id, AttemptFailure::Expired); });
    } else if (const auto *release = std::get_if<ReleaseAttempt>(&effect)) {
        after(release->linger,
              [this, host, id = release->attempt] { end(host, id, AttemptFailure::Expired); });
    } else if (const auto *reply = std::get_if<ReplyToCaller>(&effect)) {
        count(host, *reply);
    } else if (const auto *message = std::get_if<SendToHost>(&effect)) {
        deliver(host, *message);
    } else if (const auto *connection = std::get_if<OpenConnection>(&effect)) {
        const FailureDomainId &own = m_entries[host].failureDomain;
        const auto &target = m_servers.at(connection->server.value).registration.failureDomain;
        after(2ms, [this, host, server = connection->server, isCut = m_pattern.isCut(own, target)] {
            send(host, ConnectionAttemptEnded { server, !isCut });
        });
    }
}

void ObservationFleet::deliver(std::size_t from, const SendToHost &effect)
{
    const auto *sent = std::get_if<ServerObservations>(&effect.message);
    if (!sent)
        return;
    const std::size_t to = std::stoul(effect.host.value.substr(1));
    const FailureDomainId &fromDomain = m_entries[from].failureDomain;
    const FailureDomainId &toDomain = m_entries[to].failureDomain;
    if (isCounted())
        ++m_outcome.messages[m_entries[from].host.value];
    if (m_pattern.isCut(fromDomain, toDomain)
        || m_pattern.isLost(m_entries[from], m_entries[to], sinceStart()))
        return;
    ServerObservations message = *sent;
    m_pattern.change(m_entries[from], message);
    after(latency(fromDomain, toDomain), [this, from, to, message] {
        send(to, ObservationsReceived { m_entries[from].host, message });
    });
}

void ObservationFleet::arrive(std::size_t host, const StartAttempt &attempt)
{
    const std::string &name = attempt.server.value;
    Server &server = m_servers.at(name);
    if (isCounted())
        ++m_outcome.served[name];
    const ServerState state = m_pattern.state(attempt.server, server.random, sinceStart());
    if (state.hangs)
        return;
    if (server.waiting.size() >= kQueueLimit || uniform() < state.refuses) {
        m_outcome.refusals += isCounted() ? 1 : 0;
        return finish(host, attempt, 503, true);
    }
    if (uniform() < state.fails)
        return finish(host, attempt, 500, false);
    if (server.running < kSlots)
        work(name, { host, attempt });
    else
        server.waiting.push_back({ host, attempt });
}

void ObservationFleet::work(const std::string &name, const Waiting &request)
{
    Server &server = m_servers.at(name);
    ++server.running;
    const ServerState state = m_pattern.state({ name }, server.random, sinceStart());
    const double factor = (0.5 + uniform()) * state.slowness;
    const auto time = static_cast<double>(m_pattern.meanWork.count()) * factor;
    after(Duration(static_cast<Duration::rep>(time)), [this, name, request] {
        Server &finished = m_servers.at(name);
        --finished.running;
        if (!finished.waiting.empty()) {
            const Waiting next = finished.waiting.front();
            finished.waiting.pop_front();
            work(name, next);
        }
        finish(request.host, request.attempt, 200, false);
    });
}

void ObservationFleet::finish(std::size_t host, const StartAttempt &attempt, int status,
                              bool isRefused)
{
    BackendAnswer answer;
    answer.status = status;
    answer.notExecuted = isRefused;
    answer.body = std::string(16, 'r');
    answer.signature = "signature of " + attempt.server.value;
    const auto &domain = m_servers.at(attempt.server.value).registration.failureDomain;
    after(latency(m_entries[host].failureDomain, domain),
          [this, host, id = attempt.attempt, answer] { end(host, id, answer); });
}

void ObservationFleet::end(std::size_t host, AttemptId attempt, const AttemptResult &result)
{
    if (m_hosts[host].open.erase(attempt) > 0)
        send(host, AttemptEnded { attempt, result });
}

void ObservationFleet::count(std::size_t host, const ReplyToCaller &reply)
{
    const MonotonicTime arrivedAt = m_hosts[host].arrivals.at(reply.exchange);
    if (arrivedAt - m_start < m_pattern.warmUp)
        return;
    ++m_outcome.queries;
    if (!std::holds_alternative<MergedReply>(reply.reply))
        return;
    ++m_outcome.answered;
    m_outcome.inTime += m_now - arrivedAt <= kLatencyTarget ? 1 : 0;
}

} // namespace greengagestair
