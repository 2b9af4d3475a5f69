#include "gateway/rollout/Rollouts.h"

#include "core/Hashing.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A host that was not up to date with the store for this time does not expose a version. */
static constexpr Duration kStaleTime = seconds(2);
/**
 * Such a host sends to old servers again, so from this time without news on it says that it does: a
 * report has to hold until the next one arrives. News come about once a second.
 */
static constexpr Duration kDoubtTime = milliseconds(1300);
static constexpr Duration kReportInterval = milliseconds(500);
/** In a switch the target version has its full load, so its failures have to be known soon. */
static constexpr Duration kSwitchReportInterval = milliseconds(250);
/** Reports without news are sent at this interval, well below the time after which a host counts as
 * silent. */
static constexpr Duration kQuietReportInterval = seconds(1);
static constexpr Duration kDecisionInterval = milliseconds(100);
/** The second in the ranking acts if the state is not advanced this long after it was due. */
static constexpr Duration kTakeoverTime = milliseconds(1500);
/** A roll-back is safe whoever begins it, and each second of delay is exposure. */
static constexpr Duration kRollbackTakeoverTime = milliseconds(300);
/** Delay of the next write after one that failed or whose effect is unknown. */
static constexpr Duration kWriteRetryDelay = milliseconds(500);
/** A notice may be lost, so it is repeated until the state has ended. */
static constexpr Duration kNoticeInterval = seconds(1);
/**
 * After a longer pause between two decisions, this process may have been stopped while the reports
 * of the others arrived, so the others have not been silent.
 */
static constexpr Duration kPauseTime = seconds(1);

Rollouts::Rollouts(HostId self, const std::optional<RolloutOptions> &options,
                   const BackendDirectory &directory, const DomainReachability &reachability)
    : m_self(std::move(self))
    , m_options(options)
    , m_directory(directory)
    , m_reachability(reachability)
    , m_hosts(std::make_shared<const std::vector<HostEntry>>())
{
}

void Rollouts::setOptions(const std::optional<RolloutOptions> &options)
{
    m_options = options;
    if (!m_options)
        m_entries.clear();
    countOpen();
}

void Rollouts::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
}

void Rollouts::setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts)
{
    m_hosts = std::move(hosts);
    for (auto &[service, entry] : m_entries)
        entry.ranking.reset();
}

void Rollouts::addStoreNews()
{
    m_newsAt = m_now;
    for (auto &[service, entry] : m_entries)
        entry.awaitsNews = false;
    std::erase_if(m_entries,
                  [this](const auto &item) { return item.second.rollout.isForgettable(m_now); });
}

bool Rollouts::isStale() const
{
    return !m_newsAt || m_now - *m_newsAt > kStaleTime;
}

Rollouts::Entry *Rollouts::find(const ServiceId &service)
{
    const auto found = m_entries.find(service);
    return found == m_entries.end() ? nullptr : &found->second;
}

Rollouts::Entry &Rollouts::entryOf(const ServiceId &service)
{
    return m_entries.try_emplace(service, m_self, service).first->second;
}

void Rollouts::addServer(const BackendRegistration &registration)
{
    // All versions that are registered when this host starts count as known.
    if (!m_options || !m_newsAt)
        return;
    const auto &servers = m_directory.serversOf(registration.service);
    const bool isKnown = std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
        return server->registration.softwareVersion == registration.softwareVersion;
    });
    if (!isKnown && !servers.empty())
        entryOf(registration.service).rollout.addNewVersion(registration.softwareVersion, m_now);
}

