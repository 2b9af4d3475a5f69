#include "gateway/Gateway.h"

#include <algorithm>

namespace greengagestair {

/** Delay before a lower host count is used; longer than an outage of the store. */
static constexpr Duration kLowerHostCountDelay = std::chrono::seconds(30);

Gateway::Gateway(const GatewayOptions &options)
    : m_reachability(options.selector.failureDomain, m_directory)
    , m_serverLimits(options.selector.host, options.randomSeed)
    , m_quotas(options.selector.host, options.quota, options.randomSeed)
    , m_observations(options.selector.host, options.selector.failureDomain, m_directory,
                     options.randomSeed)
    , m_restarts(m_directory)
    , m_selector(options.selector, m_directory, m_reachability, m_serverLimits, m_observations)
    , m_rollouts(options.selector.host, options.rollout, m_directory, m_reachability)
    , m_warmer(m_directory, options.randomSeed)
    , m_jointRepeatLimits(options.repeats)
    , m_dispatcher(m_selector, m_reachability, m_serverLimits, m_quotas, m_restarts, m_observations,
                   m_rollouts, repeatShare())
    , m_quarantineExchange(options.selector.host, options.selector.failureDomain,
                           m_dispatcher.quarantine(), options.randomSeed)
    , m_ownDomain(options.selector.failureDomain)
{
    m_observations.setEnabled(options.sharesObservations);
    m_selector.pacing().setEnabled(options.pacesReturningServers);
    m_selector.pacing().setEvidenceSource(&m_observations);
    m_quotas.setReachability(&m_reachability);
}

RepeatLimits Gateway::repeatShare() const
{
    RepeatLimits share = shareOfRepeats(m_jointRepeatLimits, m_hostCount.all);
    if (!m_areHostsKnown)
        share.slack = 0;
    return share;
}

GatewayEffects Gateway::handle(GatewayEvent event, MonotonicTime now)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_selector.setStartedAt(now);
    }
    m_now = std::max(m_now, now);
    m_effects.clear();
    m_reachability.beginStep(m_now, m_effects);
    m_serverLimits.beginStep(m_now, m_effects);
    m_quotas.beginStep(m_now, m_effects);
    m_observations.beginStep(m_now, m_effects);
    m_rollouts.beginStep(m_now, m_effects);
    m_dispatcher.beginStep(m_now, m_effects);
    m_quarantineExchange.beginStep(m_now, m_effects);
    std::visit([&](auto &typed) { on(typed); }, event);
    m_dispatcher.applyQuotaDecisions();
    updateCutOff();
    m_selector.pacing().takeLogRecords(m_effects);
    return std::move(m_effects);
}

std::optional<MonotonicTime> Gateway::nextWakeUp() const
{
    std::optional<MonotonicTime> next = m_dispatcher.nextWakeUp();
    for (const auto &other :
         { m_directory.nextRemoval(), m_reachability.nextWakeUp(), m_warmer.nextWakeUp(),
           m_restarts.nextWakeUp(), m_quotas.nextWakeUp(), m_retention.nextExpiry(),
           m_observations.nextWakeUp(), m_rollouts.nextWakeUp(), m_quarantineExchange.nextWakeUp(),
           m_lowerCountValidAt }) {
        if (other && (!next || *other < *next))
            next = other;
    }
    return next;
}

void Gateway::on(const RequestReceived &event)
{
    m_dispatcher.start(event, m_configuration);
}

void Gateway::on(const CallerDisconnected &event)
{
    m_dispatcher.onCallerDisconnected(event.exchange);
}

void Gateway::on(AttemptEnded &event)
{
    m_dispatcher.endAttempt(event);
}

void Gateway::on(const ConfigurationRead &event)
{
    const std::uint64_t current = m_configuration ? m_configuration->version : 0;
    const bool isNewer = !m_configuration || event.configuration->version > current;
    if (!isNewer)
        return;
    m_configuration = event.configuration;
    m_restarts.setConfiguration(m_configuration);
    m_quotas.setTenants(m_configuration->tenants);
    m_effects.push_back(
            LogRecord { LogPriority::State,
                        "configurationInForce",
                        { { "version", std::to_string(m_configuration->version) },
                          { "former", std::to_string(current) },
                          { "routes", std::to_string(m_configuration->routes.size()) },
                          { "services", std::to_string(m_configuration->services.size()) } } });
}

