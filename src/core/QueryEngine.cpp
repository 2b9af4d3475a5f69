#include "core/QueryEngine.h"

#include "core/Assert.h"
#include "core/QueryAnswer.h"
#include "core/Signature.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace greengagestair {

using Trial = PartDispatcher::Trial;
using Purpose = PartDispatcher::Purpose;
using SendResult = PartDispatcher::Result;
using State = QueryPart::State;

/** Taken off the caller's deadline, so that the answer reaches it in time. */
static constexpr Duration kTransportAllowance = std::chrono::milliseconds(1);
/** Shortest deadline that is worth a fan-out. */
static constexpr Duration kMinDeadline = std::chrono::milliseconds(1);
/** Deadline of an outcome query: a read and a write of the platform, each repeated once. */
static constexpr Duration kOutcomeDeadline = std::chrono::seconds(1);
/** How long the result of a request is awaited, to record it, after its caller was answered. */
static constexpr Duration kLateResultTime = std::chrono::seconds(1);

/** Canary servers that may refuse for load before the query is refused. */
static constexpr std::size_t kMaxProbeRefusals = 3;
/** Open attempts of one part: the slow one and its hedge. */
static constexpr std::size_t kMaxOpenAttempts = 2;

static bool isLoadRefusal(PartReason reason)
{
    return reason == PartReason::Overloaded || reason == PartReason::Shed
            || reason == PartReason::Expired;
}

/** Whether another attempt costs the backend servers work beyond the first attempt. */
static bool needsBudget(PartOutcome outcome, PartReason reason)
{
    if (outcome == PartOutcome::NotSent || outcome == PartOutcome::VersionNotHeld)
        return false;
    return outcome != PartOutcome::Refused || reason != PartReason::Draining;
}

static std::string queryCounter(QueryOutcome outcome)
{
    return std::string("queries_total{outcome=\"") + outcomeLabel(outcome) + "\"}";
}

static std::string refusalCounter(QueryReason reason)
{
    return std::string("refusals_total{reason=\"") + reasonLabel(reason) + "\"}";
}

static const Operation *findOperation(const Service &service, const OperationId &name)
{
    const auto found =
            std::find_if(service.operations.begin(), service.operations.end(),
                         [&](const Operation &operation) { return operation.name == name; });
    return found == service.operations.end() ? nullptr : &*found;
}

static std::optional<std::size_t> rangeOf(const PinnedSnapshot &snapshot, const std::string &key)
{
    const auto found = std::find_if(snapshot.ranges.begin(), snapshot.ranges.end(),
                                    [&](const KeyRange &range) { return range.contains(key); });
    if (found == snapshot.ranges.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - snapshot.ranges.begin());
}

QueryEngine::QueryEngine(const ReducerOptions &options, DocumentView &documents,
                         OwnershipView &ownership, PartRouter &router, RequestClaims &claims,
                         AdmissionControl &admission, Quarantine &quarantine,
                         IdentifierSource &identifiers)
    : m_options(options)
    , m_documents(documents)
    , m_claims(claims)
    , m_admission(admission)
    , m_quarantine(quarantine)
    , m_dispatcher(options, documents, ownership, router, identifiers, m_table)
{
}

void QueryEngine::onCallerRequest(StepContext &context, const CallerRequest &request)
{
    step(context, [this, request](StepContext &inner) { takeRequest(inner, request); });
}

void QueryEngine::onOutcomeQuery(StepContext &context, const OutcomeQuery &outcomeQuery)
{
    m_outcomeCallers.insert(outcomeQuery.caller);
    m_claims.findOutcome(context, outcomeQuery.service, outcomeQuery.idempotencyKey,
                         context.now() + kOutcomeDeadline,
                         [this, caller = outcomeQuery.caller, service = outcomeQuery.service](
                                 StepContext &inner, const ClaimResult &result) {
                             takeOutcome(inner, caller, service, result);
                         });
}

void QueryEngine::onCallerGone(StepContext &context, const CallerGone &gone)
{
    step(context, [this, caller = gone.caller](StepContext &inner) {
        m_outcomeCallers.erase(caller);
        Query *query = m_table.findByCaller(caller);
        if (query == nullptr || query->callerGone)
            return;
        inner.counters.add("callers_gone_total");
        query->callerGone = true;
        const bool claimed = !query->isRepeatable() && query->phase != Query::Phase::Waiting;
        if (!claimed)
            remove(inner, *query);
    });
}

void QueryEngine::onPartAnswer(StepContext &context, const HostId &owner, const PartAnswer &answer)
{
    step(context,
         [this, owner, answer](StepContext &inner) { takePartAnswer(inner, owner, answer); });
}

