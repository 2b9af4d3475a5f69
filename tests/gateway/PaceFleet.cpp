#include "PaceFleet.h"

namespace greengagestair {

/** Step of the virtual time. */
static constexpr Duration kStep = 1ms;
/** Waiting times of a flooded server from this on count as late. */
static constexpr Duration kLate = 40ms;

void PaceOutcome::add(const PaceOutcome &other)
{
    queries += other.queries;
    answered += other.answered;
    inTime += other.inTime;
    refused += other.refused;
    late += other.late;
    arrivals += other.arrivals;
    arrivalsInFirstSecond += other.arrivalsInFirstSecond;
    // The slowest run counts; one that never reaches the share has no value.
    if (secondsToShare && other.secondsToShare)
        secondsToShare = std::max(*secondsToShare, *other.secondsToShare);
    else
        secondsToShare.reset();
    longestIdle = std::max(longestIdle, other.longestIdle);
}

PaceFleet::PaceFleet(PaceLoad load, std::uint64_t seed)
    : m_load(std::move(load))
    , m_arrivals(seed)
    , m_workTimes(seed + 1)
{
    for (std::size_t index = 0; index < m_load.servers; ++index)
        m_servers[registration(index).server.value] = { index, {}, {}, {} };
    for (int host = 0; host < m_load.hosts; ++host) {
        m_hosts.push_back(std::make_unique<GatewayFixture>());
        configure(*m_hosts.back(), m_hosts.size() - 1);
    }
    m_now = m_hosts.front()->now;
    m_nextRequest = m_now;
    m_returnAt = m_now + m_load.before;
}

BackendRegistration PaceFleet::registration(std::size_t server) const
{
    const std::string number = std::to_string(server);
    BackendRegistration registration = GatewayFixture::registration("desk", "d" + number);
    registration.failureDomain = { "shubra" };
    return registration;
}

void PaceFleet::configure(GatewayFixture &fixture, std::size_t host) const
{
    GatewayOptions options = GatewayFixture::options(120);
    options.selector.host = { "h" + std::to_string(host) };
    options.pacesReturningServers = m_load.isPaced;
    fixture.send(OptionsChanged { options });
    GatewayRoute route = GatewayFixture::orderRoute();
    route.name = "desk";
    route.host = "desk.example";
    route.prefix = "/desk/";
    route.repeatable = true;
    route.timeout = 600ms;
    route.latencyTarget = 100ms;
    route.targets = { { { "desk" }, 1 } };
    fixture.configuration.routes.push_back(route);
    fixture.addService("desk");
    fixture.configuration.services.at({ "desk" }).connectionLimit = 10'000;
    fixture.send(ConfigurationRead {
            std::make_shared<const RoutingConfiguration>(fixture.configuration) });
    RegistrationsRead servers;
    for (std::size_t index = 0; index < m_load.servers; ++index) {
        if (index >= m_load.returning || m_load.isKnownBefore)
            servers.registrations.push_back(registration(index));
    }
    fixture.send(servers);
    fixture.send(GatewayFixture::hosts(m_load.hosts, 0));
    fixture.wait(15s);
}

void PaceFleet::registerReturning()
{
    m_hasReturned = true;
    for (auto &[name, server] : m_servers)
        server.lastArrival = m_now;
    if (!m_load.isNewProcess)
        return;
    for (std::size_t index = 0; index < m_load.returning; ++index) {
        for (const auto &host : m_hosts) {
            BackendRegistration started = registration(index);
            started.startedAt = 2;
            host->send(RegistrationWritten { started });
        }
    }
}

PaceOutcome PaceFleet::run()
{
    while (m_now < m_returnAt)
        step();
    registerReturning();
    while (m_now < m_returnAt + m_load.length)
        step();
    m_outcome.secondsToShare = secondsToShare();
    return m_outcome;
}

void PaceFleet::step()
{
    m_now += kStep;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        GatewayFixture &fixture = *m_hosts[host];
        const auto due = fixture.gateway().nextWakeUp();
        if (due && *due <= m_now)
            fixture.wait(m_now - fixture.now);
        fixture.now = m_now;
        collect(host);
    }
    while (!m_completions.empty() && m_completions.top().at <= m_now) {
        const Completion completion = m_completions.top();
        m_completions.pop();
        m_hosts[completion.host]->answer(completion.attempt);
        collect(completion.host);
    }
    sendRequests();
}

