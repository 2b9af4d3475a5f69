#include "gateway/RequestDispatcher.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/**
 * A request of which nothing was sent within the latency target divided by this is given up, so
 * that its caller can go to another host in time.
 */
static constexpr int kFirstSendDivisor = 4;
/** The slower attempt of a hedged part has this time to respond before its connection is closed. */
static constexpr Duration kSlowerAttemptLinger = std::chrono::milliseconds(1500);
/** A part answered within the latency target divided by this is not hedged. */
static constexpr int kMinHedgeDelayDivisor = 4;
/** Typical part times left for a hedge before the latency target; it often opens a connection. */
static constexpr int kHedgeTimeFactor = 2;
/** Maximum number of attempts of one part that may fail before any byte is sent. */
static constexpr std::size_t kMaxUnsentAttempts = 3;
/** Interval at which waiting parts are tried again, as the limit on repeats grows with time. */
static constexpr Duration kServeInterval = std::chrono::milliseconds(10);
/** After all its servers refused a part, it waits for this time for each refusal so far. */
static constexpr Duration kRefusalPause = std::chrono::milliseconds(10);
static constexpr Duration kMaxRefusalPause = std::chrono::milliseconds(40);
/** A part is given up once less than its typical time divided by this is left. */
static constexpr int kMinTimeDivisor = 2;

ServerFilter RequestDispatcher::filterFor(const Exchange &exchange, const Part &part)
{
    const bool isLimited = part.reached.size() >= exchange.route->maxAttempts;
    ServerFilter filter { part.excluded, isLimited ? &part.reached : nullptr };
    filter.mayWait = mayWait(exchange, part);
    filter.isWaiting = part.waiting.has_value();
    filter.isRepeat = !part.reached.empty();
    filter.mayTry = exchange.route->repeatable && !filter.isRepeat;
    if (filter.mayWait)
        filter.usableBy = latestSend(exchange, part);
    const bool isFirst = part.reached.empty() && part.excluded.empty();
    filter.versions = m_rollouts.filterFor(part.service->name, part.isForTargetVersion && isFirst,
                                           part.unsent > 0);
    // A target version that cannot take the request now is no reason to refuse it.
    if (part.isForTargetVersion && isFirst
        && !m_selector.hasCandidate(*part.service, filter, m_now))
        filter.versions = m_rollouts.filterFor(part.service->name, false, part.unsent > 0);
    return filter;
}

bool RequestDispatcher::arePausesTooLong(const Exchange &exchange, const Part &part)
{
    ServerFilter filter = filterFor(exchange, part);
    if (m_selector.hasCandidate(*part.service, filter, m_now))
        return false;
    filter.usableBy = MonotonicTime::max();
    return m_selector.hasCandidate(*part.service, filter, m_now);
}

bool RequestDispatcher::mayWait(const Exchange &exchange, const Part &part)
{
    // The other parts of a gathering request would be lost with this one, so it may wait; any other
    // caller is told at once when to return.
    return exchange.route->gather || part.reached.empty();
}

MonotonicTime RequestDispatcher::latestSend(const Exchange &exchange, const Part &part)
{
    const MonotonicTime inTime =
            exchange.deadlineAt - typicalTime(*exchange.route) / kMinTimeDivisor;
    if (exchange.route->gather || !part.reached.empty())
        return inTime;
    return std::min(inTime, firstSendLimit(exchange));
}

MonotonicTime RequestDispatcher::firstSendLimit(const Exchange &exchange)
{
    return std::min(exchange.arrivedAt + exchange.route->latencyTarget / kFirstSendDivisor,
                    exchange.deadlineAt);
}

