#include "gateway/RequestDispatcher.h"

#include "core/Assert.h"
#include "core/quarantine/Signature.h"

#include <algorithm>

namespace greengagestair {

/** Time that the answer needs to reach the caller before its deadline. */
static constexpr Duration kReplyMargin = std::chrono::milliseconds(8);
/** Part of the caller's waiting time that this host cannot measure: round trip and queueing. */
static constexpr Duration kCallerRoundTrip = std::chrono::milliseconds(10);
/** A part may wait for a server with capacity for the latency target divided by this. */
static constexpr int kCapacityWaitDivisor = 4;
/** Backend servers may continue a request for this time after its caller has disconnected. */
static constexpr Duration kDisconnectLinger = std::chrono::milliseconds(250);
/** The slower attempt of a hedged part has this time to respond before its connection is closed. */
static constexpr Duration kSlowerAttemptLinger = std::chrono::milliseconds(1500);
/** A part answered within the latency target divided by this is not hedged. */
static constexpr int kMinHedgeDelayDivisor = 4;
/** Maximum number of attempts of one part that may fail before any byte is sent. */
static constexpr std::size_t kMaxUnsentAttempts = 3;
/** Without samples, the expected time of a part is the latency target divided by this. */
static constexpr int kInitialPartTimeDivisor = 10;

/** Limit on reports of lost servers to other hosts; the loss of a failure domain causes many. */
static constexpr double kMaxLossReports = 50;
static constexpr Duration kLossReportWindow = std::chrono::seconds(5);

RequestDispatcher::RequestDispatcher(BackendSelector &selector, DomainReachability &reachability,
                                     const RepeatLimits &repeats)
    : m_selector(selector)
    , m_reachability(reachability)
    , m_repeatLimits(repeats)
    , m_lossReportBudget({ 0, kLossReportWindow, kMaxLossReports })
{
}

void RequestDispatcher::setRepeatLimits(const RepeatLimits &limits)
{
    m_repeatLimits = limits;
    for (auto &[service, budget] : m_budgets)
        budget.setLimits(limits);
}

void RequestDispatcher::addReportedLoss(const HostId &reporter, const SignatureLoss &loss)
{
    m_quarantine.addLoss(loss.signature, reporter.value, loss.server, m_now);
}

void RequestDispatcher::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
}

Exchange *RequestDispatcher::find(ExchangeId exchange)
{
    const auto found = m_exchanges.find(exchange);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

RepeatBudget &RequestDispatcher::budgetOf(const ServiceId &service)
{
    return m_budgets.try_emplace(service, m_repeatLimits).first->second;
}

PartTimeEstimator &RequestDispatcher::partTimesOf(const GatewayRoute &route)
{
    return m_partTimes[route.name];
}

Duration RequestDispatcher::typicalTime(const GatewayRoute &route)
{
    return partTimesOf(route).typicalPartTime(route.latencyTarget / kInitialPartTimeDivisor);
}

std::string RequestDispatcher::microsSince(MonotonicTime start) const
{
    return std::to_string((m_now - start).count());
}

void RequestDispatcher::addTimer(MonotonicTime at, const Timer &timer)
{
    m_timers.emplace(at, timer);
}

std::optional<MonotonicTime> RequestDispatcher::nextWakeUp() const
{
    if (m_timers.empty())
        return std::nullopt;
    return m_timers.begin()->first;
}

void RequestDispatcher::advance()
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        const Timer timer = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        onTimer(timer);
    }
}

void RequestDispatcher::onTimer(const Timer &timer)
{
    Exchange *exchange = find(timer.exchange);
    if (!exchange)
        return;
    switch (timer.kind) {
    case TimerKind::Deadline:
        onDeadline(*exchange);
        break;
    case TimerKind::PartialAnswer:
        replyIfDone(*exchange);
        break;
    case TimerKind::Hedge:
        onHedge(*exchange, timer.part);
        break;
    case TimerKind::CapacityWaitEnd:
        if (exchange->parts[timer.part].isWaiting) {
            settle(*exchange, timer.part);
            replyIfDone(*exchange);
        }
        break;
    }
}

