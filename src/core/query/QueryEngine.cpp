#include "core/query/QueryEngine.h"

#include "core/Assert.h"
#include "core/quarantine/Signature.h"
#include "core/query/QueryAnswer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace greengagestair {

/** Time subtracted from the caller's deadline, so that the answer reaches the caller in time. */
static constexpr Duration kTransportAllowance = std::chrono::milliseconds(1);
/** A claim ends this long before its query's deadline, which leaves time to answer the caller. */
static constexpr Duration kClaimResultAllowance = std::chrono::milliseconds(1);
/** Lower bound of a query's deadline; less time is not enough for a fan-out. */
static constexpr Duration kMinDeadline = std::chrono::milliseconds(1);
/** Deadline of an outcome query: time for a read and a write of the platform, each retried once. */
static constexpr Duration kOutcomeQueryDeadline = std::chrono::seconds(1);
/** Time after the deadline during which a late result is awaited in order to record it. */
static constexpr Duration kLateResultTimeout = std::chrono::seconds(1);

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

QueryEngine::QueryEngine(const ReducerOptions &options, DocumentView &documents,
                         OwnershipView &ownership, PartRouter &router, RequestClaims &claims,
                         AdmissionControl &admission, Quarantine &quarantine,
                         IdentifierSource &identifiers)
    : m_options(options)
    , m_documents(documents)
    , m_claims(claims)
    , m_admission(admission)
    , m_quarantine(quarantine)
    , m_partExecutor(options, documents, ownership, router, admission, quarantine, identifiers,
                     m_table)
{
}

void QueryEngine::onCallerRequest(StepContext &context, const CallerRequest &request)
{
    runStep(context, [this, request](StepContext &inner) { handleRequest(inner, request); });
}

void QueryEngine::onOutcomeQuery(StepContext &context, const OutcomeQuery &outcomeQuery)
{
    m_outcomeCallers.insert(outcomeQuery.caller);
    m_claims.findOutcome(context, outcomeQuery.service, outcomeQuery.idempotencyKey,
                         context.now() + kOutcomeQueryDeadline,
                         [this, caller = outcomeQuery.caller, service = outcomeQuery.service](
                                 StepContext &inner, const ClaimResult &result) {
                             handleOutcomeResult(inner, caller, service, result);
                         });
}

void QueryEngine::onCallerGone(StepContext &context, const CallerGone &gone)
{
    runStep(context, [this, caller = gone.caller](StepContext &inner) {
        m_outcomeCallers.erase(caller);
        Query *query = m_table.findByCaller(caller);
        if (query == nullptr || query->callerGone)
            return;
        inner.counters.add("callers_gone_total");
        query->callerGone = true;
        if (query->phase == Query::Phase::Waiting)
            refuse(inner, *query, QueryReason::None);
        else if (query->isRepeatable())
            remove(inner, *query);
    });
}

void QueryEngine::onPartAnswer(StepContext &context, const HostId &owner, const PartAnswer &answer)
{
    runStep(context, [this, owner, answer](StepContext &inner) {
        if (Query *query = m_partExecutor.applyAnswer(inner, owner, answer))
            finishIfSettled(inner, *query);
    });
}

void QueryEngine::onPeerLost(StepContext &context, const HostId &host)
{
    runStep(context, [this, host](StepContext &inner) {
        for (const PartId id : m_table.attemptsOfOwner(host)) {
            if (Query *query = m_partExecutor.failLostAttempt(inner, id))
                finishIfSettled(inner, *query);
        }
    });
}

void QueryEngine::onTick(StepContext &context)
{
    runStep(context, [this](StepContext &inner) {
        m_quarantine.onTick(inner);
        m_partExecutor.removeIdle(inner.now());
    });
}

MonotonicTime QueryEngine::nextWakeUp() const
{
    return std::min(m_table.nextWakeUp(), m_admission.nextWakeUp());
}

void QueryEngine::requestStop(MonotonicTime answerBy)
{
    m_stopping = true;
    if (m_options.mechanisms.stopDraining) {
        m_table.limitDeadlines(answerBy);
        return;
    }
    m_partExecutor.clear();
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
    boost::json::object result = m_partExecutor.dump(now);
    result["stopping"] = m_stopping;
    result["waiting"] = phases[0];
    result["claiming"] = phases[1];
    result["running"] = phases[2];
    result["recording"] = phases[3];
    result["outcomeQueries"] = m_outcomeCallers.size();
    return result;
}

void QueryEngine::runStep(StepContext &context, Step work)
{
    // The owner role and the ledger of this process may call back while a step is running.
    m_deferredSteps.push_back(std::move(work));
    if (m_stepRunning)
        return;
    m_stepRunning = true;
    while (!m_deferredSteps.empty()) {
        const Step next = std::move(m_deferredSteps.front());
        m_deferredSteps.pop_front();
        next(context);
        if (m_deferredSteps.empty())
            processDueQueries(context);
    }
    m_stepRunning = false;
}