RequestDispatcher::SendResult RequestDispatcher::trySend(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    const bool isRepeat = !part.reached.empty();
    const Duration typical = typicalTime(*exchange.route);
    const bool isTooLate = isRepeat && exchange.deadlineAt - m_now < typical / kMinTimeDivisor;
    const bool isBlocked = m_quarantine.isBlocked(exchange.losses->signature, m_now);
    if (isTooLate || isBlocked || part.unsent >= kMaxUnsentAttempts)
        return SendResult::Hopeless;
    const bool isWaitAllowed = mayWait(exchange, part);
    if (!m_selector.hasCandidate(*part.service, filterFor(exchange, part), m_now)) {
        if (part.refusedBy.empty() || !isWaitAllowed)
            return SendResult::Hopeless;
        if (m_now < part.returnAt)
            return SendResult::Wait;
        for (const ServerId &server : std::exchange(part.refusedBy, {}))
            std::erase(part.excluded, server);
        if (arePausesTooLong(exchange, part))
            return SendResult::Hopeless;
    }
    auto backend = m_selector.choose(*part.service, typical, filterFor(exchange, part), m_now);
    // Without room at the target version, the request need not wait for it.
    if (!backend && std::exchange(part.isForTargetVersion, false))
        backend = m_selector.choose(*part.service, typical, filterFor(exchange, part), m_now);
    const SendResult blocked = isWaitAllowed ? SendResult::Wait : SendResult::Hopeless;
    if (!backend)
        return blocked;
    if (isRepeat && !takeRetry(exchange, index)) {
        m_counters.add("retries_refused_total");
        return blocked;
    }
    if (isRepeat)
        m_counters.add("retries_sent_total");
    send(exchange, index, backend);
    return SendResult::Sent;
}

/** Whom the servers are told that a request is sent for; nullopt if requests need no keys. */
static std::optional<VerifiedCaller> verifiedCaller(const Exchange &exchange)
{
    if (!exchange.configuration->requiresKeys)
        return std::nullopt;
    if (!exchange.tenant)
        return VerifiedCaller {};
    return VerifiedCaller { exchange.tenant->name };
}

void RequestDispatcher::send(Exchange &exchange, std::size_t index,
                             const std::shared_ptr<Backend> &backend)
{
    Part &part = exchange.parts[index];
    if (part.reached.empty()) {
        part.firstSentAt = m_now;
        m_observations.addFirstAttempt();
    }
    const AttemptId attempt { ++m_lastAttemptId };
    const BackendRegistration &registration = backend->registration;
    const bool isNew = std::find(part.reached.begin(), part.reached.end(), registration.server)
            == part.reached.end();
    if (isNew)
        part.reached.push_back(registration.server);
    part.excluded.push_back(registration.server);
    part.openAttempts.push_back(attempt);
    m_selector.pacing().addStart(*backend, m_now);
    backend->load.addStart(attempt, m_now);
    m_limits.take(*backend);
    m_reachability.addStart(registration);
    m_attempts.emplace(attempt,
                       AttemptRecord { exchange.id, index, backend, m_now, isNew, exchange.losses,
                                       false, false,
                                       m_rollouts.isJudged(registration.service)
                                               ? exchange.route->name
                                               : std::string() });
    const bool isOwnDomain = m_selector.isOwnDomain(*backend);
    m_counters.add(isOwnDomain ? "attempts_total{failureDomain=\"own\"}"
                               : "attempts_total{failureDomain=\"other\"}");
    m_effects->push_back(StartAttempt { attempt, registration.server, registration.endpoint,
                                        exchange.request, exchange.deadlineAt - m_now,
                                        m_selector.idleLimitsFor(*part.service, *backend),
                                        verifiedCaller(exchange) });
    if (exchange.route->repeatable && part.reached.size() < exchange.route->maxAttempts) {
        addTimer(m_now + hedgeDelay(*exchange.route), { TimerKind::Hedge, exchange.id, index });
    }
}

void RequestDispatcher::sendOrQueue(Exchange &exchange, std::size_t index)
{
    switch (trySend(exchange, index)) {
    case SendResult::Sent:
        break;
    case SendResult::Wait:
        queuePart(exchange, index);
        break;
    case SendResult::Hopeless:
        settle(exchange, index);
        break;
    }
}

void RequestDispatcher::queuePart(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    m_counters.add("waits_total");
    if (m_waitingParts.isEmpty())
        m_nextServeAt = m_now + kServeInterval;
    const int tenantRank = exchange.tenant ? exchange.tenant->urgencyRank : 0;
    part.waiting = WaitingPart { tenantRank,
                                 exchange.route->urgencyRank,
                                 lackingParts(exchange),
                                 exchange.deadlineAt,
                                 exchange.id,
                                 index };
    m_waitingParts.add(part.service->name, *part.waiting);
    if (!part.reached.empty())
        return;
    addTimer(std::max(firstSendLimit(exchange), m_now),
             { TimerKind::FirstSendDue, exchange.id, index });
}

void RequestDispatcher::stopWaiting(Part &part)
{
    if (part.waiting)
        m_waitingParts.remove(part.service->name, *part.waiting);
    part.waiting.reset();
}

