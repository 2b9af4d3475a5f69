#include "core/CellSimulation.h"

#include "core/Hashing.h"
#include "core/documents/DocumentParsers.h"

#include <boost/json/serialize.hpp>

#include <algorithm>

namespace greengagestair {

using namespace std::chrono_literals;

static constexpr int kServersPerDomain = 12;

std::string makeConfiguration(const std::vector<std::string> &domains, int serversPerDomain,
                              const std::string &changeId)
{
    Configuration configuration;
    configuration.changeId = changeId;
    Service service { { "lookup" }, Route::AllGroups, 2, 1, 10, 6ms, 500ms, 300ms, 2000ms, {}, {} };
    service.operations = { { { "read" }, true, true } };
    Group group { { "g0" }, {} };
    std::uint16_t port = 7000;
    for (const std::string &domain : domains) {
        configuration.failureDomains.push_back({ { domain }, true });
        for (int index = 0; index < serversPerDomain; ++index) {
            group.servers.push_back({ { domain + "-server-" + std::to_string(index) },
                                      { "127.1.0.1", port++ },
                                      { domain },
                                      true });
        }
    }
    service.groups.push_back(group);
    configuration.services.push_back(service);
    return formatConfiguration(configuration);
}

CellSimulation::CellSimulation(std::uint64_t seed, MechanismSwitches mechanisms)
    : m_mechanisms(mechanisms)
    , m_random(seed)
{
    platform.put("configuration", makeConfiguration(m_domains, kServersPerDomain));
    for (const std::string &domain : m_domains) {
        for (int index = 0; index < kServersPerDomain; ++index)
            m_servers.push_back({ domain + "-server-" + std::to_string(index) });
    }
}

void CellSimulation::start(const std::string &host, const std::string &domain)
{
    ReducerOptions options;
    options.host = { host };
    options.incarnation = { static_cast<std::uint64_t>(m_now.time_since_epoch().count()) };
    options.failureDomain = { domain };
    options.peerEndpoint = { "127.0.1." + std::to_string(1 + hashBytes(host) % 250), 7400 };
    options.seeds = seeds;
    options.randomSeed = m_random();
    options.mechanisms = m_mechanisms;
    m_hostsByAddress[options.peerEndpoint.address] = host;
    m_nodes[host] = std::make_unique<Node>(options);
    step(host, [](StepContext &) {});
}

void CellSimulation::kill(const std::string &host)
{
    m_nodes.erase(host);
}

void CellSimulation::freeze(const std::string &host, Duration length)
{
    const Incarnation incarnation = node(host).options.incarnation;
    node(host).frozen = true;
    schedule(m_now + length, [this, host, incarnation] {
        if (!m_nodes.contains(host) || node(host).options.incarnation != incarnation)
            return;
        node(host).frozen = false;
        for (const auto &work : std::exchange(node(host).inbox, {}))
            step(host, work);
        step(host, [](StepContext &) {});
    });
}

void CellSimulation::blockLink(const std::string &from, const std::string &to)
{
    m_blockedLinks.insert({ from, to });
}

void CellSimulation::heal()
{
    m_blockedLinks.clear();
    platform.down = false;
    platform.losesAnswers = false;
}

void CellSimulation::leave(const std::string &host)
{
    step(host, [this, host](StepContext &context) {
        node(host).membership.requestStop(context);
        node(host).membership.setOwnerIdle(true);
    });
}

void CellSimulation::step(const std::string &host, const std::function<void(StepContext &)> &work)
{
    if (!m_nodes.contains(host))
        return;
    Node &target = node(host);
    if (target.frozen) {
        target.inbox.push_back(work);
        return;
    }
    const Instant instant { m_now, WallTime(m_now.time_since_epoch()) };
    Effects effects;
    StepContext context { instant, effects, target.counters, target.random };
    work(context);
    target.documents.onTick(context);
    target.membership.onTick(context);
    handleEffects(host, effects);
    scheduleWakeUp(host);
    checkSingleOwner(target.options.failureDomain);
}

void CellSimulation::run(Duration length)
{
    const MonotonicTime end = m_now + length;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        const auto work = m_queue.extract(m_queue.begin());
        m_now = std::max(m_now, work.key());
        work.mapped()();
    }
    m_now = end;
}