void Gateway::on(const EvacuationsRead &event)
{
    const std::set<FailureDomainId> domains = m_retention.failureDomainsAfter(event, m_now);
    if (domains == m_directory.evacuated())
        return;
    std::string domainNames;
    for (const FailureDomainId &failureDomain : domains)
        domainNames += (domainNames.empty() ? "" : " ") + failureDomain.value;
    m_directory.setEvacuated(domains);
    m_effects.push_back(LogRecord {
            LogPriority::State, "outOfService", { { "failureDomains", domainNames } } });
    m_dispatcher.retryWaiting();
}

void Gateway::on(const StoreCaughtUp & /*event*/)
{
    m_caughtUpAt = m_now;
    m_rollouts.addStoreNews();
    m_restarts.addStoreNews(m_now);
    m_quotas.addStoreContact();
}

void Gateway::on(const HostsRead &event)
{
    const auto hosts =
            std::make_shared<const std::vector<HostEntry>>(m_retention.hostsAfter(event, m_now));
    m_serverLimits.setHosts(hosts);
    m_quotas.setHosts(hosts);
    m_rollouts.setHosts(hosts);
    m_lastHostCount = {};
    for (const HostEntry &host : *hosts)
        ++m_lastHostCount.byDomain[host.failureDomain];
    m_lastHostCount.all = std::max<std::size_t>(hosts->size(), 1);
    const std::size_t ownDomainHosts = m_lastHostCount.byDomain[m_ownDomain];
    m_lastHostCount.ownDomain = std::max<std::size_t>(ownDomainHosts, 1);
    m_observations.setHosts(*hosts);
    m_quarantineExchange.setHosts(*hosts);
    if (!std::exchange(m_areHostsKnown, true))
        m_dispatcher.setRepeatLimits(repeatShare());
    const bool isHigher = m_lastHostCount.all >= m_hostCount.all
            && m_lastHostCount.ownDomain >= m_hostCount.ownDomain;
    if (isHigher)
        return setHosts(m_lastHostCount);
    // The entries of hosts that cannot reach the store expire, but these hosts still send requests.
    if (!m_lowerCountValidAt)
        m_lowerCountValidAt = m_now + kLowerHostCountDelay;
}

void Gateway::setHosts(const HostCount &hosts)
{
    m_lowerCountValidAt.reset();
    if (hosts == m_hostCount)
        return;
    m_hostCount = hosts;
    m_selector.setHostCount(hosts);
    m_serverLimits.setHostCount(hosts.all);
    m_quotas.setHostCount(hosts.all);
    m_dispatcher.setHostCount(hosts.all);
    m_dispatcher.setRepeatLimits(repeatShare());
    m_effects.push_back(LogRecord { LogPriority::State,
                                    "hostsCounted",
                                    { { "hosts", std::to_string(hosts.all) },
                                      { "ownDomain", std::to_string(hosts.ownDomain) } } });
}

void Gateway::on(const ServerLossReported &event)
{
    m_dispatcher.addReportedLoss(event.reporter, event.loss);
}

void Gateway::on(const LossesRequested &event)
{
    m_quarantineExchange.onRequest(event.sender, event.endpoint, event.request);
}

void Gateway::on(const LossesReceived &event)
{
    m_quarantineExchange.onAnswer(event.sender, event.recorded);
}

void Gateway::on(const UnreachableDomainReported &event)
{
    m_reachability.addUnreachableReport(event.failureDomain);
}

void Gateway::on(const PermitsRequested &event)
{
    const auto backend = m_directory.find(event.request.server);
    m_serverLimits.answer(event.sender, event.request, backend.get());
}

void Gateway::on(const PermitsGranted &event)
{
    if (const auto backend = m_directory.find(event.grant.server)) {
        m_serverLimits.addGrant(*backend, event.grant);
        m_dispatcher.retryWaiting();
    }
}

