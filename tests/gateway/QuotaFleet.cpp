#include "QuotaFleet.h"

#include "core/Hashing.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace greengagestair {

/** The hosts have run for a while when the load starts. */
static constexpr Duration kWarmUp = 20s;
/** A host reads a new host list within this time. */
static constexpr int kMaxListDelayMs = 1000;
static constexpr Duration kReadTime = 5s;
static constexpr Duration kPlatformInterval = 1s;

QuotaFleet::QuotaFleet(const QuotaPattern &pattern, std::uint64_t seed)
    : m_pattern(pattern)
    , m_random(seed)
    , m_demand(pattern.demand)
{
    m_start = m_now + kWarmUp;
    m_limits.push_back({ m_now, pattern.rate, pattern.burst });
    for (std::size_t host = 0; host < pattern.hosts; ++host)
        addHost();
    publishList();
}

void QuotaFleet::after(Duration delay, Action action)
{
    m_events.push({ m_now + delay, m_order++, std::move(action) });
}

void QuotaFleet::at(Duration time, Action action)
{
    m_events.push({ m_start + time, m_order++, std::move(action) });
}

std::vector<Tenant> QuotaFleet::tenants() const
{
    return { { { m_pattern.tenant }, {}, 0, m_limits.back().rate, m_limits.back().burst } };
}

void QuotaFleet::addHost()
{
    const std::size_t index = m_hosts.size();
    const double loaded = static_cast<double>(index) * m_pattern.loadedShare;
    Host host;
    host.id = { "h" + std::to_string(index) };
    host.isLoaded = index == 0 || std::floor(loaded + m_pattern.loadedShare) > std::floor(loaded);
    m_hosts.push_back(std::move(host));
    startProcess(index);
}

void QuotaFleet::startProcess(std::size_t index)
{
    Host &host = m_hosts[index];
    host.quotas = std::make_unique<TenantQuotas>(host.id, m_options, m_random());
    host.wakeUpAt.reset();
    host.waiting.clear();
    const std::uint64_t process = ++host.process;
    step(index, process, [this](TenantQuotas &quotas) {
        quotas.setTenants(tenants());
        if (m_list) {
            quotas.setHosts(m_list);
            quotas.setHostCount(m_list->size());
        }
    });
    touchPlatform(index, process);
}

void QuotaFleet::touchPlatform(std::size_t index, std::uint64_t process)
{
    if (m_hosts[index].process != process)
        return;
    if (isInTouch(m_hosts[index]))
        step(index, process, [](TenantQuotas &quotas) { quotas.addStoreContact(); });
    after(kPlatformInterval, [=, this] { touchPlatform(index, process); });
}

void QuotaFleet::publishList()
{
    std::vector<HostEntry> list;
    for (const Host &host : m_hosts) {
        if (host.isListed)
            list.push_back({ host.id, {}, {}, 0 });
    }
    m_list = std::make_shared<const std::vector<HostEntry>>(std::move(list));
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        after(std::chrono::milliseconds(m_random() % kMaxListDelayMs),
              [this, index, list = m_list] {
                  if (list != m_list || !isInTouch(m_hosts[index]))
                      return;
                  step(index, m_hosts[index].process, [list](TenantQuotas &quotas) {
                      quotas.setHosts(list);
                      quotas.setHostCount(list->size());
                  });
              });
    }
}

void QuotaFleet::setLimit(double rate, double burst)
{
    m_limits.push_back({ m_now + kReadTime, rate, burst });
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        after(std::chrono::milliseconds(m_random() % 5000), [this, index, list = tenants()] {
            step(index, m_hosts[index].process,
                 [list](TenantQuotas &quotas) { quotas.setTenants(list); });
        });
    }
}

std::size_t QuotaFleet::ranked(std::size_t place) const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (m_hosts[index].isListed)
            scores.emplace_back(rendezvousScore(m_pattern.tenant, m_hosts[index].id.value), index);
    }
    std::sort(scores.rbegin(), scores.rend());
    return scores[place].second;
}