void QueryEngine::processDueQueries(StepContext &context)
{
    while (Query *query = m_table.takeDueQuery(context.now())) {
        if (context.now() >= query->deadline)
            endAtDeadline(context, *query);
        else
            m_partExecutor.hedgeDueParts(context, *query);
    }
    for (const QueryId id : m_partExecutor.replanHeldParts(context)) {
        if (Query *query = m_table.find(id))
            finishIfSettled(context, *query);
    }
    while (applyNextDecision(context)) { }
    m_table.dropStaleTimers();
    context.counters.set("queries_in_progress", m_table.size());
}

bool QueryEngine::applyNextDecision(StepContext &context)
{
    const auto decision = m_admission.takeNextDecision(context);
    if (!decision.has_value())
        return false;
    Query *query = m_table.find(decision->query);
    if (query == nullptr) {
        if (decision->admitted)
            m_admission.queryEnded(context, decision->service, decision->priority,
                                   Duration::zero());
        return true;
    }
    GREENGAGESTAIR_ASSERT(query->phase == Query::Phase::Waiting);
    query->admitted = decision->admitted;
    query->admittedAt = context.now();
    if (decision->admitted)
        start(context, *query);
    else
        refuse(context, *query, QueryReason::Overloaded);
    return true;
}

void QueryEngine::handleRequest(StepContext &context, const CallerRequest &request)
{
    const QueryReason refusal = checkRequest(request);
    if (refusal != QueryReason::None) {
        refuseRequest(context, request, refusal);
        return;
    }
    const Service &service = *m_documents.configuration()->findService(request.service);
    const Operation &operation = *findOperation(service, request.operation);
    const Duration requestedDeadline = request.deadline.value_or(service.defaultDeadline);
    const Duration deadline =
            std::min(requestedDeadline, service.maxDeadline) - kTransportAllowance;

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
    m_table.scheduleWakeUp(added, added.deadline);

    if (added.isRepeatable())
        admit(context, added);
    else
        claim(context, added);
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
    // The ledger was not read, so an earlier attempt with this idempotency key may have run.
    const bool temporary = reason == QueryReason::Stopping || reason == QueryReason::NotReady;
    const bool earlierMayHaveRun = temporary && request.idempotencyKey.has_value();
    CallerAnswer answer;
    answer.outcome = earlierMayHaveRun ? QueryOutcome::MayHaveRun : QueryOutcome::NotRun;
    answer.reason = reason;
    answer.service = request.service;
    answer.notSent = true;
    context.counters.add(queryCounter(answer.outcome));
    context.counters.add(refusalCounter(reason));
    context.emit(AnswerCaller { request.caller, std::move(answer) });
}

/**
 * Claims a non-repeatable request. The claim comes before admission: during an outage of the
 * platform, requests that wait for it must not occupy slots that repeatable requests could use.
 */
void QueryEngine::claim(StepContext &context, Query &query)
{
    // Refuses a request that could not be sent anyway, without writing a claim to the platform.
    if (m_partExecutor.selectSnapshot(query.service, context.now()) == nullptr) {
        refuse(context, query, QueryReason::NoSnapshot);
        return;
    }
    if (m_admission.wouldRefuse(context, query.service, query.priority, query.deadline)) {
        refuse(context, query, QueryReason::Overloaded);
        return;
    }
    query.phase = Query::Phase::Claiming;
    m_claims.claim(context, query.service, *query.idempotencyKey,
                   query.deadline - kClaimResultAllowance,
                   [this, id = query.id, service = query.service,
                    key = *query.idempotencyKey](StepContext &outer, const ClaimResult &result) {
                       runStep(outer, [this, id, service, key, result](StepContext &inner) {
                           handleClaimResult(inner, id, service, key, result);
                       });
                   });
}