std::vector<std::string> CellSimulation::runningHosts() const
{
    std::vector<std::string> hosts;
    for (const auto &[host, target] : m_nodes) {
        if (!target->frozen)
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<std::string> CellSimulation::activeOwners(const ServerId &server) const
{
    std::vector<std::string> activeOwners;
    for (const auto &[host, target] : m_nodes) {
        if (!target->frozen && target->membership.maySendTo(server, m_now))
            activeOwners.push_back(host);
    }
    return activeOwners;
}

bool CellSimulation::allServersOwned(const std::string &domain) const
{
    return std::all_of(m_servers.begin(), m_servers.end(), [&](const ServerId &server) {
        return !server.value.starts_with(domain + "-") || !activeOwners(server).empty();
    });
}

void CellSimulation::schedule(MonotonicTime time, std::function<void()> work)
{
    m_queue.emplace(time, std::move(work));
}

void CellSimulation::handleEffects(const std::string &host, const Effects &effects)
{
    const Incarnation incarnation = node(host).options.incarnation;
    for (const Effect &effect : effects) {
        if (const auto *change = std::get_if<LogStateChange>(&effect))
            ++node(host).changes[change->kind];
        if (const auto *message = std::get_if<SendToPeer>(&effect))
            send(host, *message);
        const auto *call = std::get_if<CallPlatform>(&effect);
        if (!call)
            continue;
        const auto reply = [this, host, incarnation](Duration delay,
                                                     const PlatformFinished &finished) {
            schedule(m_now + delay, [this, host, incarnation, finished] {
                if (!m_nodes.contains(host) || node(host).options.incarnation != incarnation)
                    return;
                // An outage of the platform loses every answer that has not been delivered yet.
                const PlatformFinished received = platform.down
                        ? PlatformFinished { finished.call, PlatformFailure { {}, true } }
                        : finished;
                step(host, [this, host, received](StepContext &context) {
                    node(host).platform.deliver(context, received);
                });
            });
        };
        if (m_blockedLinks.contains({ host, "platform" }))
            reply(std::min<Duration>(call->timeout, 1s),
                  { call->call, PlatformFailure { {}, false } });
        else
            platform.handle(*call, reply);
    }
}

void CellSimulation::send(const std::string &from, const SendToPeer &message)
{
    const auto to = m_hostsByAddress.find(message.endpoint.address);
    if (to == m_hostsByAddress.end() || m_blockedLinks.contains({ from, to->second }))
        return;
    const ReducerOptions &sender = node(from).options;
    const PeerEnvelope envelope { sender.host, sender.incarnation, sender.peerEndpoint,
                                  message.message };
    const auto slowest = static_cast<std::uint64_t>(maxMessageDelay.count());
    const Duration delay(static_cast<Duration::rep>(200 + m_random() % slowest));
    schedule(m_now + delay, [this, host = to->second, envelope] { deliver(host, envelope); });
}

void CellSimulation::deliver(const std::string &host, const PeerEnvelope &envelope)
{
    if (m_blockedLinks.contains({ envelope.sender.value, host }))
        return;
    step(host, [this, host, envelope](StepContext &context) {
        Node &target = node(host);
        if (const auto *heartbeat = std::get_if<Heartbeat>(&envelope.message)) {
            target.membership.onHeartbeat(context, envelope, *heartbeat);
            target.documents.onPeerVersions(context, envelope, heartbeat->documents);
        } else if (const auto *ack = std::get_if<HeartbeatAck>(&envelope.message)) {
            target.membership.onHeartbeatAck(context, envelope, *ack);
            target.documents.onPeerVersions(context, envelope, ack->documents);
        } else if (const auto *join = std::get_if<JoinRequest>(&envelope.message)) {
            target.membership.onJoinRequest(context, envelope, *join);
        } else if (const auto *request = std::get_if<DocumentRequest>(&envelope.message)) {
            target.documents.onRequest(context, envelope, *request);
        } else if (const auto *push = std::get_if<DocumentPush>(&envelope.message)) {
            target.documents.onPush(context, envelope, *push);
        }
    });
}

void CellSimulation::scheduleWakeUp(const std::string &host)
{
    Node &target = node(host);
    const MonotonicTime next = std::max(
            std::min(target.documents.nextWakeUp(), target.membership.nextWakeUp()), m_now + 1ms);
    if (target.wakeUp > m_now && target.wakeUp <= next)
        return;
    target.wakeUp = next;
    const Incarnation incarnation = target.options.incarnation;
    schedule(next, [this, host, incarnation, next] {
        if (!m_nodes.contains(host) || node(host).options.incarnation != incarnation
            || node(host).wakeUp != next)
            return;
        step(host, [](StepContext &) {});
    });
}

void CellSimulation::checkSingleOwner(const FailureDomainId &domain)
{
    for (const ServerId &server : m_servers) {
        if (!server.value.starts_with(domain.value))
            continue;
        const std::vector<std::string> hosts = activeOwners(server);
        if (hosts.size() < 2)
            continue;
        ++violations;
        for (const std::string &host : hosts) {
            if (violations == 1)
                firstViolation += server.value + " at "
                        + std::to_string(m_now.time_since_epoch() / 1ms) + " " + host + ": "
                        + boost::json::serialize(node(host).membership.dump(m_now)) + "\n";
        }
    }
}

} // namespace greengagestair