void Gateway::on(const QuotaRequested &event)
{
    m_quotas.onRequest({ event.sender, event.endpoint }, event.request);
}

void Gateway::on(const QuotaGranted &event)
{
    m_quotas.onGrant(event.sender, event.grant);
}

void Gateway::on(const HostLost &event)
{
    m_quotas.onPeerLost(event.host, event.isRefused);
}

void Gateway::on(const ObservationsReceived &event)
{
    m_observations.receive(event.sender, event.message);
}

void Gateway::on(const ConnectionAttemptEnded &event)
{
    m_reachability.addConnectionResult(event.server, event.isConnected);
    const auto backend = m_directory.find(event.server);
    if (backend && event.isConnected)
        m_restarts.addContact(*backend, m_now);
    else if (backend)
        m_restarts.addConnectionLoss(*backend, m_now);
    if (backend && !event.isConnected)
        m_selector.pacing().addConnectionLoss(*backend, m_now);
    m_dispatcher.retryWaiting();
}

void Gateway::on(const LastConnectionLost &event)
{
    if (const auto backend = m_directory.find(event.server))
        m_restarts.addConnectionLoss(*backend, m_now);
}

bool Gateway::isCutOff(const GatewayRoute &route) const
{
    if (!route.gather) {
        return std::any_of(route.targets.begin(), route.targets.end(), [this](const auto &target) {
            return m_selector.isCutOff(target.service);
        });
    }
    const std::vector<ServiceId> &shards = route.gather->services;
    const auto cutOffShards =
            std::count_if(shards.begin(), shards.end(),
                          [this](const ServiceId &shard) { return m_selector.isCutOff(shard); });
    const double coverage = 1
            - static_cast<double>(cutOffShards)
                    / static_cast<double>(std::max<std::size_t>(shards.size(), 1));
    return coverage < route.gather->minCoverage;
}

void Gateway::updateCutOff()
{
    const bool isIsolated = m_configuration && m_reachability.isIsolated();
    const bool isCutOffNow = isIsolated
            && std::any_of(m_configuration->routes.begin(), m_configuration->routes.end(),
                           [this](const GatewayRoute &route) { return isCutOff(route); });
    if (isCutOffNow == m_isCutOff)
        return;
    m_isCutOff = isCutOffNow;
    m_effects.push_back(
            LogRecord { LogPriority::State, m_isCutOff ? "cutOff" : "cutOffEnded", {} });
}

void Gateway::on(const OptionsChanged &event)
{
    m_ownDomain = event.options.selector.failureDomain;
    m_reachability.setOwnDomain(m_ownDomain);
    m_observations.setOwnDomain(m_ownDomain);
    m_observations.setEnabled(event.options.sharesObservations);
    m_selector.setOptions(event.options.selector);
    m_selector.pacing().setEnabled(event.options.pacesReturningServers);
    m_rollouts.setOptions(event.options.rollout);
    m_jointRepeatLimits = event.options.repeats;
    m_dispatcher.setRepeatLimits(repeatShare());
    m_quotas.setOptions(event.options.quota);
}

void Gateway::on(const GatewayStopRequested &event)
{
    m_isStopping = true;
    m_quotas.stop();
    m_dispatcher.stopAt(m_now + event.remaining);
    m_effects.push_back(LogRecord { LogPriority::State, "stopping", {} });
}

void Gateway::on(const TimeAdvanced & /*event*/)
{
    if (m_lowerCountValidAt && *m_lowerCountValidAt <= m_now)
        setHosts(m_lastHostCount);
    if (const auto expiry = m_retention.nextExpiry(); expiry && *expiry <= m_now) {
        on(EvacuationsRead(m_retention.lastEvacuations()));
        on(HostsRead(m_retention.lastHosts()));
    }
    removeDueServers();
    m_reachability.advance();
    m_restarts.advance(m_now);
    m_warmer.advance(m_now, m_effects);
    m_quotas.advance();
    m_observations.advance();
    m_rollouts.advance();
    m_quarantineExchange.advance();
    m_dispatcher.advance();
}