void RequestDispatcher::onFirstSendDue(Exchange &exchange, std::size_t index)
{
    // Once other parts were sent, waiting on costs less than sending them again elsewhere.
    if (!exchange.parts[index].waiting || hasReachedServer(exchange))
        return;
    settle(exchange, index);
    replyIfDone(exchange);
}

bool RequestDispatcher::serveWaiting(const WaitingPart &waiting)
{
    Exchange *exchange = find(waiting.exchange);
    const SendResult result = exchange ? trySend(*exchange, waiting.part) : SendResult::Hopeless;
    if (result == SendResult::Wait)
        return false;
    if (exchange) {
        exchange->parts[waiting.part].waiting.reset();
        if (result == SendResult::Hopeless) {
            settlePart(*exchange, waiting.part);
            m_givenUpParts.push_back(waiting.exchange);
        }
    }
    return true;
}

void RequestDispatcher::retryWaiting()
{
    m_nextServeAt = m_now + kServeInterval;
    m_waitingParts.serveAll([this](const WaitingPart &waiting) { return serveWaiting(waiting); });
    replyToGivenUp();
}

void RequestDispatcher::replyToGivenUp()
{
    for (const ExchangeId id : std::exchange(m_givenUpParts, {})) {
        if (Exchange *exchange = find(id))
            replyIfDone(*exchange);
    }
}

/** Time from an attempt until its part, if still unanswered, is sent to a second server. */
Duration RequestDispatcher::hedgeDelay(const GatewayRoute &route)
{
    const Duration minDelay = route.latencyTarget / kMinHedgeDelayDivisor;
    // The estimator triples its argument while it has few samples, so a third of minDelay is
    // passed.
    const Duration usualDelay = std::max(partTimesOf(route).hedgeDelay(minDelay / 3), minDelay);
    // While many servers are slow, a second attempt after the usual delay would come too late.
    const Duration maxDelay =
            route.latencyTarget - kCallerRoundTrip - kHedgeTimeFactor * typicalTime(route);
    return std::min(usualDelay, std::max(maxDelay, minDelay));
}

void RequestDispatcher::onHedge(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    const bool isUseful = !part.isSettled && !part.openAttempts.empty()
            && part.reached.size() < exchange.route->maxAttempts
            && !m_quarantine.isBlocked(exchange.losses->signature, m_now);
    if (!isUseful)
        return;
    ServerFilter filter = filterFor(exchange, part);
    filter.mayWait = false;
    const auto backend =
            m_selector.choose(*part.service, typicalTime(*exchange.route), filter, m_now);
    if (!backend)
        return;
    if (!budgetOf(part.service->name).takeHedge(m_now)) {
        m_counters.add("hedges_refused_total");
        return;
    }
    const AttemptRecord late = m_attempts.at(part.openAttempts.front());
    send(exchange, index, backend);
    m_counters.add("hedges_total");
    // One line for a request; its number of hedges is logged with the answer.
    if (++exchange.hedges > 1)
        return;
    m_effects->push_back(LogRecord { LogPriority::Detail,
                                     "hedged",
                                     { { "requestId", exchange.request->requestId },
                                       { "service", part.service->name.value },
                                       { "server", backend->registration.server.value },
                                       { "lateServer", late.backend->registration.server.value },
                                       { "waitedMicros", microsSince(late.startedAt) } } });
}

void RequestDispatcher::retryOrSettle(Exchange &exchange, std::size_t index)
{
    if (!exchange.parts[index].openAttempts.empty())
        return;
    m_counters.add("retries_total");
    sendOrQueue(exchange, index);
}

void RequestDispatcher::settle(Exchange &exchange, std::size_t index)
{
    settlePart(exchange, index);
    stopWaiting(exchange.parts[index]);
}

void RequestDispatcher::releaseAttempts(Part &part, Duration linger)
{
    for (const AttemptId attempt : part.openAttempts) {
        AttemptRecord &record = m_attempts.at(attempt);
        record.isReleased = true;
        // The server takes at least the time that has passed.
        const Duration age = m_now - record.startedAt;
        record.isObserved = part.answer || age >= kMinUnansweredTime;
        if (record.isObserved)
            m_observations.addAnswer(*record.backend, age);
        m_effects->push_back(ReleaseAttempt { attempt, linger });
    }
    part.openAttempts.clear();
}

