#include "gateway/observations/ObservationCollector.h"

#include "core/Hashing.h"
#include "gateway/observations/ObservationTimes.h"

#include <algorithm>

namespace greengagestair {

/** Half-life of the counts, so that they are mostly of the last two seconds. */
static constexpr Duration kHalfLife = std::chrono::milliseconds(1000);
/** A server deviates if a request to it loses this time more than at the others of its service. */
static constexpr Duration kMinDeviation = std::chrono::milliseconds(15);
/** Slower servers deviate only beyond this multiple of the mean time of the others. */
static constexpr double kMinSlowness = 1.5;
/** A server that does not deviate any more is listed for this time, so that hosts learn of it. */
static constexpr Duration kListedTime = std::chrono::seconds(3);
/** Results of the own failure domain that count as much as those of all others together. */
static constexpr double kOwnResultsOfHalfWeight = 2;
/** Groups with fewer results than this are not compared with the others. */
static constexpr double kMinGroupResults = 0.2;

ObservationCollector::ObservationCollector(const BackendDirectory &directory,
                                           FailureDomainId ownDomain)
    : m_directory(directory)
    , m_ownDomain(std::move(ownDomain))
{
}

ObservationCollector::Record *ObservationCollector::recordFor(const ServerObservation &observation,
                                                              MonotonicTime now)
{
    const auto backend = m_directory.find(observation.server);
    if (!backend || backend->registration.startedAt != observation.startedAt)
        return nullptr;
    const auto [found, isNew] = m_records.try_emplace(observation.server);
    Record &record = found->second;
    if (!isNew && record.startedAt != observation.startedAt) {
        record = Record();
        // Statements about the former process are void; the state of the new one replaces them.
        record.listedUntil = now + kListedTime;
    }
    record.startedAt = observation.startedAt;
    record.lastAdded = now;
    return &record;
}

void ObservationCollector::addReport(const HostId &sender,
                                     const std::vector<ServerObservation> &observations,
                                     MonotonicTime now)
{
    const std::size_t group = hashBytes(sender.value) % kGroups;
    for (const ServerObservation &observation : observations) {
        const ServerEvidence evidence = evidenceIn(observation);
        if (resultCount(evidence) <= 0 || evidence.age > kStatementValidity)
            continue;
        if (Record *record = recordFor(observation, now))
            record->groups[group].add(evidence, kHalfLife, now);
    }
}

void ObservationCollector::addSummary(const FailureDomainId &sender,
                                      const std::vector<ServerObservation> &observations,
                                      MonotonicTime now)
{
    for (const ServerObservation &observation : observations) {
        const ServerEvidence evidence = evidenceIn(observation);
        if (resultCount(evidence) <= 0 || evidence.age > kStatementValidity)
            continue;
        if (Record *record = recordFor(observation, now))
            record->foreign[sender] = { evidence, now };
    }
}

ServerEvidence ObservationCollector::ownEvidence(const Record &record, MonotonicTime now)
{
    std::vector<ServerEvidence> groups;
    for (const RecentEvidence &group : record.groups) {
        const ServerEvidence evidence = group.at(now, kHalfLife, kStatementValidity);
        if (resultCount(evidence) >= kMinGroupResults)
            groups.push_back(evidence);
    }
    if (groups.size() > 1) {
        const auto badness = [](const ServerEvidence &evidence) {
            return expectedLoss(evidence) + meanTime(evidence);
        };
        std::sort(groups.begin(), groups.end(), [&](const auto &left, const auto &right) {
            return badness(left) < badness(right);
        });
        ServerEvidence &worst = groups.back();
        const ServerEvidence &next = groups[groups.size() - 2];
        // A host that invents many results must not outweigh the others.
        const double factor = std::min(resultCount(worst) / resultCount(next), 1.0);
        worst = groups.size() == kGroups
                ? scaled(next, factor)
                : scaled(worst, factor * resultCount(next) / resultCount(worst));
    }
    ServerEvidence sum;
    for (const ServerEvidence &evidence : groups)
        addEvidence(sum, evidence);
    return sum;
}

ServerEvidence ObservationCollector::jointEvidence(const Record &record, const Backend &backend,
                                                   MonotonicTime now) const
{
    ServerEvidence sum = ownEvidence(record, now);
    const double weight = kOwnResultsOfHalfWeight / (kOwnResultsOfHalfWeight + resultCount(sum));
    for (const auto &[domain, foreign] : record.foreign) {
        ServerEvidence evidence = foreign.evidence;
        evidence.age += now - foreign.receivedAt;
        // Failures that another domain sees elsewhere may be those of the link between the two.
        if (domain != backend.registration.failureDomain)
            evidence.failures = 0;
        if (evidence.age <= kStatementValidity)
            addEvidence(sum, scaled(evidence, weight * statementWeight(evidence.age)));
    }
    return sum;
}

std::vector<ObservationCollector::Row> ObservationCollector::rows(bool isJoint, MonotonicTime now)
{
    std::vector<Row> rows;
    for (auto &[server, record] : m_records) {
        const auto backend = m_directory.find(server);
        if (!backend || backend->registration.startedAt != record.startedAt)
            continue;
        const ServerEvidence evidence =
                isJoint ? jointEvidence(record, *backend, now) : ownEvidence(record, now);
        if (resultCount(evidence) > 0)
            rows.push_back({ backend.get(), &record, evidence, {} });
    }
    return rows;
}

std::unordered_map<ServiceId, ObservationCollector::ServiceState>
ObservationCollector::statesOf(const std::vector<Row> &rows) const
{
    std::unordered_map<ServiceId, ServiceState> states;
    for (const Row &row : rows) {
        ServiceState &service = states[row.backend->registration.service];
        service.losses.push_back(expectedLoss(row.evidence));
        if (row.evidence.answers > 0)
            service.times.push_back(meanTime(row.evidence));
    }
    for (auto &[name, service] : states) {
        // Servers without results are assumed to be sound.
        service.losses.resize(std::max(service.losses.size(), m_directory.serversOf(name).size()));
        std::sort(service.losses.begin(), service.losses.end());
        std::sort(service.times.begin(), service.times.end());
    }
    return states;
}

/**
 * Mean of the better half of `sorted` without one element `own`; nullopt if it has no others. The
 * mean of all would hide servers that are bad, but not as bad as the worst.
 */
static std::optional<Duration> meanOfBetterHalf(const std::vector<Duration> &sorted, Duration own)
{
    if (sorted.size() < 2)
        return std::nullopt;
    const auto half =
            std::max<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(sorted.size() - 1) / 2, 1);
    const auto position = std::lower_bound(sorted.begin(), sorted.end(), own) - sorted.begin();
    Duration sum = position < half ? -own : Duration(0);
    const auto end = sorted.begin() + half + (position < half ? 1 : 0);
    for (auto value = sorted.begin(); value != end; ++value)
        sum += *value;
    return sum / half;
}