void QueryEngine::onPeerLost(StepContext &context, const HostId &host)
{
    step(context, [this, host](StepContext &inner) {
        for (const PartId id : m_table.attemptsAt(host))
            loseAttempt(inner, id);
    });
}

void QueryEngine::onTick(StepContext &context)
{
    step(context, [this](StepContext &inner) {
        m_quarantine.onTick(inner);
        m_dispatcher.removeIdle(inner.now());
    });
}

MonotonicTime QueryEngine::nextWakeUp() const
{
    return std::min(m_table.nextWakeUp(), m_admission.nextWakeUp());
}

void QueryEngine::requestStop()
{
    m_stopping = true;
    if (m_options.mechanisms.stopDraining)
        return;
    m_table.clear();
    m_held.clear();
    m_outcomeCallers.clear();
}

bool QueryEngine::idle() const
{
    return m_table.size() == 0 && m_outcomeCallers.empty();
}

boost::json::object QueryEngine::dump(MonotonicTime now) const
{
    std::array<std::size_t, 4> phases {};
    for (const auto &[id, query] : m_table.all())
        ++phases[static_cast<std::size_t>(query->phase)];
    boost::json::object result = m_dispatcher.dump(now);
    result["stopping"] = m_stopping;
    result["waiting"] = phases[0];
    result["claiming"] = phases[1];
    result["running"] = phases[2];
    result["recording"] = phases[3];
    result["openAttempts"] = m_table.openAttempts();
    result["queriesHeld"] = m_held.size();
    result["outcomeQueries"] = m_outcomeCallers.size();
    return result;
}

void QueryEngine::step(StepContext &context, Work work)
{
    // The owner role and the ledger of this process may answer while a step still runs.
    m_putOff.push_back(std::move(work));
    if (m_busy)
        return;
    m_busy = true;
    while (!m_putOff.empty()) {
        const Work next = std::move(m_putOff.front());
        m_putOff.pop_front();
        next(context);
        if (m_putOff.empty())
            settleDue(context);
    }
    m_busy = false;
}

void QueryEngine::settleDue(StepContext &context)
{
    while (Query *query = m_table.takeDue(context.now())) {
        if (context.now() >= query->deadline)
            endAtDeadline(context, *query);
        else
            hedgeDueParts(context, *query);
    }
    while (m_quarantine.generation() != m_plannedGeneration) {
        m_plannedGeneration = m_quarantine.generation();
        replanHeld(context);
    }
    while (applyNextDecision(context)) { }
    m_table.dropStaleTimers();
}

bool QueryEngine::applyNextDecision(StepContext &context)
{
    const auto decision = m_admission.nextDecision(context);
    if (!decision.has_value())
        return false;
    Query *query = m_table.find(decision->query);
    if (query == nullptr) {
        if (decision->admitted)
            m_admission.finished(context, decision->service, decision->priority, Duration::zero());
        return true;
    }
    GREENGAGESTAIR_ASSERT(query->phase == Query::Phase::Waiting);
    query->admitted = decision->admitted;
    query->admittedAt = context.now();
    if (decision->admitted)
        begin(context, *query);
    else
        end(context, *query, QueryOutcome::NotRun, QueryReason::Overloaded);
    return true;
}

void QueryEngine::takeRequest(StepContext &context, const CallerRequest &request)
{
    const QueryReason refusal = checkRequest(request);
    if (refusal != QueryReason::None) {
        refuseRequest(context, request, refusal);
        return;
    }
    const Service &service = *m_documents.configuration()->findService(request.service);
    const Operation &operation = *findOperation(service, request.operation);
    const Duration wanted = request.deadline.value_or(service.defaultDeadline);
    const Duration deadline = std::min(wanted, service.maxDeadline) - kTransportAllowance;

    Query query;
    query.id = { ++m_lastQuery };
    query.caller = request.caller;
    query.service = request.service;
    query.operation = request.operation;
    if (!operation.repeatable)
        query.idempotencyKey = request.idempotencyKey;
    query.routingKey = request.routingKey;
    query.body = request.body;
    query.signature = computeSignature(request.service, request.operation, request.body);
    query.priority = operation.urgent ? Priority::Urgent : Priority::Routine;
    query.arrivedAt = context.now();
    query.deadline = context.now() + std::max(deadline, kMinDeadline);
    Query &added = m_table.add(std::move(query));
    m_table.wakeAt(added, added.deadline);

    const auto verdict =
            m_admission.request(context, service, added.priority, added.id, added.deadline);
    if (verdict == AdmissionControl::Verdict::Refused) {
        end(context, added, QueryOutcome::NotRun, QueryReason::Overloaded);
    } else if (verdict == AdmissionControl::Verdict::Admitted) {
        added.admitted = true;
        added.admittedAt = context.now();
        begin(context, added);
    }
}