void Rollouts::read(const RolloutsRead &event)
{
    if (!m_options)
        return;
    std::unordered_map<ServiceId, RolloutOrder> orders;
    std::unordered_map<ServiceId, RolloutState> states;
    for (const RolloutOrder &order : event.orders) {
        orders.emplace(order.service, order);
        entryOf(order.service);
    }
    for (const RolloutState &state : event.states) {
        states.emplace(state.service, state);
        entryOf(state.service);
    }
    for (auto &[service, entry] : m_entries) {
        const auto order = orders.find(service);
        const auto state = states.find(service);
        const bool hasChanged = entry.rollout.read(
                order == orders.end() ? std::nullopt : std::optional(order->second),
                state == states.end() ? std::nullopt : std::optional(state->second),
                event.hasStoreGoneBack, m_newsAt, *m_options, m_now);
        if (hasChanged && entry.rollout.state())
            log(*entry.rollout.state());
        if (hasChanged)
            entry.dueSince.reset();
    }
    countOpen();
}

void Rollouts::log(const RolloutState &state)
{
    m_effects->push_back(
            LogRecord { LogPriority::State,
                        "rolloutState",
                        { { "service", state.service.value },
                          { "version", state.targetVersion },
                          { "phase", toText(state.phase) },
                          { "step", std::to_string(state.step) },
                          { "share", std::to_string(state.share) },
                          { "orderRevision", std::to_string(state.orderRevision.value) },
                          { "elapsedMicros", std::to_string(state.elapsed.count()) } } });
}

bool Rollouts::takeTurn(const ServiceId &service)
{
    if (m_entries.empty())
        return false;
    Entry *entry = find(service);
    return entry && entry->rollout.takeTurn(isStale(), m_now);
}

bool Rollouts::hasUsable(const ServiceId &service, const VersionFilter &filter) const
{
    const auto &servers = m_directory.serversOf(service);
    return std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
        return filter.allows(server->registration.softwareVersion)
                && m_directory.isInService(*server)
                && m_reachability.isReachable(server->registration.failureDomain);
    });
}

VersionFilter Rollouts::filterFor(const ServiceId &service, bool isForTarget, bool wasUnsent)
{
    Entry *entry = m_entries.empty() ? nullptr : find(service);
    if (!entry)
        return {};
    const bool isOutOfDate = isStale();
    const VersionSplit &split = entry->rollout.split(isOutOfDate, m_now);
    if (split.isTargetOnly || (isForTarget && split.share > 0)) {
        const VersionFilter target { &split.versions, VersionFilter::Group::Target };
        if (hasUsable(service, target))
            return target;
    }
    // Without news, the old servers may have stopped since the roll-out is complete.
    const bool mayBeComplete = isOutOfDate && wasUnsent;
    if (split.versions.withheld.empty() || mayBeComplete)
        return {};
    const VersionFilter others { &split.versions, VersionFilter::Group::Others };
    return hasUsable(service, others) ? others : VersionFilter {};
}

bool Rollouts::isJudged(const ServiceId &service) const
{
    const auto found = m_entries.find(service);
    return found != m_entries.end() && found->second.rollout.isJudged();
}

void Rollouts::addResult(const Backend &backend, const std::string &route, RolloutResult result,
                         Duration time)
{
    Entry *entry = find(backend.registration.service);
    if (!entry || !entry->rollout.isJudged())
        return;
    // A cold server is slow whatever its version is.
    const bool isCold = m_now < backend.coldUntil || backend.mayHaveRestarted;
    if (isCold && result != RolloutResult::Failure)
        return;
    const bool isTarget = entry->rollout.isTarget(backend.registration.softwareVersion);
    m_counters.add(isTarget ? "rollout_results_total{version=\"target\"}"
                            : "rollout_results_total{version=\"other\"}");
    entry->rollout.counter().add(route, isTarget, result, time);
}

std::array<const HostEntry *, 2> Rollouts::rankingOf(const ServiceId &service, Entry &entry) const
{
    if (entry.ranking)
        return *entry.ranking;
    std::array<const HostEntry *, 2> best { nullptr, nullptr };
    std::array<std::uint64_t, 2> scores { 0, 0 };
    const std::string key = "rollout/" + service.value;
    for (const HostEntry &host : *m_hosts) {
        const std::uint64_t score = rendezvousScore(key, host.host.value);
        if (!best[0] || score > scores[0]) {
            best = { &host, best[0] };
            scores = { score, scores[0] };
        } else if (!best[1] || score > scores[1]) {
            best[1] = &host;
            scores[1] = score;
        }
    }
    entry.ranking = best;
    return best;
}

