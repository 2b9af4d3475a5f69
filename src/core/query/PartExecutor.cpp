#include "core/query/PartExecutor.h"

#include "core/Assert.h"
#include "core/query/QueryAnswer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace greengagestair {

using Purpose = PartDispatcher::Purpose;
using Trial = PartDispatcher::Trial;
using SendResult = PartDispatcher::Result;
using State = QueryPart::State;

/** After this many load refusals of the probe part, the whole query is refused. */
static constexpr std::size_t kMaxProbeRefusals = 3;
/** Limit of open attempts of one part: a first attempt or retry, and its hedge. */
static constexpr std::size_t kMaxOpenAttempts = 2;

static bool isLoadRefusal(PartReason reason)
{
    return reason == PartReason::Overloaded || reason == PartReason::Shed
            || reason == PartReason::Expired;
}

static std::string failureCounter(PartReason reason)
{
    return std::string("part_failures_total{reason=\"") + reasonLabel(reason) + "\"}";
}

/**
 * Returns whether a retry must take a token of the retry budget. A retry needs no token if the
 * failed attempt certainly caused no work on a backend server.
 */
static bool needsBudget(PartOutcome outcome, PartReason reason)
{
    if (outcome == PartOutcome::NotSent || outcome == PartOutcome::VersionNotHeld)
        return false;
    return outcome != PartOutcome::Refused || reason != PartReason::Draining;
}

static std::optional<std::size_t> rangeOf(const PinnedSnapshot &snapshot, const std::string &key)
{
    const auto found = std::find_if(snapshot.ranges.begin(), snapshot.ranges.end(),
                                    [&](const KeyRange &range) { return range.contains(key); });
    if (found == snapshot.ranges.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - snapshot.ranges.begin());
}

PartExecutor::PartExecutor(const ReducerOptions &options, DocumentView &documents,
                           OwnershipView &ownership, PartRouter &router,
                           AdmissionControl &admission, Quarantine &quarantine,
                           IdentifierSource &identifiers, QueryTable &table)
    : m_options(options)
    , m_documents(documents)
    , m_admission(admission)
    , m_quarantine(quarantine)
    , m_table(table)
    , m_dispatcher(options, documents, ownership, router, identifiers, table)
{
}

void PartExecutor::removeIdle(MonotonicTime now)
{
    m_dispatcher.removeIdle(now);
}

boost::json::object PartExecutor::dump(MonotonicTime now) const
{
    boost::json::object result = m_dispatcher.dump(now);
    result["openAttempts"] = m_table.openAttemptCount();
    result["queriesHeld"] = m_queriesWithHeldParts.size();
    return result;
}

std::shared_ptr<const PinnedSnapshot> PartExecutor::selectSnapshot(const ServiceId &service,
                                                                   MonotonicTime now)
{
    const Configuration *configuration = m_documents.configuration();
    const Service *declared =
            configuration == nullptr ? nullptr : configuration->findService(service);
    const ServiceSnapshots *snapshots = m_documents.snapshots(service);
    if (declared == nullptr || snapshots == nullptr)
        return nullptr;
    return m_dispatcher.snapshots().select(
            *declared, *snapshots,
            [&](const ServerId &server) { return m_dispatcher.isUsable(server, now); }, now);
}

bool PartExecutor::createParts(Query &query, std::shared_ptr<const PinnedSnapshot> snapshot) const
{
    const Service *service = m_documents.configuration()->findService(query.service);
    query.snapshot = std::move(snapshot);
    const PinnedSnapshot &pinned = *query.snapshot;
    query.routedRange.reset();
    query.fanOutGate = Query::FanOutGate::Open;
    query.groups.clear();
    query.parts.clear();
    query.partOfGroup.assign(pinned.groups.size(), 0);
    if (service->route == Route::OneGroup) {
        query.routedRange = rangeOf(pinned, query.routingKey);
        if (!query.routedRange.has_value())
            return false;
        query.groups.push_back(pinned.groups[pinned.groupOfRange[*query.routedRange]]);
    } else {
        query.groups = pinned.groups;
        for (std::size_t group = 0; group < pinned.groups.size(); ++group)
            query.partOfGroup[group] = group;
    }
    query.parts.resize(query.groups.size());
    query.unsettledParts = query.parts.size();
    // A non-repeatable request runs on exactly one backend server.
    return query.isRepeatable() ? !query.parts.empty() : query.parts.size() == 1;
}