QueryReason QueryEngine::checkRequest(const CallerRequest &request) const
{
    if (m_stopping)
        return QueryReason::Stopping;
    const Configuration *configuration = m_documents.configuration();
    if (configuration == nullptr)
        return QueryReason::NotReady;
    const Service *service = configuration->findService(request.service);
    if (service == nullptr)
        return QueryReason::UnknownService;
    const Operation *operation = findOperation(*service, request.operation);
    if (operation == nullptr)
        return QueryReason::UnknownOperation;
    if (!operation->repeatable && !request.idempotencyKey.has_value())
        return QueryReason::MissingIdempotencyKey;
    if (request.deadline.has_value() && *request.deadline <= Duration::zero())
        return QueryReason::BadRequest;
    return QueryReason::None;
}

void QueryEngine::refuseRequest(StepContext &context, const CallerRequest &request,
                                QueryReason reason)
{
    CallerAnswer answer;
    answer.outcome = QueryOutcome::NotRun;
    answer.reason = reason;
    answer.service = request.service;
    context.counters.add(queryCounter(answer.outcome));
    context.counters.add(refusalCounter(reason));
    context.emit(AnswerCaller { request.caller, std::move(answer) });
}

void QueryEngine::begin(StepContext &context, Query &query)
{
    if (query.isRepeatable()) {
        start(context, query);
        return;
    }
    // A request that cannot be sent anyway is refused without a record in the platform.
    const auto snapshot = selectSnapshot(query.service, context.now());
    if (snapshot == nullptr) {
        end(context, query, QueryOutcome::NotRun, QueryReason::NoSnapshot);
        return;
    }
    query.phase = Query::Phase::Claiming;
    m_claims.claim(context, query.service, *query.idempotencyKey, query.deadline,
                   [this, id = query.id, service = query.service,
                    key = *query.idempotencyKey](StepContext &outer, const ClaimResult &result) {
                       step(outer, [this, id, service, key, result](StepContext &inner) {
                           takeClaim(inner, id, service, key, result);
                       });
                   });
}

void QueryEngine::takeClaim(StepContext &context, QueryId id, const ServiceId &service,
                            const IdempotencyKey &key, const ClaimResult &result)
{
    const bool claimed = result.verdict == ClaimResult::Verdict::Claimed;
    Query *query = m_table.find(id);
    if (query == nullptr || query->callerGone) {
        if (claimed)
            m_claims.release(context, service, key);
        if (query != nullptr)
            remove(context, *query);
        return;
    }
    GREENGAGESTAIR_ASSERT(query->phase == Query::Phase::Claiming);
    switch (result.verdict) {
    case ClaimResult::Verdict::Claimed:
        start(context, *query);
        return;
    case ClaimResult::Verdict::Done: {
        CallerAnswer recorded;
        recorded.outcome = QueryOutcome::Complete;
        recorded.service = service;
        recorded.snapshot = result.snapshot;
        recorded.parts.push_back({ "", "", result.body });
        answer(context, *query, std::move(recorded));
        remove(context, *query);
        return;
    }
    case ClaimResult::Verdict::NotRun:
        end(context, *query, QueryOutcome::NotRun, result.reason);
        return;
    case ClaimResult::Verdict::MayHaveRun:
        end(context, *query, QueryOutcome::MayHaveRun, result.reason);
        return;
    }
}

void QueryEngine::takeOutcome(StepContext &context, CallerId caller, const ServiceId &service,
                              const ClaimResult &result)
{
    if (m_outcomeCallers.erase(caller) == 0)
        return;
    CallerAnswer answer;
    answer.service = service;
    answer.reason = result.reason;
    answer.outcome = QueryOutcome::MayHaveRun;
    if (result.verdict == ClaimResult::Verdict::NotRun)
        answer.outcome = QueryOutcome::NotRun;
    if (result.verdict == ClaimResult::Verdict::Done) {
        answer.outcome = QueryOutcome::Complete;
        answer.snapshot = result.snapshot;
        answer.parts.push_back({ "", "", result.body });
    }
    context.counters.add("outcome_queries_total");
    context.emit(AnswerCaller { caller, std::move(answer) });
}

