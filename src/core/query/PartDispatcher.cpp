#include "core/query/PartDispatcher.h"

#include <boost/json.hpp>

#include <algorithm>

namespace greengagestair {

/** Time subtracted from the remaining deadline for the round trip to the owner. */
static constexpr Duration kTransportAllowance = std::chrono::milliseconds(1);
static constexpr Duration kRemoveIdleInterval = std::chrono::seconds(30);

static bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

PartDispatcher::PartDispatcher(const ReducerOptions &options, DocumentView &documents,
                               OwnershipView &ownership, PartRouter &router,
                               IdentifierSource &identifiers, QueryTable &table)
    : m_options(options)
    , m_documents(documents)
    , m_ownership(ownership)
    , m_router(router)
    , m_identifiers(identifiers)
    , m_table(table)
    , m_replicas(options.failureDomain)
{
}

bool PartDispatcher::isUsable(const ServerId &server, MonotonicTime now) const
{
    if (m_options.mechanisms.failureDomainState && !m_documents.acceptsNewWork(server))
        return false;
    return m_ownership.ownerOf(server, now).has_value();
}

const Group *PartDispatcher::findGroup(const Query &query, std::size_t part) const
{
    const Service *service = findService(query.service);
    if (service == nullptr)
        return nullptr;
    const GroupId &name = query.groups[part];
    // Snapshots usually list the groups in the order of the configuration.
    if (part < service->groups.size() && service->groups[part].name == name)
        return &service->groups[part];
    const auto found = std::find_if(service->groups.begin(), service->groups.end(),
                                    [&](const Group &group) { return group.name == name; });
    return found == service->groups.end() ? nullptr : &*found;
}

void PartDispatcher::addServersLackingVersion(const Query &query, const Group &group,
                                              MonotonicTime now,
                                              std::vector<ServerId> &servers) const
{
    if (m_snapshots.serversLackingVersions() == 0)
        return;
    for (const BackendServer &server : group.servers) {
        if (m_snapshots.lacks(server.name, query.snapshot->version, now))
            servers.push_back(server.name);
    }
}

bool PartDispatcher::hasReplica(const Query &query, std::size_t part, MonotonicTime now) const
{
    return !candidates(query, part, now).empty();
}

PartDispatcher::Result PartDispatcher::send(StepContext &context, Query &query, std::size_t part,
                                            Purpose purpose)
{
    const auto servers = candidates(query, part, context.now());
    if (servers.empty())
        return Result::NoReplica;
    const Service *service = findService(query.service);
    const Duration partTime =
            m_services[query.service].partTimes.typicalPartTime(service->warmPartTime);
    const BackendServer *server =
            m_replicas.select(servers, *service, partTime, context.now(), context.random);
    return sendTo(context, query, part, *server, purpose, Trial::None);
}

PartDispatcher::Result PartDispatcher::sendTo(StepContext &context, Query &query, std::size_t part,
                                              const BackendServer &server, Purpose purpose,
                                              Trial trial)
{
    const MonotonicTime now = context.now();
    const Service *service = findService(query.service);
    std::optional<Member> owner = m_ownership.ownerOf(server.name, now);
    if (service == nullptr || !owner.has_value())
        return Result::NoReplica;
    const Duration remaining =
            std::min(query.deadline - now - kTransportAllowance, service->maxPartTime);
    if (remaining <= Duration::zero())
        return Result::TooLate;

    // The counter restarts with each process. Adding the incarnation (the start time of the
    // process) prevents a late answer to an earlier process from matching an attempt of this one.
    const PartId id { m_options.incarnation.value + m_identifiers.nextPart().value };
    QueryPart &queryPart = query.parts[part];
    queryPart.state = QueryPart::State::Open;
    queryPart.tried.push_back(server.name);
    const bool mayHedge = query.isRepeatable() && trial != Trial::Isolated;
    queryPart.hedgeAt = mayHedge ? now + hedgeDelay(query.service) : kNever;
    m_table.scheduleWakeUp(query, queryPart.hedgeAt);
    m_table.addAttempt(query, part, { id, server.name, *owner, now, purpose == Purpose::Hedge });
    m_replicas.attemptStarted(server.name);
    context.counters.add("parts_total");
    if (purpose == Purpose::First)
        m_services[query.service].retryBudget.addFirstAttempt();
    else
        context.counters.add(purpose == Purpose::Hedge ? "hedges_total" : "retries_total");

    if (!m_options.mechanisms.answerMatching)
        m_sentParts[id] = { query.service, query.groups[part] };

    PartRequest request;
    request.part = id;
    request.server = server.name;
    request.service = query.service;
    request.operation = query.operation;
    request.group = query.groups[part];
    request.version = query.snapshot->version;
    request.signature = query.signature;
    request.priority = query.priority;
    request.age = now - query.arrivedAt;
    request.deadline = remaining;
    request.repeatable = query.isRepeatable();
    request.canary = trial == Trial::Canary;
    request.isolated = trial == Trial::Isolated;
    request.body = query.body;
    m_router.sendPart(context, *owner, std::move(request));
    return Result::Sent;
}

void PartDispatcher::cancelOpenAttempts(StepContext &context, Query &query, std::size_t part)
{
    QueryPart &queryPart = query.parts[part];
    while (!queryPart.attempts.empty()) {
        const Attempt attempt = m_table.closeAttempt(query, part, queryPart.attempts.front().id);
        m_replicas.attemptEndedWithoutLoadReport(attempt.server);
        // The elapsed time of a cancelled attempt is a lower bound of its part time. Without it,
        // stragglers that were overtaken by their hedge would be missing from the estimate.
        if (!attempt.hedge)
            m_services[query.service].partTimes.add(context.now() - attempt.sentAt);
        context.counters.add("cancels_total");
        m_router.cancelPart(context, attempt.owner, attempt.id);
    }
}

void PartDispatcher::abandonOpenAttempts(Query &query, std::size_t part)
{
    QueryPart &queryPart = query.parts[part];
    while (!queryPart.attempts.empty()) {
        const Attempt attempt = m_table.closeAttempt(query, part, queryPart.attempts.front().id);
        m_replicas.attemptEndedWithoutLoadReport(attempt.server);
    }
}

Attempt PartDispatcher::closeEndedAttempt(StepContext &context, Query &query, std::size_t part,
                                          const PartAnswer &answer)
{
    Attempt attempt = m_table.closeAttempt(query, part, answer.part);
    recordAttemptEnd(context, query, attempt, answer);
    return attempt;
}

Attempt PartDispatcher::closeLostAttempt(StepContext &context, Query &query, std::size_t part,
                                         PartId id)
{
    Attempt attempt = m_table.closeAttempt(query, part, id);
    m_replicas.attemptEndedWithoutLoadReport(attempt.server);
    m_replicas.avoid(attempt.server, context.now(), context.random);
    return attempt;
}

void PartDispatcher::markSlow(const Query &query, std::size_t part, MonotonicTime now)
{
    const Duration delay = hedgeDelay(query.service);
    for (const Attempt &attempt : query.parts[part].attempts)
        m_replicas.markSlow(attempt.server, delay, now);
}

Duration PartDispatcher::hedgeDelay(const ServiceId &service) const
{
    const Service *declared = findService(service);
    const Duration warmPartTime = declared == nullptr ? Duration::zero() : declared->warmPartTime;
    const auto found = m_services.find(service);
    static const PartTimeEstimator kNoSamples;
    const PartTimeEstimator &partTimes =
            found == m_services.end() ? kNoSamples : found->second.partTimes;
    return std::max(partTimes.hedgeDelay(warmPartTime), kTransportAllowance);
}

const PartDispatcher::SentPart *PartDispatcher::findSentPart(PartId id) const
{
    const auto found = m_sentParts.find(id);
    return found == m_sentParts.end() ? nullptr : &found->second;
}

void PartDispatcher::removeIdle(MonotonicTime now)
{
    if (now < m_removeIdleAt)
        return;
    m_removeIdleAt = now + kRemoveIdleInterval;
    m_replicas.removeIdle(now);
    m_snapshots.removeExpired(now);
}

boost::json::object PartDispatcher::dump(MonotonicTime now) const
{
    boost::json::object services;
    for (const auto &[name, state] : m_services) {
        boost::json::object entry;
        entry["retryTokens"] = state.retryBudget.tokens();
        entry["hedgeDelayUs"] = hedgeDelay(name).count();
        services[name.value] = std::move(entry);
    }
    boost::json::object result;
    result["services"] = std::move(services);
    result["serversLackingVersions"] = m_snapshots.serversLackingVersions();
    result["avoidedServers"] = m_replicas.avoidedServers(now);
    return result;
}

std::vector<const BackendServer *> PartDispatcher::candidates(const Query &query, std::size_t part,
                                                              MonotonicTime now) const
{
    std::vector<const BackendServer *> result;
    const Group *group = findGroup(query, part);
    if (group == nullptr)
        return result;
    result.reserve(group->servers.size());
    for (const BackendServer &server : group->servers) {
        const bool tried = contains(query.parts[part].tried, server.name);
        if (tried || m_snapshots.lacks(server.name, query.snapshot->version, now))
            continue;
        if (isUsable(server.name, now))
            result.push_back(&server);
    }
    return result;
}

const Service *PartDispatcher::findService(const ServiceId &service) const
{
    const Configuration *configuration = m_documents.configuration();
    return configuration == nullptr ? nullptr : configuration->findService(service);
}

void PartDispatcher::recordAttemptEnd(StepContext &context, const Query &query,
                                      const Attempt &attempt, const PartAnswer &answer)
{
    const MonotonicTime now = context.now();
    switch (answer.reason) {
    case PartReason::Unreachable:
    case PartReason::Draining:
    case PartReason::NotOwner:
    case PartReason::OutOfService:
    case PartReason::ConnectionLost:
        m_replicas.attemptEndedWithoutLoadReport(attempt.server);
        m_replicas.avoid(attempt.server, now, context.random);
        return;
    case PartReason::TimedOut:
        m_replicas.attemptEndedWithoutLoadReport(attempt.server);
        return;
    default:
        m_replicas.attemptAnswered(attempt.server, answer.expectedWait, now);
        break;
    }
    if (answer.outcome == PartOutcome::VersionNotHeld)
        m_snapshots.recordLackingVersion(attempt.server, query.snapshot->version,
                                         answer.heldVersions, now);
    if (answer.outcome == PartOutcome::Answered) {
        m_snapshots.recordHeldVersion(attempt.server, answer.version);
        m_services[query.service].partTimes.add(now - attempt.sentAt);
    }
}

} // namespace greengagestair