void RequestDispatcher::start(const RequestReceived &event,
                              const std::shared_ptr<const RoutingConfiguration> &configuration)
{
    const GatewayRequest &request = *event.request;
    m_counters.add("requests_total");
    if (!configuration)
        return refuse(event.exchange, request, RefusalReason::NoConfiguration);
    const GatewayRoute *route = findRoute(*configuration, request.host, request.target);
    if (!route)
        return refuse(event.exchange, request, RefusalReason::NoRoute);
    const Signature signature =
            computeSignature({ request.host }, { request.method + request.target }, request.body);
    if (m_quarantine.isBlocked(signature, m_now))
        return refuse(event.exchange, request, RefusalReason::Quarantined);
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.id = event.exchange;
    exchange.request = event.request;
    exchange.configuration = configuration;
    exchange.route = route;
    exchange.signature = signature;
    exchange.arrivedAt = m_now - event.readDelay;
    const Duration callerTimeLeft = request.deadline.value_or(route->timeout) - kReplyMargin;
    exchange.deadlineAt = exchange.arrivedAt + std::min(callerTimeLeft, route->timeout);
    if (exchange.deadlineAt <= m_now)
        return refuse(event.exchange, request, RefusalReason::Shed);
    const MonotonicTime partialAnswerAt =
            exchange.arrivedAt + route->latencyTarget - kCallerRoundTrip;
    exchange.partialAnswerAt = std::max(partialAnswerAt, m_now);
    m_exchanges.emplace(exchange.id, std::move(owned));
    if (route->gather) {
        exchange.parts.reserve(route->gather->services.size());
        for (const ServiceId &service : route->gather->services)
            addPart(exchange, service);
        addTimer(exchange.partialAnswerAt, { TimerKind::PartialAnswer, exchange.id, 0 });
    } else {
        addPart(exchange, chooseTarget(*route));
    }
    addTimer(exchange.deadlineAt, { TimerKind::Deadline, exchange.id, 0 });
    for (std::size_t index = 0; index < exchange.parts.size(); ++index)
        startPart(exchange, index);
    replyIfDone(exchange);
}

bool RequestDispatcher::addPart(Exchange &exchange, const ServiceId &service)
{
    Part &part = exchange.parts.emplace_back();
    const auto found = exchange.configuration->services.find(service);
    if (found == exchange.configuration->services.end()) {
        part.isSettled = true;
        return false;
    }
    part.service = &found->second;
    budgetOf(service).addRequest(m_now);
    return true;
}

/** Smooth weighted round robin, so that the weights hold over any run of consecutive requests. */
const ServiceId &RequestDispatcher::chooseTarget(const GatewayRoute &route)
{
    GREENGAGESTAIR_ASSERT(!route.targets.empty());
    if (route.targets.size() == 1)
        return route.targets.front().service;
    std::vector<double> &credits = m_splitCredits[route.name];
    credits.resize(route.targets.size(), 0);
    double total = 0;
    for (std::size_t i = 0; i < credits.size(); ++i) {
        credits[i] += route.targets[i].weight;
        total += route.targets[i].weight;
    }
    const auto best = std::max_element(credits.begin(), credits.end());
    *best -= total;
    return route.targets[static_cast<std::size_t>(best - credits.begin())].service;
}

void RequestDispatcher::startPart(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    if (part.isSettled || send(exchange, index))
        return;
    if (m_selector.hasUntriedServer(*part.service, part.tried))
        waitForCapacity(exchange, index);
    else
        settle(exchange, index);
}