void QueryEngine::start(StepContext &context, Query &query)
{
    query.phase = Query::Phase::Running;
    auto snapshot = selectSnapshot(query.service, context.now());
    if (snapshot == nullptr || !makeParts(query, std::move(snapshot))) {
        query.parts.clear();
        query.unsettled = 0;
        if (!query.isRepeatable())
            m_claims.release(context, query.service, *query.idempotencyKey);
        end(context, query, QueryOutcome::NotRun,
            query.snapshot == nullptr ? QueryReason::NoSnapshot : QueryReason::BadRequest);
        return;
    }
    passGate(context, query);
    finishIfSettled(context, query);
}

std::shared_ptr<const PinnedSnapshot> QueryEngine::selectSnapshot(const ServiceId &service,
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

/** False if the request cannot be mapped to key ranges of the snapshot. */
bool QueryEngine::makeParts(Query &query, std::shared_ptr<const PinnedSnapshot> snapshot) const
{
    const Service *service = m_documents.configuration()->findService(query.service);
    query.snapshot = std::move(snapshot);
    const PinnedSnapshot &pinned = *query.snapshot;
    query.onlyRange.reset();
    query.gate = Query::Gate::Open;
    query.groups.clear();
    query.parts.clear();
    query.partOfGroup.assign(pinned.groups.size(), 0);
    if (service->route == Route::OneGroup) {
        query.onlyRange = rangeOf(pinned, query.routingKey);
        if (!query.onlyRange.has_value())
            return false;
        query.groups.push_back(pinned.groups[pinned.groupOfRange[*query.onlyRange]]);
    } else {
        query.groups = pinned.groups;
        for (std::size_t group = 0; group < pinned.groups.size(); ++group)
            query.partOfGroup[group] = group;
    }
    query.parts.resize(query.groups.size());
    query.unsettled = query.parts.size();
    // A non-repeatable request runs on exactly one backend server.
    return query.isRepeatable() ? !query.parts.empty() : query.parts.size() == 1;
}

/** Sends what the quarantine allows: every part, or one part that the others wait for. */
void QueryEngine::passGate(StepContext &context, Query &query)
{
    std::vector<const Group *> groups;
    std::vector<ServerId> passedOver;
    bool anyTried = false;
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        if (const Group *group = m_dispatcher.findGroup(query, part)) {
            groups.push_back(group);
            m_dispatcher.addLacking(query, *group, context.now(), passedOver);
        }
        const auto &servers = query.parts[part].tried;
        anyTried = anyTried || !servers.empty();
        passedOver.insert(passedOver.end(), servers.begin(), servers.end());
    }
    while (true) {
        const Quarantine::Plan plan =
                m_quarantine.plan(query.signature, query.snapshot->version, groups, passedOver);
        switch (plan.kind) {
        case Quarantine::Plan::Kind::FanOut:
            query.gate = Query::Gate::Open;
            sendUnsent(context, query);
            return;
        case Quarantine::Plan::Kind::Refuse:
            missUnsettled(context, query, PartReason::Quarantined);
            return;
        case Quarantine::Plan::Kind::Pending:
            if (!anyTried)
                missUnsettled(context, query, PartReason::Quarantined);
            else
                hold(query, query.probe);
            return;
        case Quarantine::Plan::Kind::Canary:
        case Quarantine::Plan::Kind::Isolated:
            if (plan.server.empty()) {
                if (query.isRepeatable() && !query.restarted && restart(context, query))
                    return;
                missUnsettled(context, query, PartReason::OutOfService);
                return;
            }
            if (sendProbe(context, query, plan))
                return;
            passedOver.push_back(plan.server);
        }
    }
}

bool QueryEngine::sendProbe(StepContext &context, Query &query, const Quarantine::Plan &plan)
{
    const bool isolated = plan.kind == Quarantine::Plan::Kind::Isolated;
    const auto place = m_documents.findServer(plan.server);
    if (!place.has_value())
        return false;
    const auto group = std::find(query.groups.begin(), query.groups.end(), place->group->name);
    if (group == query.groups.end())
        return false;
    const auto part = static_cast<std::size_t>(group - query.groups.begin());
    const bool first = query.parts[part].tried.empty();
    const SendResult result = m_dispatcher.sendTo(context, query, part, *place->server,
                                                  first ? Purpose::First : Purpose::Retry,
                                                  isolated ? Trial::Isolated : Trial::Canary);
    if (result == SendResult::NoReplica)
        return false;
    if (result == SendResult::TooLate) {
        missUnsettled(context, query, PartReason::Expired);
        return true;
    }
    query.gate = isolated ? Query::Gate::Isolated : Query::Gate::Canary;
    query.probe = part;
    context.counters.add(isolated ? "isolated_total" : "canaries_total");
    return true;
}

void QueryEngine::sendUnsent(StepContext &context, Query &query)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        if (query.parts[part].state == State::Unsent)
            sendPart(context, query, part, Purpose::First);
    }
}