void PaceFleet::sendRequests()
{
    while (m_nextRequest <= m_now) {
        const double gap = std::exponential_distribution<>(m_load.requestsPerSecond)(m_arrivals);
        m_nextRequest += Duration(static_cast<Duration::rep>(gap * 1e6));
        const auto host = static_cast<std::size_t>(m_arrivals() % m_hosts.size());
        const ExchangeId exchange =
                m_hosts[host]->request("desk.example", "/desk/" + std::to_string(m_arrivals()));
        if (m_hasReturned) {
            m_sent.emplace(std::pair(host, exchange), m_now);
            ++m_outcome.queries;
        }
        collect(host);
    }
}

void PaceFleet::collect(std::size_t host)
{
    GatewayFixture &fixture = *m_hosts[host];
    for (auto attempts = fixture.takeAttempts(); !attempts.empty();
         attempts = fixture.takeAttempts()) {
        for (const StartAttempt &attempt : attempts)
            arrive(host, attempt);
    }
    for (const ReplyToCaller &reply : std::exchange(fixture.replies, {}))
        onReply(reply, host);
    fixture.connections.clear();
    fixture.released.clear();
    fixture.log.clear();
}

double PaceFleet::rateOf(const Server &server) const
{
    return isReturning(server) ? m_load.bears(m_now - m_returnAt) : m_load.steadyRate;
}

void PaceFleet::count(Server &server)
{
    if (!m_hasReturned)
        return;
    const auto second = static_cast<std::size_t>((m_now - m_returnAt) / 1s);
    server.arrivalsBySecond.resize(std::max(server.arrivalsBySecond.size(), second + 1));
    ++server.arrivalsBySecond[second];
    if (!isReturning(server))
        return;
    ++m_outcome.arrivals;
    m_outcome.arrivalsInFirstSecond += second == 0 ? 1 : 0;
    m_outcome.longestIdle = std::max(m_outcome.longestIdle, m_now - server.lastArrival);
    server.lastArrival = m_now;
}

void PaceFleet::arrive(std::size_t host, const StartAttempt &attempt)
{
    Server &server = m_servers.at(attempt.server.value);
    if (rateOf(server) <= 0)
        return m_hosts[host]->fail(attempt, AttemptFailure::NotSent);
    count(server);
    work(server, host, attempt);
}

void PaceFleet::work(Server &server, std::size_t host, const StartAttempt &attempt)
{
    const Duration wait = std::max(server.freeAt - m_now, Duration(0));
    const bool counts = m_hasReturned && isReturning(server);
    if (wait > (isReturning(server) ? m_load.returningQueueLimit : m_load.queueLimit)) {
        m_outcome.refused += counts ? 1 : 0;
        return m_hosts[host]->shed(attempt);
    }
    m_outcome.late += counts && wait >= kLate ? 1 : 0;
    server.freeAt = m_now + wait + Duration(static_cast<Duration::rep>(1e6 / rateOf(server)));
    const double spread = std::uniform_real_distribution<>(0.5, 1.5)(m_workTimes);
    const double time = static_cast<double>(m_load.baseTime.count()) * spread;
    m_completions.push(
            { m_now + wait + Duration(static_cast<Duration::rep>(time)), host, attempt });
}

void PaceFleet::onReply(const ReplyToCaller &reply, std::size_t host)
{
    const auto sent = m_sent.find({ host, reply.exchange });
    if (sent == m_sent.end())
        return;
    if (std::holds_alternative<ForwardedReply>(reply.reply)) {
        ++m_outcome.answered;
        m_outcome.inTime += m_now - sent->second <= 100ms ? 1 : 0;
    }
    m_sent.erase(sent);
}

std::optional<int> PaceFleet::secondsToShare() const
{
    const double equalShare = m_load.requestsPerSecond / static_cast<double>(m_load.servers);
    const auto seconds = static_cast<std::size_t>(m_load.length / 1s);
    std::optional<int> first;
    for (std::size_t second = 0; second < seconds; ++second) {
        double arrivals = 0;
        for (const auto &[name, server] : m_servers) {
            if (isReturning(server) && second < server.arrivalsBySecond.size())
                arrivals += static_cast<double>(server.arrivalsBySecond[second]);
        }
        if (!first && arrivals >= 0.7 * equalShare * static_cast<double>(m_load.returning))
            first = static_cast<int>(second);
    }
    return first;
}

} // namespace greengagestair