void QuotaFleet::crash(std::size_t index, std::optional<Duration> downTime)
{
    Host &host = m_hosts[index];
    host.absentUntil = downTime ? m_now + *downTime : MonotonicTime::max();
    host.waiting.clear();
    ++host.process;
    if (downTime) {
        after(*downTime, [this, index] { startProcess(index); });
        return;
    }
    after(std::chrono::milliseconds(10'000 + m_random() % 5000), [this, index] {
        m_hosts[index].isListed = false;
        publishList();
    });
}

void QuotaFleet::crashAll(Duration downTime)
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index)
        crash(index, downTime + std::chrono::milliseconds(m_random() % 300));
}

void QuotaFleet::stop(std::size_t index)
{
    step(index, m_hosts[index].process, [](TenantQuotas &quotas) { quotas.stop(); });
    m_hosts[index].isListed = false;
    m_hosts[index].isLoaded = false;
    publishList();
    after(3s, [this, index] {
        m_hosts[index].absentUntil = MonotonicTime::max();
        ++m_hosts[index].process;
    });
}

void QuotaFleet::join(std::size_t hosts)
{
    // A new process reads the list before its own entry is on it.
    for (std::size_t i = 0; i < hosts; ++i)
        addHost();
    publishList();
}

void QuotaFleet::freeze(std::size_t index, Duration time)
{
    m_hosts[index].frozenUntil = m_now + time;
}

void QuotaFleet::cut(double share, bool fromPlatform)
{
    const bool isAnyListed = std::any_of(m_hosts.begin(), m_hosts.end(),
                                         [](const Host &host) { return !host.isListed; });
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        Host &host = m_hosts[index];
        host.isCut = static_cast<double>(index) < share * static_cast<double>(m_hosts.size());
        host.isOffPlatform = host.isCut && fromPlatform;
        if (host.absentUntil <= m_now)
            host.isListed = true;
    }
    if (isAnyListed)
        publishList();
    if (!fromPlatform)
        return;
    after(std::chrono::milliseconds(10'000 + m_random() % 5000), [this] {
        for (Host &host : m_hosts)
            host.isListed = host.isListed && !host.isOffPlatform;
        publishList();
    });
}

void QuotaFleet::cutHosts(const std::vector<std::size_t> &hosts)
{
    for (const std::size_t index : hosts)
        m_hosts[index].isCut = true;
}

void QuotaFleet::arrive()
{
    std::exponential_distribution<double> gap(std::max(m_demand, 0.01));
    after(std::chrono::round<Duration>(std::chrono::duration<double>(gap(m_random))),
          [this] { arrive(); });
    for (int tries = 0; tries < 100; ++tries) {
        const std::size_t index = m_random() % m_hosts.size();
        if (m_hosts[index].isLoaded && m_hosts[index].absentUntil <= m_now)
            return request(index);
    }
}

void QuotaFleet::admitted()
{
    m_admitted.push_back(m_now);
    ++m_outcome.admitted;
}

void QuotaFleet::request(std::size_t index)
{
    ++m_outcome.requests;
    const ExchangeId exchange { ++m_exchanges };
    const MonotonicTime arrivedAt = m_now;
    step(index, m_hosts[index].process, [=, this](TenantQuotas &quotas) {
        const QuotaAdmission admission = quotas.admit({ m_pattern.tenant }, exchange);
        if (admission.verdict == QuotaVerdict::Admitted)
            return admitted();
        if (admission.verdict == QuotaVerdict::Refused) {
            ++m_outcome.refused;
            return;
        }
        ++m_outcome.waited;
        m_hosts[index].waiting.emplace(exchange, arrivedAt);
    });
}