void PartExecutor::start(StepContext &context, Query &query)
{
    std::vector<const Group *> groups;
    std::vector<ServerId> excludedServers;
    bool anyTried = false;
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        if (const Group *group = m_dispatcher.findGroup(query, part)) {
            groups.push_back(group);
            m_dispatcher.addServersLackingVersion(query, *group, context.now(), excludedServers);
        }
        const auto &servers = query.parts[part].tried;
        anyTried = anyTried || !servers.empty();
        excludedServers.insert(excludedServers.end(), servers.begin(), servers.end());
    }
    while (true) {
        const Quarantine::Plan plan = m_quarantine.plan(query.signature, query.snapshot->version,
                                                        groups, excludedServers);
        switch (plan.kind) {
        case Quarantine::Plan::Kind::FanOut:
            query.fanOutGate = Query::FanOutGate::Open;
            sendUnsentParts(context, query);
            return;
        case Quarantine::Plan::Kind::Refuse:
            markUnsettledMissing(context, query, PartReason::Quarantined);
            return;
        case Quarantine::Plan::Kind::Pending:
            if (!anyTried)
                markUnsettledMissing(context, query, PartReason::Quarantined);
            else
                holdPart(query, query.probePart);
            return;
        case Quarantine::Plan::Kind::Canary:
        case Quarantine::Plan::Kind::Isolated:
            if (plan.server.empty()) {
                if (query.isRepeatable() && !query.restarted && restart(context, query))
                    return;
                markUnsettledMissing(context, query, PartReason::OutOfService);
                return;
            }
            if (sendProbePart(context, query, plan))
                return;
            excludedServers.push_back(plan.server);
        }
    }
}

bool PartExecutor::sendProbePart(StepContext &context, Query &query, const Quarantine::Plan &plan)
{
    const bool isolated = plan.kind == Quarantine::Plan::Kind::Isolated;
    const auto location = m_documents.findServer(plan.server);
    if (!location.has_value())
        return false;
    const auto group = std::find(query.groups.begin(), query.groups.end(), location->group->name);
    if (group == query.groups.end())
        return false;
    const auto part = static_cast<std::size_t>(group - query.groups.begin());
    const bool first = query.parts[part].tried.empty();
    const SendResult result = m_dispatcher.sendTo(context, query, part, *location->server,
                                                  first ? Purpose::First : Purpose::Retry,
                                                  isolated ? Trial::Isolated : Trial::Canary);
    if (result == SendResult::NoReplica)
        return false;
    if (result == SendResult::TooLate) {
        markUnsettledMissing(context, query, PartReason::Expired);
        return true;
    }
    query.fanOutGate = isolated ? Query::FanOutGate::Isolated : Query::FanOutGate::Canary;
    query.probePart = part;
    context.counters.add(isolated ? "isolated_total" : "canaries_total");
    return true;
}

void PartExecutor::sendUnsentParts(StepContext &context, Query &query)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        if (query.parts[part].state == State::Unsent)
            sendPart(context, query, part, Purpose::First);
    }
}

void PartExecutor::sendPart(StepContext &context, Query &query, std::size_t part, Purpose purpose)
{
    const PartReason lastReason = query.parts[part].reason;
    switch (m_dispatcher.send(context, query, part, purpose)) {
    case SendResult::Sent:
        return;
    case SendResult::TooLate:
        markMissing(context, query, part, PartReason::Expired);
        return;
    case SendResult::NoReplica:
        restartOrMarkMissing(context, query, part,
                             lastReason == PartReason::None ? PartReason::OutOfService
                                                            : lastReason);
        return;
    }
}

/**
 * Handles a part that has no replica left. Restarts the query on another snapshot if a replica
 * lacked the version or the group is no longer declared, at most once per query; otherwise the part
 * is missing.
 */
void PartExecutor::restartOrMarkMissing(StepContext &context, Query &query, std::size_t part,
                                        PartReason reason)
{
    const bool restartMayHelp = query.parts[part].replicaLackedVersion
            || m_dispatcher.findGroup(query, part) == nullptr;
    if (restartMayHelp && query.isRepeatable() && !query.restarted && restart(context, query))
        return;
    markMissing(context, query, part, reason);
}

bool PartExecutor::restart(StepContext &context, Query &query)
{
    auto snapshot = selectSnapshot(query.service, context.now());
    if (snapshot == nullptr || snapshot->version == query.snapshot->version)
        return false;
    if (query.routedRange.has_value() && !rangeOf(*snapshot, query.routingKey).has_value())
        return false;
    query.restarted = true;
    context.counters.add("restarts_total");
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        const bool ran = query.parts[part].state == State::Answered;
        query.mayHaveRun = query.mayHaveRun || ran;
        cancelOpenAttempts(context, query, part);
    }
    if (!createParts(query, std::move(snapshot)))
        return false;
    start(context, query);
    return true;
}