void QueryEngine::sendPart(StepContext &context, Query &query, std::size_t part, Purpose purpose)
{
    const PartReason lastReason = query.parts[part].reason;
    switch (m_dispatcher.send(context, query, part, purpose)) {
    case SendResult::Sent:
        return;
    case SendResult::TooLate:
        miss(query, part, PartReason::Expired);
        return;
    case SendResult::NoReplica:
        restartOrMiss(context, query, part,
                      lastReason == PartReason::None ? PartReason::OutOfService : lastReason);
        return;
    }
}

/** No replica of the part is left: moves the query to another snapshot once, if one would help. */
void QueryEngine::restartOrMiss(StepContext &context, Query &query, std::size_t part,
                                PartReason reason)
{
    const bool mayHelp =
            query.parts[part].versionMissed || m_dispatcher.findGroup(query, part) == nullptr;
    if (mayHelp && query.isRepeatable() && !query.restarted && restart(context, query))
        return;
    miss(query, part, reason);
}

bool QueryEngine::restart(StepContext &context, Query &query)
{
    auto snapshot = selectSnapshot(query.service, context.now());
    if (snapshot == nullptr || snapshot->version == query.snapshot->version)
        return false;
    if (query.onlyRange.has_value() && !rangeOf(*snapshot, query.routingKey).has_value())
        return false;
    query.restarted = true;
    context.counters.add("restarts_total");
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        const bool ran = query.parts[part].state == State::Answered;
        query.mayHaveRun = query.mayHaveRun || ran;
        cancelOpen(context, query, part);
    }
    if (!makeParts(query, std::move(snapshot)))
        return false;
    passGate(context, query);
    return true;
}

void QueryEngine::hold(Query &query, std::size_t part)
{
    query.parts[part].state = State::Held;
    m_held.push_back(query.id);
}

void QueryEngine::replanHeld(StepContext &context)
{
    const std::vector<QueryId> held = std::exchange(m_held, {});
    for (const QueryId id : held) {
        Query *query = m_table.find(id);
        if (query == nullptr)
            continue;
        for (std::size_t part = 0; part < query->parts.size(); ++part) {
            if (query->parts[part].state == State::Held)
                replanPart(context, *query, part);
        }
        finishIfSettled(context, *query);
    }
}

/** Sends a part again whose server was lost, as far as the quarantine allows. */
void QueryEngine::replanPart(StepContext &context, Query &query, std::size_t part)
{
    QueryPart &state = query.parts[part];
    state.state = State::Unsent;
    if (query.gate != Query::Gate::Open && part == query.probe) {
        passGate(context, query);
        return;
    }
    std::vector<const Group *> groups;
    if (const Group *group = m_dispatcher.findGroup(query, part))
        groups.push_back(group);
    const Quarantine::Plan plan =
            m_quarantine.plan(query.signature, query.snapshot->version, groups, state.tried);
    switch (plan.kind) {
    case Quarantine::Plan::Kind::Pending:
        hold(query, part);
        return;
    case Quarantine::Plan::Kind::Refuse:
        miss(query, part, PartReason::Quarantined);
        return;
    case Quarantine::Plan::Kind::Isolated: {
        const auto place = m_documents.findServer(plan.server);
        const bool sent = place.has_value()
                && m_dispatcher.sendTo(context, query, part, *place->server, Purpose::Retry,
                                       Trial::Isolated)
                        == SendResult::Sent;
        if (!sent)
            miss(query, part, state.reason);
        return;
    }
    case Quarantine::Plan::Kind::Canary:
    case Quarantine::Plan::Kind::FanOut:
        sendPart(context, query, part, Purpose::Retry);
        return;
    }
}

void QueryEngine::hedgeDueParts(StepContext &context, Query &query)
{
    const MonotonicTime now = context.now();
    MonotonicTime next = query.deadline;
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        QueryPart &state = query.parts[part];
        if (state.state != State::Open)
            continue;
        if (state.hedgeAt <= now) {
            m_dispatcher.noteSlow(query, part, now);
            if (!hedge(context, query, part))
                state.hedgeAt = now + m_dispatcher.hedgeDelay(query.service);
        }
        next = std::min(next, state.hedgeAt);
    }
    m_table.wakeAt(query, next);
}

bool QueryEngine::hedge(StepContext &context, Query &query, std::size_t part)
{
    if (query.parts[part].attempts.size() >= kMaxOpenAttempts)
        return false;
    if (query.gate != Query::Gate::Open)
        return hedgeCanary(context, query, part);
    if (!m_dispatcher.hasReplica(query, part, context.now()))
        return false;
    if (!m_dispatcher.budget(query.service).take()) {
        context.counters.add("hedges_denied_total");
        return false;
    }
    return m_dispatcher.send(context, query, part, Purpose::Hedge) == SendResult::Sent;
}

