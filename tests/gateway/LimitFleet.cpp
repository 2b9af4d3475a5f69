#include "LimitFleet.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace greengagestair {

/** From then on the rule is in force. */
static constexpr Duration kContactTime = 4s;
static constexpr Duration kRuleWindow = 4s;
static constexpr Duration kLastTime = 8s;
/** A host reads a new host list within this time. */
static constexpr int kMaxListDelayMs = 1000;
static constexpr Duration kRequestPatience = 200ms;
static constexpr Duration kRetryInterval = 10ms;

LimitFleet::LimitFleet(const LimitPattern &pattern, std::uint64_t seed)
    : m_pattern(pattern)
    , m_random(seed)
{
    // The hosts have run for a while.
    m_start = m_now + 5s;
    for (std::size_t host = 0; host < pattern.hosts; ++host)
        addHost();
    publishList();
}

void LimitFleet::after(Duration delay, Action action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

std::size_t LimitFleet::indexOf(const HostId &host) const
{
    return std::stoul(host.value.substr(1));
}

void LimitFleet::addHost()
{
    const std::size_t index = m_hosts.size();
    const double loaded = static_cast<double>(index) * m_pattern.loadedShare;
    Host host;
    host.id = { "h" + std::to_string(index) };
    host.isLoaded = index == 0 || std::floor(loaded + m_pattern.loadedShare) > std::floor(loaded);
    m_hosts.push_back(std::move(host));
    m_isListed.push_back(true);
    startProcess(index);
}

void LimitFleet::startProcess(std::size_t index)
{
    Host &host = m_hosts[index];
    host.limits = std::make_unique<JointServerLimits>(host.id, m_random());
    host.limits->setHostCount(m_pattern.hosts);
    host.backend = std::make_unique<Backend>();
    host.backend->registration.server = { "server" };
    host.backend->registration.startedAt = 1;
    host.toldAt.reset();
    if (m_list) {
        host.limits->beginStep(m_now, m_effects);
        host.limits->setHosts(m_list);
    }
}

void LimitFleet::publishList()
{
    std::vector<HostEntry> list;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (m_isListed[host])
            list.push_back({ m_hosts[host].id, {}, {}, 0 });
    }
    m_list = std::make_shared<const std::vector<HostEntry>>(std::move(list));
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        after(std::chrono::milliseconds(m_random() % kMaxListDelayMs), [this, host, list = m_list] {
            m_hosts[host].limits->beginStep(m_now, m_effects);
            m_hosts[host].limits->setHosts(list);
            m_hosts[host].limits->setHostCount(std::max(list->size(), m_pattern.hosts));
        });
    }
}

void LimitFleet::arrive()
{
    std::exponential_distribution<double> gap(m_pattern.demand);
    after(std::chrono::round<Duration>(std::chrono::duration<double>(gap(m_random))),
          [this] { arrive(); });
    for (int tries = 0; tries < 100; ++tries) {
        const std::size_t host = m_random() % m_hosts.size();
        if (m_hosts[host].isLoaded && m_hosts[host].absentUntil <= m_now)
            return request(host, m_now + kRequestPatience, true);
    }
}

void LimitFleet::request(std::size_t index, MonotonicTime until, bool isNew)
{
    Host &host = m_hosts[index];
    if (host.absentUntil > m_now)
        return;
    if (host.frozenUntil > m_now)
        return after(host.frozenUntil - m_now, [=, this] { request(index, until, isNew); });
    host.limits->beginStep(m_now, m_effects);
    const Permission former = host.limits->permission(*host.backend);
    host.limits->addDemand(*host.backend, isNew, former == Permission::Pending);
    if (host.limits->permission(*host.backend) == Permission::Granted) {
        host.limits->take(*host.backend);
        countArrival(host);
        after(6ms, [this, index, startedAt = m_now] { respond(index, startedAt); });
    } else if (m_now + kRetryInterval <= until) {
        after(kRetryInterval, [=, this] { request(index, until, false); });
    }
    sendEffects(index);
}

void LimitFleet::respond(std::size_t index, MonotonicTime startedAt)
{
    Host &host = m_hosts[index];
    if (host.absentUntil > m_now)
        return;
    if (host.frozenUntil > m_now)
        return after(host.frozenUntil - m_now, [=, this] { respond(index, startedAt); });
    host.limits->beginStep(m_now, m_effects);
    ServerStatement statement;
    statement.requestLimit = m_pattern.limit;
    host.limits->addResponse(*host.backend, statement, startedAt);
    if (!host.toldAt)
        host.toldAt = m_now;
    sendEffects(index);
}

