#include "gateway/observations/SharedObservations.h"

#include "core/Hashing.h"

#include <algorithm>
#include <tuple>

namespace greengagestair {

static constexpr Duration kRoundInterval = std::chrono::milliseconds(500);
/** The second in the ranking takes over if the first has sent no summary for this time. */
static constexpr Duration kTakeoverTime = std::chrono::milliseconds(1500);
/** Half-life of this host's own results. */
static constexpr Duration kOwnHalfLife = std::chrono::seconds(2);
/** Weight of an own result compared with one of the others. */
static constexpr double kOwnWeight = 6;
/** The results of the others count as at most this many, so that own ones can outweigh them. */
static constexpr double kMaxStatedResults = 5;
/** Results that are assumed in addition to those that show how slow a server is. */
static constexpr double kAssumedResults = 1;
/**
 * Servers in one report. An entry takes about 100 bytes, so that the reports of a host stay below
 * 6.5 KB/s; the servers that are left out come with the next reports.
 */
static constexpr std::size_t kMaxReported = 32;
/** Servers in one summary. */
static constexpr std::size_t kMaxListed = 200;
/** Entries that a collector sends at a time, over all recipients, before summaries get shorter. */
static constexpr std::size_t kMaxSentEntries = 3200;
/** Lower bound on the servers in a summary, however many recipients there are. */
static constexpr std::size_t kMinListed = 20;
/**
 * Hosts of a failure domain that report. In a larger one each host gets enough results of its own,
 * and the collector's link and processor would limit.
 */
static constexpr std::size_t kMaxReporters = 48;
/**
 * A host checks a new statement by a request of its own within this time, if it may send that many
 * trials. The collector itself may be wrong.
 */
static constexpr Duration kFirstTrialTime = std::chrono::seconds(10);
/** Statements are ignored if own results have a lower likelihood than this under them. */
static constexpr double kMinLikelihood = 0.1;
/** A stated share of refusals and failures counts as at most this one. */
static constexpr double kMaxStatedShare = 0.95;
/** Likelihood of an answer in half of the stated mean time. */
static constexpr double kFastAnswerLikelihood = 0.3;
/** Statements about a server are ignored for this time, or until this host sees it fail. */
static constexpr Duration kDoubtTime = std::chrono::seconds(30);
/** Share of the first attempts that may be trials. */
static constexpr double kTrialShare = 0.02;
static constexpr double kMaxSavedTrials = 2;
/** A server whose requests are expected to lose this time gets trials. */
static constexpr Duration kTrialLoss = std::chrono::milliseconds(10);
/** All hosts together send a trial to a server at this interval, if they have enough requests. */
static constexpr Duration kJointTrialInterval = std::chrono::milliseconds(1000);
/** One host sends trials to a server at this interval at the least. */
static constexpr Duration kMinTrialInterval = std::chrono::milliseconds(2000);
/** A server of which this host had a result a shorter time ago needs no trial. */
static constexpr Duration kTrialResultAge = std::chrono::milliseconds(1500);

SharedObservations::SharedObservations(HostId self, FailureDomainId ownDomain,
                                       const BackendDirectory &directory, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_ownDomain(std::move(ownDomain))
    , m_directory(directory)
    , m_collector(directory, m_ownDomain)
    , m_seed(hashBytes(m_self.value) ^ randomSeed)
    , m_phase(static_cast<Duration::rep>(m_seed
                                         % static_cast<std::uint64_t>(kRoundInterval.count())))
{
}

void SharedObservations::setEnabled(bool isEnabled)
{
    m_isEnabled = isEnabled;
    if (isEnabled)
        return;
    m_nextRound.reset();
    m_own.clear();
    m_statements.clear();
}

void SharedObservations::setOwnDomain(const FailureDomainId &domain)
{
    m_ownDomain = domain;
    m_collector.setOwnDomain(domain);
}

void SharedObservations::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
    if (m_isEnabled && !m_nextRound)
        m_nextRound = now + m_phase;
}

void SharedObservations::setHosts(const std::vector<HostEntry> &hosts)
{
    std::map<FailureDomainId, std::vector<HostEntry>> byDomain;
    m_hosts.clear();
    for (const HostEntry &host : hosts) {
        m_hosts.emplace(host.host, host);
        byDomain[host.failureDomain].push_back(host);
    }
    std::map<FailureDomainId, Domain> domains;
    for (const auto &[name, members] : byDomain) {
        Domain domain { publisherRanking(name, members), m_now };
        const auto known = m_domains.find(name);
        const bool hasSameCollector = known != m_domains.end()
                && known->second.ranking.front().host == domain.ranking.front().host;
        // A new collector has the time until a takeover to send its first summary.
        if (hasSameCollector)
            domain.lastSummary = known->second.lastSummary;
        domains.emplace(name, std::move(domain));
    }
    m_domains = std::move(domains);
}

void SharedObservations::add(const Backend &backend, const ServerEvidence &result)
{
    if (!m_isEnabled)
        return;
    const BackendRegistration &registration = backend.registration;
    const auto current = m_directory.find(registration.server);
    if (!current || current->registration.startedAt != registration.startedAt)
        return;
    checkStatement(backend, result);
    OwnRecord &record = m_own[registration.server];
    if (record.startedAt != registration.startedAt) {
        record = OwnRecord();
        record.startedAt = registration.startedAt;
    }
    if (resultCount(record.unreported) <= 0)
        record.unreportedSince = m_now;
    record.recent.add(result, kOwnHalfLife, m_now);
    addEvidence(record.unreported, result);
    record.lastResult = m_now;
}

void SharedObservations::checkStatement(const Backend &backend, const ServerEvidence &result)
{
    const auto stated = evidenceOfOthers(backend, m_now);
    if (!stated)
        return;
    if (result.answers <= 0) {
        m_doubts.erase(backend.registration.server);
        return;
    }
    const double lossShare = (stated->refusals + stated->failures) / resultCount(*stated);
    double likelihood = 1 - std::min(lossShare, kMaxStatedShare);
    if (2 * result.totalTime < meanTime(*stated))
        likelihood = std::min(likelihood, kFastAnswerLikelihood);
    Doubt &doubt = m_doubts[backend.registration.server];
    doubt.likelihood *= likelihood;
    if (doubt.likelihood >= kMinLikelihood)
        return;
    doubt = { 1, m_now + kDoubtTime };
    m_counters.add("observation_statements_ignored_total");
}

void SharedObservations::addAnswer(const Backend &backend, Duration time)
{
    add(backend, { .answers = 1, .totalTime = time });
}

void SharedObservations::addRefusal(const Backend &backend)
{
    add(backend, { .refusals = 1 });
}

void SharedObservations::addFailure(const Backend &backend)
{
    add(backend, { .failures = 1 });
}

const HostEntry *SharedObservations::entryOf(const HostId &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

std::optional<std::size_t> SharedObservations::rankOf(const HostEntry &host) const
{
    const auto domain = m_domains.find(host.failureDomain);
    if (domain == m_domains.end())
        return std::nullopt;
    const std::vector<HostEntry> &ranking = domain->second.ranking;
    const auto found = std::find_if(ranking.begin(), ranking.end(), [&](const HostEntry &other) {
        return other.host == host.host;
    });
    if (found == ranking.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - ranking.begin());
}

std::vector<HostEntry> SharedObservations::collectorsOf(const Domain &domain) const
{
    const bool isSilent = m_now - domain.lastSummary > kTakeoverTime;
    const std::size_t count = std::min<std::size_t>(isSilent ? 2 : 1, domain.ranking.size());
    return { domain.ranking.begin(), domain.ranking.begin() + static_cast<std::ptrdiff_t>(count) };
}

bool SharedObservations::isCollector() const
{
    const auto domain = m_domains.find(m_ownDomain);
    if (!m_isEnabled || domain == m_domains.end())
        return false;
    const std::vector<HostEntry> &ranking = domain->second.ranking;
    if (ranking.front().host == m_self)
        return true;
    const bool isStandby = ranking.size() > 1 && ranking[1].host == m_self;
    return isStandby && m_now - domain->second.lastSummary > kTakeoverTime;
}

bool SharedObservations::isReporter() const
{
    const HostEntry *self = entryOf(m_self);
    const auto rank = self ? rankOf(*self) : std::nullopt;
    return rank && *rank <= kMaxReporters;
}

void SharedObservations::receive(const HostId &sender, const ServerObservations &message)
{
    const HostEntry *entry = entryOf(sender);
    if (!m_isEnabled || !entry || sender == m_self)
        return;
    const bool isOwnDomain = entry->failureDomain == m_ownDomain;
    if (!message.isSummary) {
        if (isOwnDomain)
            m_collector.addReport(sender, message.observations, m_now);
        return;
    }
    // Only the first two in the ranking of a failure domain send summaries.
    const auto rank = rankOf(*entry);
    if (!rank || *rank > 1)
        return;
    m_counters.add("observation_summaries_received_total");
    if (*rank == 0)
        m_domains.at(entry->failureDomain).lastSummary = m_now;
    if (isOwnDomain)
        applySummary(message.observations);
    else
        m_collector.addSummary(entry->failureDomain, message.observations, m_now);
}

void SharedObservations::applySummary(const std::vector<ServerObservation> &observations)
{
    for (const ServerObservation &observation : observations) {
        const ServerEvidence evidence = evidenceIn(observation);
        if (resultCount(evidence) <= 0 || evidence.age > kStatementValidity
            || !m_directory.find(observation.server))
            continue;
        m_statements[observation.server] = { observation.startedAt, evidence, m_now };
        if (m_trialTimes.contains(observation.server))
            continue;
        // The hosts send their first trials at different times.
        const auto interval = static_cast<std::uint64_t>(kFirstTrialTime.count());
        const std::uint64_t delay = (hashBytes(observation.server.value) ^ m_seed) % interval;
        m_trialTimes[observation.server] = m_now + Duration(static_cast<Duration::rep>(delay));
    }
}

std::optional<MonotonicTime> SharedObservations::nextWakeUp() const
{
    return m_nextRound;
}

void SharedObservations::advance()
{
    if (!m_isEnabled || !m_nextRound || m_now < *m_nextRound)
        return;
    *m_nextRound = std::max(*m_nextRound + kRoundInterval, m_now + kRoundInterval / 2);
    if (m_domains.contains(m_ownDomain))
        report();
    logRole();
    if (m_wasCollector)
        summarise();
    forgetOld();
}

void SharedObservations::logRole()
{
    if (isCollector() == m_wasCollector)
        return;
    m_wasCollector = !m_wasCollector;
    m_effects->push_back(
            LogRecord { LogPriority::State,
                        m_wasCollector ? "observationsCollected" : "observationsNotCollected",
                        {} });
}

std::vector<ServerObservation> SharedObservations::takeReport()
{
    std::vector<std::pair<ServerId, OwnRecord *>> due;
    for (auto &[server, record] : m_own) {
        if (resultCount(record.unreported) > 0)
            due.emplace_back(server, &record);
    }
    const auto priority = [](const auto &entry) {
        const OwnRecord &record = *entry.second;
        return std::tuple(-expectedLoss(record.unreported), record.unreportedSince, entry.first);
    };
    std::sort(due.begin(), due.end(), [&](const auto &left, const auto &right) {
        return priority(left) < priority(right);
    });
    due.resize(std::min(due.size(), kMaxReported));
    std::vector<ServerObservation> observations;
    for (const auto &[server, record] : due) {
        const ServerEvidence evidence = std::exchange(record->unreported, {});
        observations.push_back({ server, record->startedAt, evidence.answers, evidence.refusals,
                                 evidence.failures, evidence.totalTime,
                                 m_now - record->lastResult });
    }
    return observations;
}

void SharedObservations::report()
{
    if (!isReporter())
        return;
    const ServerObservations message { false, takeReport() };
    if (message.observations.empty())
        return;
    for (const HostEntry &host : collectorsOf(m_domains.at(m_ownDomain))) {
        if (host.host == m_self)
            m_collector.addReport(m_self, message.observations, m_now);
        else
            send(host, message, "observation_reports_sent_total");
    }
}

void SharedObservations::summarise()
{
    const std::vector<HostEntry> &peers = m_domains.at(m_ownDomain).ranking;
    const std::size_t limit = std::clamp(kMaxSentEntries / peers.size(), kMinListed, kMaxListed);
    const ServerObservations forHosts { true, m_collector.summaryForHosts(limit, m_now) };
    const ServerObservations forCollectors { true, m_collector.summaryForCollectors(limit, m_now) };
    for (const HostEntry &peer : peers) {
        if (peer.host != m_self)
            send(peer, forHosts, "observation_summaries_sent_total");
    }
    for (const auto &[name, domain] : m_domains) {
        if (name == m_ownDomain)
            continue;
        for (const HostEntry &host : collectorsOf(domain))
            send(host, forCollectors, "observation_summaries_sent_total");
    }
    applySummary(forHosts.observations);
    m_collector.forgetOld(m_now);
}

void SharedObservations::send(const HostEntry &host, const ServerObservations &message,
                              std::string_view counter)
{
    m_counters.add(counter);
    m_effects->push_back(SendToHost { host.host, host.peer, message });
}

void SharedObservations::forgetOld()
{
    std::erase_if(m_statements, [this](const auto &entry) {
        return m_now - entry.second.receivedAt > kStatementValidity;
    });
    std::erase_if(m_own, [this](const auto &entry) {
        return m_now - entry.second.lastResult > kStatementValidity;
    });
    std::erase_if(m_doubts, [this](const auto &entry) {
        return entry.second.ignoredUntil < m_now && !m_statements.contains(entry.first);
    });
    std::erase_if(m_trialTimes, [this](const auto &entry) {
        return entry.second < m_now && !m_statements.contains(entry.first);
    });
}

Duration SharedObservations::trialInterval() const
{
    return std::max(kJointTrialInterval * static_cast<Duration::rep>(m_hosts.size()),
                    kMinTrialInterval);
}

std::optional<ServerEvidence> SharedObservations::evidenceOfOthers(const Backend &backend,
                                                                   MonotonicTime now) const
{
    const auto found = m_statements.find(backend.registration.server);
    if (found == m_statements.end() || found->second.startedAt != backend.registration.startedAt)
        return std::nullopt;
    ServerEvidence evidence = found->second.evidence;
    evidence.age += now - found->second.receivedAt;
    if (evidence.age >= kStatementValidity)
        return std::nullopt;
    return evidence;
}

std::optional<ServerEvidence> SharedObservations::evidenceOf(const ServerId &server,
                                                             std::uint64_t startedAt,
                                                             MonotonicTime now) const
{
    const auto backend = m_directory.find(server);
    if (!backend || backend->registration.startedAt != startedAt)
        return std::nullopt;
    return evidenceOfOthers(*backend, now);
}

Duration SharedObservations::extraTime(const Backend &backend, Duration typical,
                                       MonotonicTime now) const
{
    const auto stated = evidenceOfOthers(backend, now);
    const auto doubt = m_doubts.find(backend.registration.server);
    const bool isIgnored = doubt != m_doubts.end() && now < doubt->second.ignoredUntil;
    if (!stated || isIgnored)
        return Duration(0);
    const double factor = std::min(kMaxStatedResults / resultCount(*stated), 1.0);
    ServerEvidence evidence = scaled(*stated, factor * statementWeight(stated->age));
    const auto own = m_own.find(backend.registration.server);
    if (own != m_own.end() && own->second.startedAt == backend.registration.startedAt) {
        const ServerEvidence recent = own->second.recent.at(now, kOwnHalfLife, kStatementValidity);
        addEvidence(evidence, scaled(recent, kOwnWeight));
    }
    const double slowness = static_cast<double>((meanTime(evidence) - typical).count())
            * evidence.answers / (evidence.answers + kAssumedResults);
    return expectedLoss(evidence)
            + std::max(Duration(static_cast<Duration::rep>(slowness)), Duration(0));
}

void SharedObservations::addFirstAttempt()
{
    m_trials = std::min(m_trials + kTrialShare, kMaxSavedTrials);
}

bool SharedObservations::isTrialDue(const Backend &backend, Duration typical,
                                    MonotonicTime now) const
{
    if (m_trials < 1 || backend.load.inFlight() > 0)
        return false;
    const auto due = m_trialTimes.find(backend.registration.server);
    if (due == m_trialTimes.end() || now < due->second)
        return false;
    const auto own = m_own.find(backend.registration.server);
    if (own != m_own.end() && now - own->second.lastResult < kTrialResultAge)
        return false;
    return extraTime(backend, typical, now) >= kTrialLoss;
}

void SharedObservations::takeTrial(const Backend &backend, MonotonicTime now)
{
    m_trials -= 1;
    m_counters.add("observation_trials_total");
    m_trialTimes[backend.registration.server] = now + trialInterval();
}

std::vector<Counter> SharedObservations::counters() const
{
    std::vector<Counter> counters = m_counters.all();
    if (!m_isEnabled)
        return counters;
    counters.push_back({ "observation_statements", m_statements.size() });
    counters.push_back({ "observation_collector", isCollector() ? 1U : 0U });
    return counters;
}

} // namespace greengagestair