void Gateway::removeDueServers()
{
    for (const BackendRegistration &removed : m_directory.removeDue(m_now)) {
        m_retention.addRemoved(removed, m_now);
        m_effects.push_back(LogRecord {
                LogPriority::State, "serverRemoved", { { "server", removed.server.value } } });
        m_effects.push_back(CloseIdleConnections { removed.server });
    }
}

std::vector<Counter> Gateway::counters() const
{
    std::vector<Counter> counters = m_dispatcher.counters().all();
    for (Counter &counter : m_serverLimits.counters().all())
        counters.push_back(std::move(counter));
    for (Counter &counter : m_quotas.counters().all())
        counters.push_back(std::move(counter));
    for (Counter &counter : m_observations.counters())
        counters.push_back(std::move(counter));
    m_selector.pacing().appendCounters(counters);
    for (Counter &counter : m_rollouts.counters())
        counters.push_back(std::move(counter));
    counters.push_back({ "configuration_version", m_configuration ? m_configuration->version : 0 });
    counters.push_back({ "registered_servers", m_directory.size() });
    counters.push_back({ "loss_signatures", m_dispatcher.quarantine().size() });
    counters.push_back({ "loss_signatures_learnt_total", m_quarantineExchange.learntSignatures() });
    counters.push_back({ "requests_in_progress", m_dispatcher.exchanges() });
    counters.push_back({ "attempts_in_progress", m_dispatcher.attempts() });
    counters.push_back({ "entry_hosts", m_hostCount.all });
    std::uint64_t limited = 0;
    std::uint64_t suspected = 0;
    std::uint64_t leaving = 0;
    std::uint64_t paused = 0;
    for (const auto &[server, backend] : m_directory.servers()) {
        limited += backend->needs.requestLimit() ? 1 : 0;
        suspected += backend->mayHaveRestarted ? 1 : 0;
        leaving += backend->needs.isLeaving() ? 1 : 0;
        paused += m_now < backend->needs.pausedUntil() ? 1 : 0;
    }
    counters.push_back({ "servers_limited", limited });
    counters.push_back({ "servers_suspected_of_restart", suspected });
    counters.push_back({ "servers_leaving", leaving });
    counters.push_back({ "servers_paused", paused });
    const double slackMillis = m_dispatcher.repeatLimits().slack * 1000;
    counters.push_back({ "repeat_slack_millis", static_cast<std::uint64_t>(slackMillis) });
    return counters;
}

boost::json::object Gateway::dump(MonotonicTime now) const
{
    boost::json::array servers;
    for (const auto &[server, backend] : m_directory.servers()) {
        const BackendRegistration &registration = backend->registration;
        const auto &limit = backend->needs.requestLimit();
        servers.push_back(
                { { "server", server.value },
                  { "service", registration.service.value },
                  { "failureDomain", registration.failureDomain.value },
                  { "version", registration.softwareVersion },
                  { "inService", m_directory.isInService(*backend) },
                  { "reachable", m_reachability.isReachable(registration.failureDomain) },
                  { "cold", now < backend->coldUntil },
                  { "mayHaveRestarted", backend->mayHaveRestarted },
                  { "registered", !backend->removeAt.has_value() },
                  { "leaving", backend->needs.isLeaving() },
                  { "paused", now < backend->needs.pausedUntil() },
                  { "pace", backend->pace.share() },
                  { "requestLimit", limit ? boost::json::value(*limit) : nullptr },
                  { "inFlight", backend->load.inFlight() },
                  { "expectedMicros",
                    backend->load.expectedTime(Duration(0), registration.slots, now).count() } });
    }
    boost::json::array outOfService;
    for (const FailureDomainId &failureDomain : m_directory.evacuated())
        outOfService.push_back(boost::json::string(failureDomain.value));
    return { { "ready", isReady() },
             { "stopping", m_isStopping },
             { "cutOff", m_isCutOff },
             { "configuration", m_configuration ? m_configuration->version : 0 },
             { "requestsInProgress", m_dispatcher.exchanges() },
             { "attemptsInProgress", m_dispatcher.attempts() },
             { "entryHosts", m_hostCount.all },
             { "outOfService", outOfService },
             { "rollouts", m_rollouts.dump() },
             { "servers", servers } };
}

} // namespace greengagestair