void PartExecutor::holdPart(Query &query, std::size_t part)
{
    query.parts[part].state = State::Held;
    m_queriesWithHeldParts.push_back(query.id);
}

std::vector<QueryId> PartExecutor::replanHeldParts(StepContext &context)
{
    if (m_quarantine.generation() == m_plannedGeneration)
        return {};
    m_plannedGeneration = m_quarantine.generation();
    std::vector<QueryId> held = std::exchange(m_queriesWithHeldParts, {});
    for (const QueryId id : held) {
        Query *query = m_table.find(id);
        if (query == nullptr)
            continue;
        for (std::size_t part = 0; part < query->parts.size(); ++part) {
            if (query->parts[part].state == State::Held)
                replanPart(context, *query, part);
        }
    }
    return held;
}

/**
 * Resends a part after its server was lost or the quarantine refused it. Depending on the new
 * quarantine plan, the part is held again or becomes missing instead.
 */
void PartExecutor::replanPart(StepContext &context, Query &query, std::size_t part)
{
    QueryPart &queryPart = query.parts[part];
    queryPart.state = State::Unsent;
    if (query.fanOutGate != Query::FanOutGate::Open && part == query.probePart) {
        start(context, query);
        return;
    }
    std::vector<const Group *> groups;
    if (const Group *group = m_dispatcher.findGroup(query, part))
        groups.push_back(group);
    const Quarantine::Plan plan =
            m_quarantine.plan(query.signature, query.snapshot->version, groups, queryPart.tried);
    switch (plan.kind) {
    case Quarantine::Plan::Kind::Pending:
        holdPart(query, part);
        return;
    case Quarantine::Plan::Kind::Refuse:
        markMissing(context, query, part, PartReason::Quarantined);
        return;
    case Quarantine::Plan::Kind::Isolated: {
        const auto location = m_documents.findServer(plan.server);
        const bool sent = location.has_value()
                && m_dispatcher.sendTo(context, query, part, *location->server, Purpose::Retry,
                                       Trial::Isolated)
                        == SendResult::Sent;
        if (!sent)
            markMissing(context, query, part, queryPart.reason);
        return;
    }
    case Quarantine::Plan::Kind::Canary:
    case Quarantine::Plan::Kind::FanOut:
        sendPart(context, query, part, Purpose::Retry);
        return;
    }
}

void PartExecutor::hedgeDueParts(StepContext &context, Query &query)
{
    const MonotonicTime now = context.now();
    MonotonicTime next = query.deadline;
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        QueryPart &queryPart = query.parts[part];
        if (queryPart.state != State::Open)
            continue;
        if (queryPart.hedgeAt <= now) {
            m_dispatcher.markSlow(query, part, now);
            if (!hedge(context, query, part))
                queryPart.hedgeAt = now + m_dispatcher.hedgeDelay(query.service);
        }
        next = std::min(next, queryPart.hedgeAt);
    }
    m_table.scheduleWakeUp(query, next);
}

bool PartExecutor::hedge(StepContext &context, Query &query, std::size_t part)
{
    if (query.parts[part].attempts.size() >= kMaxOpenAttempts)
        return false;
    if (query.fanOutGate != Query::FanOutGate::Open)
        return hedgeCanary(context, query, part);
    if (!m_dispatcher.hasReplica(query, part, context.now()))
        return false;
    if (!m_dispatcher.retryBudget(query.service).tryTake()) {
        context.counters.add("hedges_denied_total");
        return false;
    }
    return m_dispatcher.send(context, query, part, Purpose::Hedge) == SendResult::Sent;
}

/**
 * Hedges a canary: sends it also to the next server in the order that the signature determines. All
 * hosts use the same two servers for a signature, so a request that crashes backend servers reaches
 * at most two of them.
 */
bool PartExecutor::hedgeCanary(StepContext &context, Query &query, std::size_t part)
{
    const Group *group = m_dispatcher.findGroup(query, part);
    if (group == nullptr)
        return false;
    const Quarantine::Plan plan = m_quarantine.plan(query.signature, query.snapshot->version,
                                                    { group }, query.parts[part].tried);
    if (plan.kind != Quarantine::Plan::Kind::Canary || plan.server.empty())
        return false;
    const auto location = m_documents.findServer(plan.server);
    if (!location.has_value() || !m_dispatcher.retryBudget(query.service).tryTake())
        return false;
    return m_dispatcher.sendTo(context, query, part, *location->server, Purpose::Hedge,
                               Trial::Canary)
            == SendResult::Sent;
}