void QuotaFleet::step(std::size_t index, std::uint64_t process,
                      const std::function<void(TenantQuotas &)> &input)
{
    Host &host = m_hosts[index];
    if (host.process != process || host.absentUntil > m_now)
        return;
    if (host.frozenUntil > m_now)
        return after(host.frozenUntil - m_now, [=, this] { step(index, process, input); });
    host.quotas->beginStep(m_now, m_effects);
    input(*host.quotas);
    for (const QuotaDecision &decision : host.quotas->takeDecisions()) {
        const auto found = host.waiting.find(decision.exchange);
        if (found == host.waiting.end())
            continue;
        if (found->second >= host.frozenUntil)
            m_outcome.longestWait = std::max(m_outcome.longestWait, m_now - found->second);
        host.waiting.erase(found);
        if (decision.admission.verdict == QuotaVerdict::Admitted)
            admitted();
        else
            ++m_outcome.refused;
    }
    for (const GatewayEffect &effect : std::exchange(m_effects, {})) {
        if (const auto *message = std::get_if<SendToHost>(&effect))
            transmit(index, std::stoul(message->host.value.substr(1)), message->message);
    }
    const auto next = host.quotas->nextWakeUp();
    if (!next || (host.wakeUpAt && *host.wakeUpAt <= *next && *host.wakeUpAt > m_now))
        return;
    host.wakeUpAt = next;
    after(std::max(*next - m_now, Duration(0)),
          [=, this] { step(index, process, [](TenantQuotas &quotas) { quotas.advance(); }); });
}

void QuotaFleet::losePeer(std::size_t index, std::size_t peer, bool isRefused, Duration delay)
{
    after(delay, [=, this, process = m_hosts[index].process] {
        step(index, process,
             [=, this](TenantQuotas &quotas) { quotas.onPeerLost(m_hosts[peer].id, isRefused); });
    });
}

void QuotaFleet::transmit(std::size_t from, std::size_t to, const PeerMessage &message)
{
    ++m_outcome.messages;
    if (m_hosts[from].isCut != m_hosts[to].isCut)
        return losePeer(from, to, false, 1500ms);
    const auto delay = Duration(800 + m_random() % 1200);
    after(delay, [=, this, process = m_hosts[to].process] {
        if (m_hosts[to].absentUntil > m_now || m_hosts[to].process != process)
            return losePeer(from, to, true, 1ms);
        step(to, process, [=, this](TenantQuotas &quotas) {
            if (const auto *request = std::get_if<QuotaRequest>(&message))
                quotas.onRequest({ m_hosts[from].id, {} }, *request);
            else if (const auto *grant = std::get_if<QuotaGrant>(&message))
                quotas.onGrant(m_hosts[from].id, *grant);
        });
    });
}

double QuotaFleet::worstUse(MonotonicTime from)
{
    const std::chrono::duration<double> window = m_options.window;
    double worst = 0;
    std::size_t end = 0;
    for (std::size_t begin = 0; begin < m_admitted.size(); ++begin) {
        while (end < m_admitted.size() && m_admitted[end] < m_admitted[begin] + m_options.window)
            ++end;
        if (m_admitted[begin] < from)
            continue;
        double allowed = 0;
        // A raised limit holds at once for some hosts; until a lowered one is in force, the former
        // one counts.
        for (std::size_t i = 0; i < m_limits.size(); ++i) {
            const bool isOver =
                    i + 1 < m_limits.size() && m_admitted[begin] >= m_limits[i + 1].inForceFrom;
            if (!isOver)
                allowed = std::max(allowed,
                                   (m_limits[i].rate * window.count() + m_limits[i].burst)
                                                   * (1 + m_options.overage)
                                           + m_options.slack);
        }
        const double use = static_cast<double>(end - begin) / allowed;
        if (use > worst)
            m_worstAt = m_admitted[begin];
        worst = std::max(worst, use);
    }
    return worst;
}

QuotaOutcome QuotaFleet::run(Duration length, Duration from)
{
    after(m_start - m_now, [this] { arrive(); });
    at(from, [this] { m_outcome = {}; });
    while (!m_events.empty() && m_events.top().at < m_start + length) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    for (const Host &host : m_hosts) {
        for (const auto &[exchange, since] : host.waiting) {
            if (host.absentUntil <= m_now && host.frozenUntil <= m_now && m_now - since > 100ms)
                ++m_outcome.lost;
        }
    }
    m_outcome.worstUse = worstUse(m_start);
    m_outcome.worstAt = m_worstAt - m_start;
    return m_outcome;
}

} // namespace greengagestair