void QueryEngine::handleClaimResult(StepContext &context, QueryId id, const ServiceId &service,
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
        query->claimed = true;
        admit(context, *query);
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

void QueryEngine::admit(StepContext &context, Query &query)
{
    query.phase = Query::Phase::Waiting;
    const Configuration *configuration = m_documents.configuration();
    const Service *service =
            configuration == nullptr ? nullptr : configuration->findService(query.service);
    if (service == nullptr) {
        refuse(context, query, QueryReason::UnknownService);
        return;
    }
    const auto verdict =
            m_admission.request(context, *service, query.priority, query.id, query.deadline);
    if (verdict == AdmissionControl::Verdict::Refused) {
        refuse(context, query, QueryReason::Overloaded);
    } else if (verdict == AdmissionControl::Verdict::Admitted) {
        query.admitted = true;
        query.admittedAt = context.now();
        start(context, query);
    }
}

void QueryEngine::handleOutcomeResult(StepContext &context, CallerId caller,
                                      const ServiceId &service, const ClaimResult &result)
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
    auto snapshot = m_partExecutor.selectSnapshot(query.service, context.now());
    if (snapshot == nullptr || !m_partExecutor.createParts(query, std::move(snapshot))) {
        query.parts.clear();
        query.unsettledParts = 0;
        refuse(context, query,
               query.snapshot == nullptr ? QueryReason::NoSnapshot : QueryReason::BadRequest);
        return;
    }
    m_partExecutor.start(context, query);
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
        refuse(context, query, QueryReason::DeadlinePassed);
        return;
    case Query::Phase::Claiming:
        // The result of the claim is unknown, so an earlier attempt may have run.
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
    if (!query.isRepeatable() && query.parts[0].state == QueryPart::State::Open) {
        query.mayHaveRun = true;
        awaitLateResult(context, query);
        return;
    }
    m_partExecutor.markMissingAtDeadline(context, query);
    finishIfSettled(context, query, true);
}

/**
 * Answers the caller at the deadline of a non-repeatable request, and keeps its attempt open so
 * that a late result can still be recorded.
 */
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
    query.deadline = context.now() + kLateResultTimeout;
    m_table.scheduleWakeUp(query, query.deadline);
}

void QueryEngine::finishIfSettled(StepContext &context, Query &query, bool deadlinePassed)
{
    const bool started =
            query.phase == Query::Phase::Running || query.phase == Query::Phase::Recording;
    if (!started || query.unsettledParts > 0)
        return;
    if (!query.isRepeatable()) {
        finishNonRepeatable(context, query, deadlinePassed);
        return;
    }
    answer(context, query, composeAnswer(query, deadlinePassed, m_options.mechanisms));
    remove(context, query);
}

void QueryEngine::finishNonRepeatable(StepContext &context, Query &query, bool deadlinePassed)
{
    const bool answered = query.parts[0].state == QueryPart::State::Answered;
    if (answered && query.phase == Query::Phase::Running) {
        query.phase = Query::Phase::Recording;
        leaveAdmission(context, query);
        m_claims.recordResult(context, query.service, *query.idempotencyKey,
                              query.snapshot->version, query.parts[0].body, query.deadline,
                              [this, id = query.id](StepContext &outer, bool) {
                                  runStep(outer, [this, id](StepContext &inner) {
                                      if (Query *recorded = m_table.find(id))
                                          finishIfSettled(inner, *recorded);
                                  });
                              });
        return;
    }
    if (answered) {
        // The result is valid even if recording it failed: the request ran exactly once.
        answer(context, query, composeAnswer(query, deadlinePassed, m_options.mechanisms));
        remove(context, query);
        return;
    }
    const QueryReason reason =
            deadlinePassed ? QueryReason::DeadlinePassed : queryReasonFor(query.parts[0].reason);
    if (!query.mayHaveRun)
        m_claims.release(context, query.service, *query.idempotencyKey);
    const bool reportsNotRun = !query.mayHaveRun || !m_options.mechanisms.refusalProof;
    end(context, query, reportsNotRun ? QueryOutcome::NotRun : QueryOutcome::MayHaveRun, reason);
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

/**
 * Ends a query of which no part was sent. For a non-repeatable request the caller gets "not run"
 * only if this host holds the claim, which proves that no earlier attempt has run.
 */
void QueryEngine::refuse(StepContext &context, Query &query, QueryReason reason)
{
    if (query.claimed)
        m_claims.release(context, query.service, *query.idempotencyKey);
    const bool provenNotRun =
            query.isRepeatable() || query.claimed || !m_options.mechanisms.refusalProof;
    end(context, query, provenNotRun ? QueryOutcome::NotRun : QueryOutcome::MayHaveRun, reason);
}

void QueryEngine::end(StepContext &context, Query &query, QueryOutcome outcome, QueryReason reason)
{
    CallerAnswer refusal;
    refusal.outcome = outcome;
    refusal.reason = reason;
    refusal.service = query.service;
    if (query.snapshot != nullptr)
        refusal.snapshot = query.snapshot->version;
    const bool started =
            query.phase == Query::Phase::Running || query.phase == Query::Phase::Recording;
    refusal.notSent = !started;
    answer(context, query, std::move(refusal));
    remove(context, query);
}

void QueryEngine::remove(StepContext &context, Query &query)
{
    m_partExecutor.closeAttempts(context, query);
    leaveAdmission(context, query);
    m_table.remove(query.id);
}

void QueryEngine::leaveAdmission(StepContext &context, Query &query)
{
    if (query.admitted)
        m_admission.queryEnded(context, query.service, query.priority,
                               context.now() - query.admittedAt);
    else if (query.phase == Query::Phase::Waiting)
        m_admission.withdraw(query.id);
    query.admitted = false;
}

} // namespace greengagestair