/** True if the response shows that the server has run the request and is still alive. */
static bool showsSurvival(const BackendAnswer &answer)
{
    const bool isUnsignedSuccess = answer.status < 300 && answer.signature.empty();
    return !answer.notExecuted && !isUnsignedSuccess && answer.status < 500;
}

void RequestDispatcher::endAttempt(AttemptEnded &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end())
        return;
    const AttemptRecord record = std::move(found->second);
    m_attempts.erase(found);
    recordLoad(record, event.attempt, event.result);
    recordObservation(record, event.result);
    recordVersionResult(record, event.result);
    // What the result shows about the request counts even if the request has ended.
    auto *answer = std::get_if<BackendAnswer>(&event.result);
    const auto *failure = std::get_if<AttemptFailure>(&event.result);
    if (answer && showsSurvival(*answer))
        addSuccess(*record.losses);
    else if (failure && *failure == AttemptFailure::Lost)
        addLoss(*record.losses, record.backend->registration.server);
    Exchange *exchange = find(record.exchange);
    if (exchange) {
        Part &part = exchange->parts[record.part];
        const bool isWanted = std::erase(part.openAttempts, event.attempt) > 0;
        if (isWanted && !part.isSettled) {
            if (answer)
                onAnswer(*exchange, record.part, record, std::move(*answer));
            else
                onFailure(*exchange, record.part, record, *failure);
            replyIfDone(*exchange);
        }
    }
    m_waitingParts.serve(record.backend->registration.service,
                         [this](const WaitingPart &waiting) { return serveWaiting(waiting); });
    replyToGivenUp();
}

void RequestDispatcher::onRefusal(Exchange &exchange, std::size_t index, const ServerId &server)
{
    Part &part = exchange.parts[index];
    m_counters.add("attempts_refused_total");
    ++part.refusals;
    part.refusedBy.push_back(server);
    const auto pauses = static_cast<Duration::rep>(part.refusals);
    part.returnAt = m_now + std::min(kRefusalPause * pauses, kMaxRefusalPause);
    retryOrSettle(exchange, index);
}

void RequestDispatcher::onAnswer(Exchange &exchange, std::size_t index, const AttemptRecord &record,
                                 BackendAnswer answer)
{
    Part &part = exchange.parts[index];
    const bool isSuccess = answer.status >= 200 && answer.status < 300;
    if (answer.notExecuted)
        return onRefusal(exchange, index, record.backend->registration.server);
    if (answer.signature.empty() && (isSuccess || answer.status >= 500))
        return onFailure(exchange, index, record, AttemptFailure::Corrupt);
    const bool isUsable = exchange.route->gather ? isSuccess : answer.status < 500;
    if (isUsable) {
        // A hedged part counts with its whole time. Without the times of attempts that a hedge has
        // overtaken, the quantile would fall and cause ever more hedges.
        partTimesOf(*exchange.route).add(m_now - part.firstSentAt);
        return acceptAnswer(exchange, index, std::move(answer));
    }
    m_counters.add("attempts_failed_total{failure=\"status\"}");
    part.mayHaveRun = true;
    part.failure = std::move(answer);
    if (exchange.route->repeatable)
        retryOrSettle(exchange, index);
    else
        settle(exchange, index);
}

void RequestDispatcher::acceptAnswer(Exchange &exchange, std::size_t index, BackendAnswer answer)
{
    Part &part = exchange.parts[index];
    part.answer = std::move(answer);
    releaseAttempts(part, kSlowerAttemptLinger);
    settle(exchange, index);
}

void RequestDispatcher::onFailure(Exchange &exchange, std::size_t index,
                                  const AttemptRecord &record, AttemptFailure failure)
{
    Part &part = exchange.parts[index];
    const ServerId &server = record.backend->registration.server;
    m_counters.add(std::string("attempts_failed_total{failure=\"") + toText(failure) + "\"}");
    m_effects->push_back(LogRecord { LogPriority::Detail,
                                     "attemptFailed",
                                     { { "requestId", exchange.request->requestId },
                                       { "server", server.value },
                                       { "failure", toText(failure) },
                                       { "waitedMicros", microsSince(record.startedAt) } } });
    if (failure == AttemptFailure::NotSent) {
        if (record.isFirstAtServer)
            std::erase(part.reached, server);
        ++part.unsent;
        return retryOrSettle(exchange, index);
    }
    part.mayHaveRun = true;
    if (exchange.route->repeatable)
        retryOrSettle(exchange, index);
    else
        settle(exchange, index);
}

} // namespace greengagestair