/**
 * A canary that does not answer in time goes to the next server in the signature's order too. All
 * hosts use the same two servers, so a crashing request still reaches two of them at most.
 */
bool QueryEngine::hedgeCanary(StepContext &context, Query &query, std::size_t part)
{
    const Group *group = m_dispatcher.findGroup(query, part);
    if (group == nullptr)
        return false;
    const Quarantine::Plan plan = m_quarantine.plan(query.signature, query.snapshot->version,
                                                    { group }, query.parts[part].tried);
    if (plan.kind != Quarantine::Plan::Kind::Canary || plan.server.empty())
        return false;
    const auto place = m_documents.findServer(plan.server);
    if (!place.has_value() || !m_dispatcher.budget(query.service).take())
        return false;
    return m_dispatcher.sendTo(context, query, part, *place->server, Purpose::Hedge, Trial::Canary)
            == SendResult::Sent;
}

void QueryEngine::takePartAnswer(StepContext &context, const HostId &owner,
                                 const PartAnswer &answer)
{
    const auto place = m_table.findAttempt(answer.part);
    if (!place.has_value()) {
        takeUnmatched(context, answer);
        return;
    }
    Query &query = *m_table.find(place->query);
    const auto &attempts = query.parts[place->part].attempts;
    const auto open = std::find_if(attempts.begin(), attempts.end(), [&](const Attempt &attempt) {
        return attempt.id == answer.part;
    });
    if (open->owner.host != owner && m_options.mechanisms.answerMatching) {
        context.counters.add("mismatched_answers_total");
        return;
    }
    const Attempt attempt = m_dispatcher.closeEnded(context, query, place->part, answer);
    AdmissionControl::PartSample sample;
    sample.refusedForLoad = isLoadRefusal(answer.reason);
    if (answer.outcome == PartOutcome::Answered)
        sample.partTime = context.now() - attempt.sentAt;
    m_admission.partEnded(context, query.service, sample);

    const bool wrongVersion = answer.outcome == PartOutcome::Answered
            && answer.version != query.snapshot->version && m_options.mechanisms.snapshotPinning;
    if (wrongVersion) {
        context.counters.add("mismatched_answers_total");
        failAttempt(context, query, place->part, attempt.server, PartOutcome::MayHaveRun,
                    PartReason::Mismatch);
    } else if (answer.outcome == PartOutcome::Answered) {
        if (attempt.hedge)
            context.counters.add("hedges_won_total");
        acceptAnswer(context, query, place->part, answer);
    } else {
        failAttempt(context, query, place->part, attempt.server, answer.outcome, answer.reason);
    }
    finishIfSettled(context, query);
}

void QueryEngine::takeUnmatched(StepContext &context, const PartAnswer &answer)
{
    if (answer.outcome != PartOutcome::Answered)
        return;
    context.counters.add("late_answers_total");
    const PartDispatcher::SentPart *sent = m_dispatcher.findSent(answer.part);
    if (m_options.mechanisms.answerMatching || sent == nullptr)
        return;
    for (const auto &[id, query] : m_table.all()) {
        const auto group = std::find(query->groups.begin(), query->groups.end(), sent->group);
        const auto part = static_cast<std::size_t>(group - query->groups.begin());
        if (query->service != sent->service || group == query->groups.end()
            || query->parts[part].state != State::Open
            || query->snapshot->version != answer.version)
            continue;
        acceptAnswer(context, *query, part, answer);
        finishIfSettled(context, *query);
        return;
    }
}

void QueryEngine::acceptAnswer(StepContext &context, Query &query, std::size_t part,
                               const PartAnswer &answer)
{
    QueryPart &state = query.parts[part];
    GREENGAGESTAIR_ASSERT(!state.isSettled());
    m_dispatcher.cancelOpen(context, query, part);
    state.state = State::Answered;
    state.answeredFrom = answer.version;
    state.body = answer.body;
    --query.unsettled;
    const bool isFirst = query.unsettled + 1 == query.parts.size();
    if (isFirst)
        m_quarantine.partAnswered(query.signature, query.snapshot->version);
    if (query.gate == Query::Gate::Open || part != query.probe)
        return;
    query.gate = Query::Gate::Open;
    sendUnsent(context, query);
}