Duration ObservationCollector::deviation(const Row &row, const ServiceState &service)
{
    const Duration loss = expectedLoss(row.evidence);
    const auto usualLoss = meanOfBetterHalf(service.losses, loss);
    Duration deviation = usualLoss ? loss - *usualLoss : Duration(0);
    if (row.evidence.answers <= 0)
        return deviation;
    const Duration time = meanTime(row.evidence);
    const auto usual = meanOfBetterHalf(service.times, time);
    if (usual
        && static_cast<double>(time.count()) > kMinSlowness * static_cast<double>(usual->count()))
        deviation += time - *usual;
    return deviation;
}

std::vector<ServerObservation> ObservationCollector::summary(bool isJoint, std::size_t limit,
                                                             MonotonicTime now)
{
    std::vector<Row> all = rows(isJoint, now);
    const auto services = statesOf(all);
    std::vector<Row> listed;
    for (Row &row : all) {
        row.deviation = deviation(row, services.at(row.backend->registration.service));
        if (row.deviation >= kMinDeviation)
            row.record->listedUntil = now + kListedTime;
        if (now < row.record->listedUntil)
            listed.push_back(row);
    }
    std::sort(listed.begin(), listed.end(), [](const Row &left, const Row &right) {
        return std::pair(right.deviation, left.backend->registration.server)
                < std::pair(left.deviation, right.backend->registration.server);
    });
    listed.resize(std::min(listed.size(), limit));
    std::vector<ServerObservation> observations;
    for (const Row &row : listed) {
        const ServerEvidence &evidence = row.evidence;
        observations.push_back({ row.backend->registration.server, row.record->startedAt,
                                 evidence.answers, evidence.refusals, evidence.failures,
                                 evidence.totalTime, evidence.age });
    }
    return observations;
}

std::vector<ServerObservation> ObservationCollector::summaryForHosts(std::size_t limit,
                                                                     MonotonicTime now)
{
    return summary(true, limit, now);
}

std::vector<ServerObservation> ObservationCollector::summaryForCollectors(std::size_t limit,
                                                                          MonotonicTime now)
{
    return summary(false, limit, now);
}

void ObservationCollector::forgetOld(MonotonicTime now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        return now - entry.second.lastAdded > 2 * kStatementValidity;
    });
}

} // namespace greengagestair