Query *PartExecutor::applyAnswer(StepContext &context, const HostId &owner,
                                 const PartAnswer &answer)
{
    const auto location = m_table.findAttempt(answer.part);
    if (!location.has_value())
        return applyUnmatchedAnswer(context, answer);
    Query &query = *m_table.find(location->query);
    const auto &attempts = query.parts[location->part].attempts;
    const auto open = std::find_if(attempts.begin(), attempts.end(), [&](const Attempt &attempt) {
        return attempt.id == answer.part;
    });
    if (open->owner.host != owner && m_options.mechanisms.answerMatching) {
        context.counters.add("mismatched_answers_total");
        return nullptr;
    }
    const Attempt attempt = m_dispatcher.closeEndedAttempt(context, query, location->part, answer);
    if (answer.outcome == PartOutcome::Answered)
        m_admission.partAnswered(context, query.service, context.now() - attempt.sentAt);

    const bool wrongVersion = answer.outcome == PartOutcome::Answered
            && answer.version != query.snapshot->version && m_options.mechanisms.snapshotPinning;
    if (wrongVersion) {
        context.counters.add("mismatched_answers_total");
        failAttempt(context, query, location->part, attempt.server, PartOutcome::MayHaveRun,
                    PartReason::Mismatch);
    } else if (answer.outcome == PartOutcome::Answered) {
        if (attempt.hedge)
            context.counters.add("hedges_won_total");
        acceptAnswer(context, query, location->part, answer);
    } else {
        failAttempt(context, query, location->part, attempt.server, answer.outcome, answer.reason);
    }
    return &query;
}

Query *PartExecutor::applyUnmatchedAnswer(StepContext &context, const PartAnswer &answer)
{
    if (answer.outcome != PartOutcome::Answered)
        return nullptr;
    context.counters.add("late_answers_total");
    const PartDispatcher::SentPart *sent = m_dispatcher.findSentPart(answer.part);
    if (m_options.mechanisms.answerMatching || sent == nullptr)
        return nullptr;
    for (const auto &[id, query] : m_table.all()) {
        const auto group = std::find(query->groups.begin(), query->groups.end(), sent->group);
        const auto part = static_cast<std::size_t>(group - query->groups.begin());
        if (query->service != sent->service || group == query->groups.end()
            || query->parts[part].state != State::Open
            || query->snapshot->version != answer.version)
            continue;
        acceptAnswer(context, *query, part, answer);
        return query.get();
    }
    return nullptr;
}

void PartExecutor::acceptAnswer(StepContext &context, Query &query, std::size_t part,
                                const PartAnswer &answer)
{
    QueryPart &queryPart = query.parts[part];
    GREENGAGESTAIR_ASSERT(!queryPart.isSettled());
    m_dispatcher.cancelOpenAttempts(context, query, part);
    queryPart.state = State::Answered;
    queryPart.answeredVersion = answer.version;
    queryPart.body = answer.body;
    --query.unsettledParts;
    const bool isFirst = query.unsettledParts + 1 == query.parts.size();
    if (isFirst)
        m_quarantine.partAnswered(query.signature, query.snapshot->version);
    if (query.fanOutGate == Query::FanOutGate::Open || part != query.probePart)
        return;
    query.fanOutGate = Query::FanOutGate::Open;
    sendUnsentParts(context, query);
}

void PartExecutor::failAttempt(StepContext &context, Query &query, std::size_t part,
                               const ServerId &server, PartOutcome outcome, PartReason reason)
{
    QueryPart &queryPart = query.parts[part];
    queryPart.reason = reason;
    context.counters.add(failureCounter(reason));
    const bool mayHaveRun =
            outcome == PartOutcome::ServerLost || outcome == PartOutcome::MayHaveRun;
    query.mayHaveRun = query.mayHaveRun || mayHaveRun;
    queryPart.replicaLackedVersion =
            queryPart.replicaLackedVersion || outcome == PartOutcome::VersionNotHeld;
    const bool onTrial = query.fanOutGate != Query::FanOutGate::Open && part == query.probePart;
    if (outcome == PartOutcome::ServerLost && onTrial)
        m_quarantine.partLost(context, query.signature, server);
    else if (reason == PartReason::Quarantined)
        m_quarantine.partRefused(context, query.signature);
    if (!query.isRepeatable()) {
        failNonRepeatableAttempt(context, query, outcome, reason);
        return;
    }
    if (queryPart.attempts.empty())
        retry(context, query, part, outcome, reason);
}