void RequestDispatcher::waitForCapacity(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    part.isWaiting = true;
    m_counters.add("waits_total");
    m_waitingParts.emplace(exchange.route->urgencyRank, std::pair(exchange.id, index));
    const MonotonicTime end =
            std::min(exchange.arrivedAt + exchange.route->latencyTarget / kCapacityWaitDivisor,
                     exchange.deadlineAt);
    addTimer(std::max(end, m_now), { TimerKind::CapacityWaitEnd, exchange.id, index });
}

void RequestDispatcher::retryWaiting()
{
    for (auto entry = m_waitingParts.begin(); entry != m_waitingParts.end();) {
        const auto [id, index] = entry->second;
        Exchange *exchange = find(id);
        const bool isOver = !exchange || !exchange->parts[index].isWaiting;
        entry = isOver || send(*exchange, index) ? m_waitingParts.erase(entry) : std::next(entry);
    }
}

bool RequestDispatcher::send(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    const auto backend =
            m_selector.choose(*part.service, typicalTime(*exchange.route), part.tried, m_now);
    if (!backend)
        return false;
    part.isWaiting = false;
    const AttemptId attempt { ++m_lastAttemptId };
    const BackendRegistration &registration = backend->registration;
    part.openAttempts.push_back(attempt);
    part.tried.push_back(registration.server);
    ++part.sent;
    backend->load.addStart(attempt, m_now);
    m_reachability.addStart(registration);
    if (m_now < backend->coldUntil)
        backend->load.addColdRequest(m_now);
    m_attempts.emplace(attempt, AttemptRecord { exchange.id, index, backend, m_now });
    const bool isOwnDomain = m_selector.isOwnDomain(*backend);
    m_counters.add(isOwnDomain ? "attempts_total{failureDomain=\"own\"}"
                               : "attempts_total{failureDomain=\"other\"}");
    m_effects->push_back(StartAttempt { attempt, registration.server, registration.endpoint,
                                        exchange.request, exchange.deadlineAt - m_now,
                                        m_selector.idleLimitsFor(*part.service, *backend) });
    if (exchange.route->repeatable && part.sent < exchange.route->maxAttempts) {
        addTimer(m_now + hedgeDelay(*exchange.route), { TimerKind::Hedge, exchange.id, index });
    }
    return true;
}

/** Time from an attempt until its part, if still unanswered, is sent to a second server. */
Duration RequestDispatcher::hedgeDelay(const GatewayRoute &route)
{
    const Duration minDelay = route.latencyTarget / kMinHedgeDelayDivisor;
    // The estimator triples its argument while it has few samples, so a third of minDelay is
    // passed.
    const Duration usualDelay = std::max(partTimesOf(route).hedgeDelay(minDelay / 3), minDelay);
    // While many servers are slow, a second attempt after the usual delay would come too late.
    const Duration maxDelay = route.latencyTarget - kCallerRoundTrip - 2 * typicalTime(route);
    return std::min(usualDelay, std::max(maxDelay, minDelay));
}

void RequestDispatcher::onHedge(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    const bool isUseful = !part.isSettled && !part.openAttempts.empty()
            && part.sent < exchange.route->maxAttempts;
    if (!isUseful)
        return;
    if (!m_selector.hasUntriedServer(*part.service, part.tried))
        return;
    if (!budgetOf(part.service->name).takeRepeat(m_now)) {
        m_counters.add("hedges_refused_total");
        return;
    }
    const AttemptId late = part.openAttempts.front();
    if (!send(exchange, index))
        return;
    m_counters.add("hedges_total");
    m_effects->push_back(
            LogRecord { LogPriority::Detail,
                        "hedged",
                        { { "requestId", exchange.request->requestId },
                          { "service", part.service->name.value },
                          { "server", part.tried.back().value },
                          { "lateServer", part.tried.front().value },
                          { "waitedMicros", microsSince(m_attempts.at(late).startedAt) } } });
}

