#include "gateway/pace/ReturnPacing.h"

#include "core/Hashing.h"

#include <algorithm>
#include <string>
#include <utility>

namespace greengagestair {

/** Interval of the probes of one server by all hosts together, unless a bound below applies. */
static constexpr Duration kJointProbeInterval = std::chrono::milliseconds(150);
static constexpr Duration kMinProbeInterval = std::chrono::milliseconds(500);
/** With more than 66 hosts, each host still gets a result of its own within this time. */
static constexpr Duration kMaxProbeInterval = std::chrono::seconds(10);
/**
 * Usual requests to a server of another failure domain, relative to one of the own: the cost of
 * the way makes them rare while own servers are available.
 */
static constexpr double kOtherDomainWeight = 0.1;

const char *toText(ReturnReason reason)
{
    switch (reason) {
    case ReturnReason::NewProcess:
        return "newProcess";
    case ReturnReason::Unreachable:
        return "unreachable";
    case ReturnReason::Failing:
        return "failing";
    case ReturnReason::Refusing:
        return "refusing";
    }
    return "";
}

ReturnPacing::ReturnPacing(const SelectorOptions &options, const BackendDirectory &directory)
    : m_options(options)
    , m_directory(directory)
{
}

void ReturnPacing::setEnabled(bool isEnabled)
{
    if (m_isEnabled && !isEnabled) {
        for (const auto &[server, backend] : m_directory.servers())
            backend->pace = {};
    }
    m_isEnabled = isEnabled;
}

Duration ReturnPacing::probeInterval() const
{
    const Duration interval = kJointProbeInterval * static_cast<Duration::rep>(m_hostCount);
    return std::clamp(interval, kMinProbeInterval, kMaxProbeInterval);
}

void ReturnPacing::beginReturn(Backend &backend, ReturnReason reason, MonotonicTime now)
{
    const ServerId &server = backend.registration.server;
    // The hosts learn of a start at the same time; their first probes are spread by hash.
    const std::uint64_t hash = rendezvousScore(server.value, m_options.host.value);
    const auto delay =
            static_cast<Duration::rep>(hash % static_cast<std::uint64_t>(probeInterval().count()));
    backend.pace.beginReturn(reason, now, now + Duration(delay));
    m_counters.add(std::string("servers_returned_total{reason=\"") + toText(reason) + "\"}");
    m_log.push_back({ LogPriority::State,
                      "serverReturning",
                      { { "server", server.value }, { "reason", toText(reason) } } });
}

void ReturnPacing::addProcess(Backend &backend, MonotonicTime now)
{
    if (m_isEnabled)
        beginReturn(backend, ReturnReason::NewProcess, now);
}

void ReturnPacing::addConnectionLoss(Backend &backend, MonotonicTime now)
{
    addResult(backend, PaceResult::Unreachable, now, now);
}

void ReturnPacing::addStart(Backend &backend, MonotonicTime now)
{
    if (!m_isEnabled || !backend.pace.isReturning())
        return;
    m_counters.add(admits(backend, now) ? "paced_requests_total"
                                        : "paced_requests_unavoidable_total");
    backend.pace.addStart(now, probeInterval());
}

void ReturnPacing::addResult(Backend &backend, PaceResult result, MonotonicTime sentAt,
                             MonotonicTime now)
{
    if (!m_isEnabled)
        return;
    if (const auto reason = backend.pace.addResult(result, sentAt, now))
        return beginReturn(backend, *reason, now);
    endRoundIfComplete(backend, now);
}

void ReturnPacing::addAbandoned(Backend &backend, MonotonicTime sentAt, MonotonicTime now)
{
    if (m_isEnabled)
        backend.pace.addAbandoned(sentAt, now);
}

static std::optional<Duration> medianOf(std::vector<Duration> &times)
{
    if (times.empty())
        return std::nullopt;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

std::optional<Duration> ReturnPacing::othersTime(const Backend &backend, MonotonicTime now) const
{
    std::vector<Duration> steady;
    std::vector<Duration> returning;
    for (const auto &other : m_directory.serversOf(backend.registration.service)) {
        const auto time = other->pace.usualTime(now);
        if (other.get() != &backend && time)
            (other->pace.isReturning() ? returning : steady).push_back(*time);
    }
    return steady.empty() ? medianOf(returning) : medianOf(steady);
}

void ReturnPacing::record(const Backend &backend, PaceVerdict verdict)
{
    if (verdict == PaceVerdict::LowerBad || verdict == PaceVerdict::LowerSlow)
        m_counters.add("pace_lowered_total");
    if (!backend.pace.isReturning())
        m_log.push_back({ LogPriority::State,
                          "serverSteady",
                          { { "server", backend.registration.server.value } } });
}

void ReturnPacing::endRoundIfComplete(Backend &backend, MonotonicTime now)
{
    if (backend.pace.isRoundComplete(now))
        record(backend, backend.pace.endRound(othersTime(backend, now), now));
}

void ReturnPacing::applyShared(Backend &backend, MonotonicTime now)
{
    if (!m_evidence)
        return;
    const BackendRegistration &registration = backend.registration;
    const auto evidence = m_evidence->evidenceOf(registration.server, registration.startedAt, now);
    if (!evidence)
        return;
    if (const auto verdict = backend.pace.applyShared(*evidence, othersTime(backend, now), now))
        record(backend, *verdict);
}

void ReturnPacing::takeLogRecords(GatewayEffects &effects)
{
    for (LogRecord &line : std::exchange(m_log, {}))
        effects.push_back(std::move(line));
}

void ReturnPacing::appendCounters(std::vector<Counter> &counters) const
{
    for (Counter &counter : m_counters.all())
        counters.push_back(std::move(counter));
    std::uint64_t returning = 0;
    for (const auto &[server, backend] : m_directory.servers())
        returning += backend->pace.isReturning() ? 1 : 0;
    counters.push_back({ "servers_returning", returning });
}

void ReturnPacing::addDemand(const std::vector<Backend *> &usable, MonotonicTime now)
{
    if (!m_isEnabled || usable.empty())
        return;
    const auto isOwn = [this](const Backend *backend) {
        return backend->registration.failureDomain == m_options.failureDomain;
    };
    const bool hasOwn = std::any_of(usable.begin(), usable.end(), isOwn);
    const auto weight = [&](const Backend *backend) {
        const auto slots = std::max<std::size_t>(backend->registration.slots, 1);
        return static_cast<double>(slots) * (hasOwn && !isOwn(backend) ? kOtherDomainWeight : 1);
    };
    double totalWeight = 0;
    double totalShare = 0;
    for (const Backend *backend : usable) {
        totalWeight += weight(backend);
        totalShare += backend->pace.share();
    }
    // Relative to the mean, so that the shares add up to the demand if all servers are returning.
    const double meanShare = totalShare / static_cast<double>(usable.size());
    for (Backend *backend : usable) {
        if (!backend->pace.isReturning())
            continue;
        backend->pace.addCredit(weight(backend) / totalWeight * backend->pace.share() / meanShare);
        applyShared(*backend, now);
    }
}

bool ReturnPacing::isProbeDue(const Backend &backend, MonotonicTime now) const
{
    return m_isEnabled && backend.pace.isReturning() && backend.load.inFlight() == 0
            && now >= backend.pace.nextProbeAt();
}

bool ReturnPacing::admits(const Backend &backend, MonotonicTime now) const
{
    return !m_isEnabled || !backend.pace.isReturning() || backend.pace.hasCredit()
            || isProbeDue(backend, now);
}

} // namespace greengagestair