void QueryEngine::failAttempt(StepContext &context, Query &query, std::size_t part,
                              const ServerId &server, PartOutcome outcome, PartReason reason)
{
    QueryPart &state = query.parts[part];
    state.reason = reason;
    const bool mayHaveRun =
            outcome == PartOutcome::ServerLost || outcome == PartOutcome::MayHaveRun;
    query.mayHaveRun = query.mayHaveRun || mayHaveRun;
    state.versionMissed = state.versionMissed || outcome == PartOutcome::VersionNotHeld;
    if (outcome == PartOutcome::ServerLost)
        m_quarantine.partLost(context, query.signature, server);
    else if (reason == PartReason::Quarantined)
        m_quarantine.partRefused(context, query.signature);
    if (!query.isRepeatable()) {
        failSingleAttempt(context, query, outcome, reason);
        return;
    }
    if (state.attempts.empty())
        retry(context, query, part, outcome, reason);
}

/** A non-repeatable request goes on only when the owner proved that nothing was sent. */
void QueryEngine::failSingleAttempt(StepContext &context, Query &query, PartOutcome outcome,
                                    PartReason reason)
{
    if (outcome == PartOutcome::NotSent && !query.callerGone) {
        retry(context, query, 0, outcome, reason);
        return;
    }
    query.mayHaveRun = outcome != PartOutcome::NotSent;
    miss(query, 0, reason);
}

void QueryEngine::retry(StepContext &context, Query &query, std::size_t part, PartOutcome outcome,
                        PartReason reason)
{
    const bool isProbe = query.gate != Query::Gate::Open && part == query.probe;
    if (needsBudget(outcome, reason) && !m_dispatcher.budget(query.service).take()) {
        context.counters.add("retries_denied_total");
        if (isProbe)
            missUnsettled(context, query, reason);
        else
            miss(query, part, reason);
        return;
    }
    if (isProbe) {
        retryProbe(context, query, reason);
    } else if (outcome == PartOutcome::ServerLost || reason == PartReason::Quarantined) {
        replanPart(context, query, part);
    } else {
        query.parts[part].state = State::Unsent;
        sendPart(context, query, part, Purpose::Retry);
    }
}

void QueryEngine::retryProbe(StepContext &context, Query &query, PartReason reason)
{
    query.parts[query.probe].state = State::Unsent;
    if (isLoadRefusal(reason))
        ++query.probeRefusals;
    if (reason == PartReason::Quarantined || query.probeRefusals >= kMaxProbeRefusals)
        missUnsettled(context, query, reason);
    else
        passGate(context, query);
}

void QueryEngine::miss(Query &query, std::size_t part, PartReason reason)
{
    QueryPart &state = query.parts[part];
    GREENGAGESTAIR_ASSERT(!state.isSettled() && state.attempts.empty());
    state.state = State::Missing;
    state.reason = reason;
    --query.unsettled;
}

void QueryEngine::missUnsettled(StepContext &context, Query &query, PartReason reason)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        QueryPart &state = query.parts[part];
        if (state.isSettled())
            continue;
        cancelOpen(context, query, part);
        const bool keepReason =
                state.reason != PartReason::None && reason != PartReason::Quarantined;
        miss(query, part, keepReason ? state.reason : reason);
    }
}

/** A cancelled attempt may have run. */
void QueryEngine::cancelOpen(StepContext &context, Query &query, std::size_t part)
{
    query.mayHaveRun = query.mayHaveRun || !query.parts[part].attempts.empty();
    m_dispatcher.cancelOpen(context, query, part);
}

void QueryEngine::loseAttempt(StepContext &context, PartId id)
{
    const auto place = m_table.findAttempt(id);
    if (!place.has_value())
        return;
    Query &query = *m_table.find(place->query);
    const Attempt attempt = m_dispatcher.closeLost(context, query, place->part, id);
    context.counters.add("attempts_lost_total");
    failAttempt(context, query, place->part, attempt.server, PartOutcome::MayHaveRun,
                PartReason::ConnectionLost);
    finishIfSettled(context, query);
}

void QueryEngine::endAtDeadline(StepContext &context, Query &query)
{
    if (query.callerGone) {
        remove(context, query);
        return;
    }
    switch (query.phase) {
    case Query::Phase::Waiting:
        end(context, query, QueryOutcome::NotRun, QueryReason::DeadlinePassed);
        return;
    case Query::Phase::Claiming:
        // The claim's verdict is not known: an earlier request may have run.
        end(context, query, QueryOutcome::MayHaveRun, QueryReason::PlatformUnavailable);
        return;
    case Query::Phase::Recording:
        finishIfSettled(context, query);
        return;
    case Query::Phase::Running:
        endPartsAtDeadline(context, query);
        return;
    }
}