RolloutReport Rollouts::makeReport(const ServiceId &service, Entry &entry) const
{
    const ServiceRollout &rollout = entry.rollout;
    RolloutReport report;
    report.service = service;
    report.orderRevision = rollout.order() ? rollout.order()->revision : Revision {};
    if (rollout.state())
        report.stateRevision = rollout.state()->revision;
    for (const auto &server : m_directory.serversOf(service)) {
        if (!rollout.isTarget(server->registration.softwareVersion))
            report.oldInProgress += static_cast<std::uint32_t>(server->load.inFlight());
    }
    if (!m_newsAt || m_now - *m_newsAt > kDoubtTime)
        ++report.oldInProgress;
    report.counts = entry.rollout.counter().counts();
    return report;
}

void Rollouts::report(const ServiceId &service, Entry &entry)
{
    if (m_now < entry.nextReportAt)
        return;
    const auto &state = entry.rollout.state();
    const bool isSwitching = state && state->phase == RolloutPhase::Switching;
    entry.nextReportAt = m_now + (isSwitching ? kSwitchReportInterval : kReportInterval);
    const RolloutReport report = makeReport(service, entry);
    const bool isNews = !entry.lastReport || report != *entry.lastReport;
    if (!isNews && m_now - entry.lastReportAt < kQuietReportInterval)
        return;
    entry.lastReport = report;
    entry.lastReportAt = m_now;
    for (const HostEntry *host : rankingOf(service, entry)) {
        if (!host)
            continue;
        if (host->host == m_self) {
            entry.coordinator.addReport(m_self, report, m_now);
            continue;
        }
        m_counters.add("rollout_reports_total");
        m_effects->push_back(SendToHost { host->host, host->peer, report });
    }
}

void Rollouts::addReport(const HostId &sender, const RolloutReport &report)
{
    // A host that does not know the order yet keeps the reports for it all the same.
    if (m_options)
        entryOf(report.service).coordinator.addReport(sender, report, m_now);
}

void Rollouts::addNotice(const RolloutNotice &notice)
{
    if (!m_options)
        return;
    Entry &entry = entryOf(notice.service);
    const bool wasNoticed = entry.rollout.isNoticed();
    entry.rollout.addNotice(notice);
    if (!wasNoticed)
        m_effects->push_back(
                LogRecord { LogPriority::State,
                            "rolloutNotice",
                            { { "service", notice.service.value },
                              { "version", notice.targetVersion },
                              { "orderRevision", std::to_string(notice.orderRevision.value) } } });
}

RolloutSituation Rollouts::situationOf(const ServiceId &service, const Entry &entry) const
{
    const ServiceRollout &rollout = entry.rollout;
    RolloutSituation situation;
    situation.now = m_now;
    situation.listeningSince = m_listeningSince;
    situation.orderedAt = rollout.orderedAt();
    situation.appliedAt = rollout.appliedAt();
    situation.order = rollout.order() ? &*rollout.order() : nullptr;
    situation.state = rollout.state() ? &*rollout.state() : nullptr;
    situation.wasToldBad = rollout.isNoticed();
    const std::string target = situation.order ? situation.order->targetVersion : std::string();
    for (const auto &server : m_directory.serversOf(service)) {
        if (server->registration.softwareVersion != target)
            situation.hasOldServers = true;
        else if (m_directory.isInService(*server))
            situation.hasTargetServers = true;
    }
    return situation;
}