/**
 * Retries a non-repeatable request only if the owner proved that it sent nothing and the caller
 * still waits for the answer.
 */
void PartExecutor::failNonRepeatableAttempt(StepContext &context, Query &query, PartOutcome outcome,
                                            PartReason reason)
{
    if (outcome == PartOutcome::NotSent && !query.callerGone) {
        retry(context, query, 0, outcome, reason);
        return;
    }
    query.mayHaveRun = outcome != PartOutcome::NotSent;
    markMissing(context, query, 0, reason);
}

void PartExecutor::retry(StepContext &context, Query &query, std::size_t part, PartOutcome outcome,
                         PartReason reason)
{
    const bool isProbe = query.fanOutGate != Query::FanOutGate::Open && part == query.probePart;
    if (needsBudget(outcome, reason) && !m_dispatcher.retryBudget(query.service).tryTake()) {
        context.counters.add("retries_denied_total");
        if (isProbe)
            markUnsettledMissing(context, query, reason);
        else
            markMissing(context, query, part, reason);
        return;
    }
    if (isProbe) {
        retryProbePart(context, query, reason);
    } else if (reason == PartReason::Quarantined) {
        replanPart(context, query, part);
    } else {
        query.parts[part].state = State::Unsent;
        sendPart(context, query, part, Purpose::Retry);
    }
}

void PartExecutor::retryProbePart(StepContext &context, Query &query, PartReason reason)
{
    query.parts[query.probePart].state = State::Unsent;
    if (isLoadRefusal(reason))
        ++query.probeRefusals;
    if (reason == PartReason::Quarantined || query.probeRefusals >= kMaxProbeRefusals)
        markUnsettledMissing(context, query, reason);
    else
        start(context, query);
}

void PartExecutor::markMissing(StepContext &context, Query &query, std::size_t part,
                               PartReason reason)
{
    QueryPart &queryPart = query.parts[part];
    GREENGAGESTAIR_ASSERT(!queryPart.isSettled() && queryPart.attempts.empty());
    queryPart.state = State::Missing;
    queryPart.reason = reason;
    --query.unsettledParts;
    // A load refusal is reported as overload only here, where no other replica answered the part. A
    // part without attempts is not reported: it may have expired while it waited for a slow canary.
    if (isLoadRefusal(reason) && !queryPart.tried.empty())
        m_admission.partRefused(context, query.service);
}

void PartExecutor::markUnsettledMissing(StepContext &context, Query &query, PartReason reason)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        QueryPart &queryPart = query.parts[part];
        if (queryPart.isSettled())
            continue;
        cancelOpenAttempts(context, query, part);
        const bool keepReason =
                queryPart.reason != PartReason::None && reason != PartReason::Quarantined;
        markMissing(context, query, part, keepReason ? queryPart.reason : reason);
    }
}

/** Cancels the open attempts of a part and records that they may have run. */
void PartExecutor::cancelOpenAttempts(StepContext &context, Query &query, std::size_t part)
{
    query.mayHaveRun = query.mayHaveRun || !query.parts[part].attempts.empty();
    m_dispatcher.cancelOpenAttempts(context, query, part);
}

Query *PartExecutor::failLostAttempt(StepContext &context, PartId id)
{
    const auto location = m_table.findAttempt(id);
    if (!location.has_value())
        return nullptr;
    Query &query = *m_table.find(location->query);
    const Attempt attempt = m_dispatcher.closeLostAttempt(context, query, location->part, id);
    context.counters.add("attempts_lost_total");
    failAttempt(context, query, location->part, attempt.server, PartOutcome::MayHaveRun,
                PartReason::ConnectionLost);
    return &query;
}

void PartExecutor::markMissingAtDeadline(StepContext &context, Query &query)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        QueryPart &queryPart = query.parts[part];
        if (queryPart.isSettled())
            continue;
        const bool open = queryPart.state == State::Open;
        cancelOpenAttempts(context, query, part);
        const PartReason unsent =
                queryPart.reason == PartReason::None ? PartReason::Expired : queryPart.reason;
        markMissing(context, query, part, open ? PartReason::TimedOut : unsent);
    }
}

void PartExecutor::closeAttempts(StepContext &context, Query &query)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        if (query.isRepeatable())
            cancelOpenAttempts(context, query, part);
        else
            m_dispatcher.abandonOpenAttempts(query, part);
    }
}

void PartExecutor::clear()
{
    m_table.clear();
    m_queriesWithHeldParts.clear();
}

} // namespace greengagestair