bool LimitFleet::isDisturbed(double share)
{
    return std::generate_canonical<double, 32>(m_random) < share;
}

void LimitFleet::sendEffects(std::size_t from)
{
    for (const GatewayEffect &effect : std::exchange(m_effects, {})) {
        const auto *message = std::get_if<SendToHost>(&effect);
        if (!message)
            continue;
        ++m_outcome.messages;
        const std::size_t to = indexOf(message->host);
        // The same pairs are cut in each run; the other direction is open.
        const bool isCut = from < to
                && static_cast<double>((from * 31 + to * 17) % 100) < 100 * m_pattern.cutShare;
        if (!isCut)
            after(Duration(800 + m_random() % 2000),
                  [=, this, content = message->message] { deliver(from, to, content); });
    }
}

void LimitFleet::deliver(std::size_t from, std::size_t to, const PeerMessage &message)
{
    Host &host = m_hosts[to];
    if (host.absentUntil > m_now)
        return;
    if (host.frozenUntil > m_now)
        return after(host.frozenUntil - m_now, [=, this] { deliver(from, to, message); });
    host.limits->beginStep(m_now, m_effects);
    if (const auto *request = std::get_if<PermitRequest>(&message))
        host.limits->answer(m_hosts[from].id, *request, host.backend.get());
    else if (const auto *grant = std::get_if<PermitGrant>(&message))
        host.limits->addGrant(*host.backend, *grant);
    sendEffects(to);
}

void LimitFleet::countArrival(const Host &host)
{
    if (m_now >= m_start + m_pattern.length - kLastTime)
        ++m_lastArrivals;
    if (m_now < m_start + kContactTime || !host.toldAt || m_now < *host.toldAt + 500ms)
        return;
    m_counted.push_back(m_now);
    while (m_counted.front() + kRuleWindow < m_now)
        m_counted.pop_front();
    const std::chrono::duration<double> seconds = kRuleWindow;
    const double allowed = 1.5 * m_pattern.limit * seconds.count() + 5;
    m_outcome.worstUse =
            std::max(m_outcome.worstUse, static_cast<double>(m_counted.size()) / allowed);
}

void LimitFleet::restartSome()
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (!isDisturbed(m_pattern.restartShare))
            continue;
        m_hosts[host].absentUntil = m_now + 300ms;
        after(300ms, [this, host] { startProcess(host); });
    }
}

void LimitFleet::disturb()
{
    for (const Duration at : { Duration(5s), Duration(5700ms), Duration(11s) })
        after(at, [this] { restartSome(); });
    after(7s, [this] {
        for (Host &host : m_hosts) {
            if (isDisturbed(m_pattern.freezeShare))
                host.frozenUntil = m_now + 3s;
        }
    });
    after(9s, [this] {
        const auto joining = m_pattern.joinShare * static_cast<double>(m_pattern.hosts);
        for (std::size_t i = 0; i < static_cast<std::size_t>(joining); ++i)
            addHost();
        if (joining >= 1)
            publishList();
    });
    if (!m_pattern.isIssuerKilled)
        return;
    after(8s, [this] {
        const auto issued = [](const Host &host) {
            return host.limits->counters().value("permits_issued_total");
        };
        const auto issuer = std::max_element(
                m_hosts.begin(), m_hosts.end(),
                [&](const Host &left, const Host &right) { return issued(left) < issued(right); });
        issuer->absentUntil = MonotonicTime::max();
        const auto index = static_cast<std::size_t>(issuer - m_hosts.begin());
        after(2s, [this, index] {
            m_isListed[index] = false;
            publishList();
        });
    });
}

LimitOutcome LimitFleet::run()
{
    after(m_start - m_now, [this] {
        arrive();
        disturb();
    });
    while (!m_events.empty() && m_events.top().at < m_start + m_pattern.length) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    const std::chrono::duration<double> seconds = kLastTime;
    m_outcome.lastUse = static_cast<double>(m_lastArrivals) / (m_pattern.limit * seconds.count());
    return m_outcome;
}

} // namespace greengagestair