void Rollouts::coordinate(const ServiceId &service, Entry &entry)
{
    const auto ranking = rankingOf(service, entry);
    const bool isFirst = ranking[0] && ranking[0]->host == m_self;
    const bool isSecond = ranking[1] && ranking[1]->host == m_self;
    if (!isFirst && !isSecond)
        return;
    const auto next = entry.coordinator.decide(situationOf(service, entry), *m_options, *m_hosts);
    if (!next) {
        entry.dueSince.reset();
        return;
    }
    if (!entry.dueSince)
        entry.dueSince = m_now;
    const bool isRollback = next->phase == RolloutPhase::RolledBack;
    const Duration headStart = isRollback ? kRollbackTakeoverTime : kTakeoverTime;
    if (isFirst || m_now - *entry.dueSince >= headStart)
        carryOut(entry, *next);
}

void Rollouts::carryOut(Entry &entry, const RolloutState &next)
{
    if (next.phase == RolloutPhase::RolledBack)
        tellHosts(entry, next);
    if (entry.pending || entry.awaitsNews || m_now < entry.mayWriteAt)
        return;
    entry.pending = next;
    RolloutWrite write { next, {} };
    if (entry.rollout.order())
        write.expectedOrder = entry.rollout.order()->revision;
    m_effects->push_back(WriteRolloutState { std::move(write) });
}

void Rollouts::tellHosts(Entry &entry, const RolloutState &state)
{
    if (m_now < entry.nextNoticeAt)
        return;
    entry.nextNoticeAt = m_now + kNoticeInterval;
    const RolloutNotice notice { state.service, state.orderRevision, state.targetVersion };
    addNotice(notice);
    for (const HostEntry &host : *m_hosts) {
        if (host.host == m_self)
            continue;
        m_counters.add("rollout_notices_total");
        m_effects->push_back(SendToHost { host.host, host.peer, notice });
    }
}

void Rollouts::endWrite(const RolloutWriteEnded &event)
{
    Entry *entry = find(event.service);
    if (!entry || !entry->pending)
        return;
    RolloutState written = *std::exchange(entry->pending, std::nullopt);
    entry->dueSince.reset();
    if (const auto *failure = std::get_if<StoreFailure>(&event.result)) {
        m_counters.add(std::string("rollout_writes_total{result=\"") + toText(*failure) + "\"}");
        entry->mayWriteAt = m_now + kWriteRetryDelay;
        entry->awaitsNews = true;
        return;
    }
    m_counters.add("rollout_writes_total{result=\"written\"}");
    written.revision = std::get<Revision>(event.result);
    entry->rollout.applyWritten(written, m_now);
    log(written);
    countOpen();
}

void Rollouts::advance()
{
    if (!m_options || m_now < m_nextDecisionAt)
        return;
    if (m_now - m_nextDecisionAt > kPauseTime)
        m_listeningSince = m_now;
    m_nextDecisionAt = m_now + kDecisionInterval;
    for (auto &[service, entry] : m_entries) {
        if (!entry.rollout.isOpen())
            continue;
        report(service, entry);
        coordinate(service, entry);
    }
}

void Rollouts::countOpen()
{
    m_open = static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(),
                          [](const auto &item) { return item.second.rollout.isOpen(); }));
}

std::vector<Counter> Rollouts::counters() const
{
    if (!m_options)
        return {};
    std::vector<Counter> counters = m_counters.all();
    counters.push_back({ "rollouts_open", m_open });
    return counters;
}

boost::json::array Rollouts::dump() const
{
    boost::json::array list;
    for (const auto &[service, entry] : m_entries) {
        const auto &state = entry.rollout.state();
        if (state)
            list.push_back({ { "service", service.value },
                             { "version", state->targetVersion },
                             { "phase", toText(state->phase) },
                             { "step", state->step },
                             { "share", state->share },
                             { "noticed", entry.rollout.isNoticed() },
                             { "revision", state->revision.value } });
    }
    return list;
}

} // namespace greengagestair