void QueryEngine::endPartsAtDeadline(StepContext &context, Query &query)
{
    context.counters.add("deadlines_passed_total");
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        QueryPart &state = query.parts[part];
        if (state.isSettled())
            continue;
        const bool open = state.state == State::Open;
        query.mayHaveRun = query.mayHaveRun || open;
        if (open && !query.isRepeatable()) {
            awaitLateResult(context, query);
            return;
        }
        m_dispatcher.cancelOpen(context, query, part);
        if (open)
            miss(query, part, PartReason::TimedOut);
        else
            miss(query, part,
                 state.reason == PartReason::None ? PartReason::Expired : state.reason);
    }
    finishIfSettled(context, query, true);
}

/** Answers the caller, and keeps the attempt so that its result can still be recorded. */
void QueryEngine::awaitLateResult(StepContext &context, Query &query)
{
    CallerAnswer unknown;
    unknown.outcome =
            m_options.mechanisms.refusalProof ? QueryOutcome::MayHaveRun : QueryOutcome::NotRun;
    unknown.reason = QueryReason::DeadlinePassed;
    unknown.service = query.service;
    unknown.snapshot = query.snapshot->version;
    answer(context, query, std::move(unknown));
    query.callerGone = true;
    leaveAdmission(context, query);
    query.deadline = context.now() + kLateResultTime;
    m_table.wakeAt(query, query.deadline);
}

void QueryEngine::finishIfSettled(StepContext &context, Query &query, bool deadlinePassed)
{
    const bool started =
            query.phase == Query::Phase::Running || query.phase == Query::Phase::Recording;
    if (!started || query.unsettled > 0)
        return;
    if (!query.isRepeatable()) {
        finishSingle(context, query, deadlinePassed);
        return;
    }
    answer(context, query, composeAnswer(query, deadlinePassed, m_options.mechanisms));
    remove(context, query);
}

void QueryEngine::finishSingle(StepContext &context, Query &query, bool deadlinePassed)
{
    const bool answered = query.parts[0].state == State::Answered;
    if (answered && query.phase == Query::Phase::Running) {
        query.phase = Query::Phase::Recording;
        m_claims.recordDone(context, query.service, *query.idempotencyKey, query.snapshot->version,
                            query.parts[0].body, query.deadline,
                            [this, id = query.id](StepContext &outer, bool) {
                                step(outer, [this, id](StepContext &inner) {
                                    if (Query *recorded = m_table.find(id))
                                        finishIfSettled(inner, *recorded);
                                });
                            });
        return;
    }
    if (answered) {
        // Also when the record failed: the request ran once, and this is its result.
        answer(context, query, composeAnswer(query, deadlinePassed, m_options.mechanisms));
        remove(context, query);
        return;
    }
    const QueryReason reason =
            deadlinePassed ? QueryReason::DeadlinePassed : queryReasonFor(query.parts[0].reason);
    if (!query.mayHaveRun)
        m_claims.release(context, query.service, *query.idempotencyKey);
    const bool claimsNotRun = !query.mayHaveRun || !m_options.mechanisms.refusalProof;
    end(context, query, claimsNotRun ? QueryOutcome::NotRun : QueryOutcome::MayHaveRun, reason);
}

void QueryEngine::answer(StepContext &context, Query &query, CallerAnswer answer)
{
    if (query.callerGone)
        return;
    context.counters.add(queryCounter(answer.outcome));
    if (answer.outcome == QueryOutcome::NotRun)
        context.counters.add(refusalCounter(answer.reason));
    context.emit(AnswerCaller { query.caller, std::move(answer) });
}

void QueryEngine::end(StepContext &context, Query &query, QueryOutcome outcome, QueryReason reason)
{
    CallerAnswer refusal;
    refusal.outcome = outcome;
    refusal.reason = reason;
    refusal.service = query.service;
    if (query.snapshot != nullptr)
        refusal.snapshot = query.snapshot->version;
    answer(context, query, std::move(refusal));
    remove(context, query);
}

void QueryEngine::remove(StepContext &context, Query &query)
{
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        if (query.isRepeatable())
            m_dispatcher.cancelOpen(context, query, part);
        else
            m_dispatcher.abandonOpen(query, part);
    }
    leaveAdmission(context, query);
    m_table.remove(query.id);
}

void QueryEngine::leaveAdmission(StepContext &context, Query &query)
{
    if (query.admitted)
        m_admission.finished(context, query.service, query.priority,
                             context.now() - query.admittedAt);
    else if (query.phase == Query::Phase::Waiting)
        m_admission.withdraw(query.id);
    query.admitted = false;
}

} // namespace greengagestair