void RequestDispatcher::retryOrSettle(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    if (!part.openAttempts.empty())
        return;
    const bool isAllowed = part.sent < exchange.route->maxAttempts
            && part.unsent < kMaxUnsentAttempts
            && !m_quarantine.isBlocked(exchange.signature, m_now)
            && m_selector.hasUntriedServer(*part.service, part.tried);
    const bool isFirstSend = part.sent == 0;
    if (isAllowed && (isFirstSend || budgetOf(part.service->name).takeRepeat(m_now))
        && send(exchange, index)) {
        m_counters.add("retries_total");
        return;
    }
    settle(exchange, index);
}

void RequestDispatcher::settle(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    part.isSettled = true;
    part.isWaiting = false;
}

void RequestDispatcher::onCallerDisconnected(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    m_counters.add("callers_left_total");
    for (Part &part : exchange->parts)
        releaseAttempts(part, kDisconnectLinger);
    m_exchanges.erase(id);
}

void RequestDispatcher::releaseAttempts(Part &part, Duration linger)
{
    for (const AttemptId attempt : part.openAttempts)
        m_effects->push_back(ReleaseAttempt { attempt, linger });
    part.openAttempts.clear();
}

void RequestDispatcher::recordLoad(const AttemptRecord &record, AttemptId attempt,
                                   const AttemptResult &result)
{
    BackendLoad &load = record.backend->load;
    const auto *answer = std::get_if<BackendAnswer>(&result);
    if (!answer) {
        const bool isExpired = std::get<AttemptFailure>(result) == AttemptFailure::Expired;
        return isExpired ? load.addAbandoned(attempt, m_now) : load.addFailure(attempt, m_now);
    }
    m_reachability.addResponse(record.backend->registration.failureDomain);
    if (answer->notExecuted)
        load.addRefusal(attempt, m_now);
    else if (answer->status >= 500)
        load.addFailure(attempt, m_now);
    else
        load.addAnswer(attempt, m_now);
}

void RequestDispatcher::endAttempt(const AttemptEnded &event)
{
    const auto found = m_attempts.find(event.attempt);
    if (found == m_attempts.end())
        return;
    const AttemptRecord record = found->second;
    m_attempts.erase(found);
    recordLoad(record, event.attempt, event.result);
    Exchange *exchange = find(record.exchange);
    if (exchange) {
        Part &part = exchange->parts[record.part];
        const bool isWanted = std::erase(part.openAttempts, event.attempt) > 0;
        if (isWanted && !part.isSettled) {
            if (const auto *answer = std::get_if<BackendAnswer>(&event.result))
                onAnswer(*exchange, record.part, record, *answer);
            else
                onFailure(*exchange, record.part, record, std::get<AttemptFailure>(event.result));
            replyIfDone(*exchange);
        }
    }
    retryWaiting();
}

void RequestDispatcher::onAnswer(Exchange &exchange, std::size_t index, const AttemptRecord &record,
                                 BackendAnswer answer)
{
    Part &part = exchange.parts[index];
    const bool isSuccess = answer.status >= 200 && answer.status < 300;
    if (answer.notExecuted) {
        m_counters.add("attempts_refused_total");
        return retryOrSettle(exchange, index);
    }
    if (answer.signature.empty() && (isSuccess || answer.status >= 500))
        return onFailure(exchange, index, record, AttemptFailure::Corrupt);
    const bool isUsable = exchange.route->gather ? isSuccess : answer.status < 500;
    if (isUsable) {
        partTimesOf(*exchange.route).add(m_now - record.startedAt);
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
    m_quarantine.addSuccess(exchange.signature);
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
        --part.sent;
        ++part.unsent;
        return retryOrSettle(exchange, index);
    }
    part.mayHaveRun = true;
    if (failure == AttemptFailure::Lost) {
        m_quarantine.addLoss(exchange.signature, exchange.request->requestId, server, m_now);
        if (m_lossReportBudget.takeRepeat(m_now))
            m_effects->push_back(ReportServerLoss { { exchange.signature, server } });
    }
    if (exchange.route->repeatable)
        retryOrSettle(exchange, index);
    else
        settle(exchange, index);
}

} // namespace greengagestair
