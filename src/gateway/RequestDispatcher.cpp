#include "gateway/RequestDispatcher.h"

#include "core/Assert.h"
#include "core/quarantine/Signature.h"
#include "gateway/CallerAuthentication.h"

#include <algorithm>

namespace greengagestair {

/** Time that the answer needs to reach the caller before its deadline. */
static constexpr Duration kReplyMargin = std::chrono::milliseconds(8);
/** Latency targets that have to be left in a stop for a request that must not be repeated. */
static constexpr int kStopTimeFactor = 2;
/** Backend servers may continue a request for this time after its caller has disconnected. */
static constexpr Duration kDisconnectLinger = std::chrono::milliseconds(250);
/**
 * Share of the parts that are answered before a hedge is due. Backend servers pause for about 4 %
 * of the time and one part in a hundred takes five times as long; hedges may take 13 % of the
 * parts.
 */
static constexpr double kHedgeQuantile = 0.92;
/**
 * A hedge that is due this much earlier than its timer is handled waits until the responses that
 * have arrived are read: the part's may be among them.
 */
static constexpr Duration kMaxHedgeLateness = std::chrono::milliseconds(1);
/** Parts that are sent for the first time in one step. */
static constexpr std::size_t kPartsPerStep = 8;
/** Without samples, the expected time of a part is the latency target divided by this. */
static constexpr int kInitialPartTimeDivisor = 10;

/**
 * Limits on reports of lost servers to other hosts. Each report goes to all hosts, so the joint
 * rate is what a single host receives; the loss of a failure domain causes many reports.
 */
static constexpr std::size_t kMaxLossReports = 50;
static constexpr std::size_t kMaxJointLossReports = 600;
static constexpr std::size_t kMinLossReports = 3;
static constexpr Duration kLossReportWindow = std::chrono::seconds(5);
/** Lost servers that are reported for one request; several requests are needed to block one. */
static constexpr std::size_t kReportedServers = 3;

RequestDispatcher::RequestDispatcher(BackendSelector &selector, DomainReachability &reachability,
                                     JointServerLimits &limits, TenantQuotas &quotas,
                                     RestartDetector &restarts, SharedObservations &observations,
                                     Rollouts &rollouts, const RepeatLimits &repeats)
    : m_selector(selector)
    , m_reachability(reachability)
    , m_limits(limits)
    , m_quotas(quotas)
    , m_restarts(restarts)
    , m_observations(observations)
    , m_rollouts(rollouts)
    , m_repeatLimits(repeats)
    , m_lossReportLimit(kMaxLossReports, kLossReportWindow)
{
}

void RequestDispatcher::setRepeatLimits(const RepeatLimits &limits)
{
    m_repeatLimits = limits;
    for (auto &[service, budget] : m_budgets)
        budget.setLimits(limits);
}

void RequestDispatcher::setHostCount(std::size_t hosts)
{
    m_lossReportLimit.setMaxEvents(
            std::clamp(kMaxJointLossReports / hosts, kMinLossReports, kMaxLossReports));
}

void RequestDispatcher::reportLoss(const RequestLosses &losses, const ServerId &server)
{
    // A request that crashes servers gets no answer from any of them. Servers that lose only some
    // of their answers would cause reports for a large part of the requests.
    if (!losses.wasAnswered && m_lossReportLimit.take(m_now))
        m_effects->push_back(ReportServerLoss { { losses.signature, server } });
}

void RequestDispatcher::endRequest(RequestLosses &losses)
{
    losses.hasRequestEnded = true;
    for (std::size_t i = 0; i < std::min(losses.servers.size(), kReportedServers); ++i)
        reportLoss(losses, losses.servers[i]);
}

void RequestDispatcher::addLoss(RequestLosses &losses, const ServerId &server)
{
    if (losses.wasAnswered)
        return;
    m_quarantine.addLoss(losses.signature, losses.requestId, server, m_now);
    losses.servers.push_back(server);
    if (losses.hasRequestEnded && losses.servers.size() <= kReportedServers)
        reportLoss(losses, server);
}

void RequestDispatcher::addSuccess(RequestLosses &losses)
{
    m_quarantine.addSuccess(losses.signature, m_now);
    losses.wasAnswered = true;
}

void RequestDispatcher::addReportedLoss(const HostId &reporter, const SignatureLoss &loss)
{
    m_quarantine.addReportedLoss(reporter, loss, m_now);
}

void RequestDispatcher::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    if (!m_startedAt)
        m_startedAt = now;
    m_effects = &effects;
}

Exchange *RequestDispatcher::find(ExchangeId exchange)
{
    const auto found = m_exchanges.find(exchange);
    return found == m_exchanges.end() ? nullptr : found->second.get();
}

RepeatBudget &RequestDispatcher::budgetOf(const ServiceId &service)
{
    return m_budgets.try_emplace(service, m_repeatLimits, *m_startedAt).first->second;
}

PartTimeEstimator &RequestDispatcher::partTimesOf(const GatewayRoute &route)
{
    return m_partTimes.try_emplace(route.name, kHedgeQuantile).first->second;
}

Duration RequestDispatcher::typicalTime(const GatewayRoute &route) const
{
    const Duration initial = route.latencyTarget / kInitialPartTimeDivisor;
    const auto found = m_partTimes.find(route.name);
    if (found == m_partTimes.end())
        return PartTimeEstimator(kHedgeQuantile).typicalPartTime(initial);
    return found->second.typicalPartTime(initial);
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
    if (hasUnsentParts())
        return m_now;
    std::optional<MonotonicTime> next;
    if (!m_timers.empty())
        next = m_timers.begin()->first;
    if (!m_waitingParts.isEmpty() && (!next || m_nextServeAt < *next))
        next = m_nextServeAt;
    return next;
}

void RequestDispatcher::advance()
{
    sendUnsentParts();
    // Timers that are added meanwhile are due in the next step.
    std::vector<std::pair<MonotonicTime, Timer>> due;
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        due.push_back(*m_timers.begin());
        m_timers.erase(m_timers.begin());
    }
    for (const auto &[dueAt, timer] : due) {
        if (!postpone(timer, dueAt))
            onTimer(timer);
    }
    if (!m_waitingParts.isEmpty() && m_nextServeAt <= m_now)
        retryWaiting();
}

bool RequestDispatcher::postpone(const Timer &timer, MonotonicTime dueAt)
{
    if (timer.kind != TimerKind::Hedge || timer.isPostponed || m_now - dueAt < kMaxHedgeLateness)
        return false;
    Timer postponed = timer;
    postponed.isPostponed = true;
    addTimer(m_now, postponed);
    return true;
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
    case TimerKind::FirstSendDue:
        onFirstSendDue(*exchange, timer.part);
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
    const Authentication authentication = authenticate(*configuration, *route, request);
    if (!authentication.isAllowed)
        return refuse(event.exchange, request, RefusalReason::Unauthorized);
    if (endsBeforeAnswer(*route, m_now))
        return refuse(event.exchange, request, RefusalReason::Stopping);
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
    exchange.tenant = authentication.tenant;
    exchange.losses = std::make_shared<RequestLosses>();
    exchange.losses->signature = signature;
    exchange.losses->requestId = request.requestId;
    exchange.arrivedAt = m_now - event.readDelay;
    const Duration callerTimeLeft = request.deadline.value_or(route->timeout) - kReplyMargin;
    exchange.deadlineAt = exchange.arrivedAt + std::min(callerTimeLeft, route->timeout);
    if (m_stopAt)
        exchange.deadlineAt = std::min(exchange.deadlineAt, *m_stopAt);
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
    if (!refuseIfUnservable(exchange) && admit(exchange))
        sendParts(exchange);
}

bool RequestDispatcher::admit(Exchange &exchange)
{
    if (!exchange.tenant)
        return true;
    const QuotaAdmission admission = m_quotas.admit(exchange.tenant->name, exchange.id);
    if (admission.verdict == QuotaVerdict::Refused)
        refuseOverQuota(exchange, admission.retryAfter);
    return admission.verdict == QuotaVerdict::Admitted;
}

void RequestDispatcher::refuseOverQuota(Exchange &exchange, Duration retryAfter)
{
    finish(exchange, RefusedReply { RefusalReason::OverQuota, retryAfter });
}

void RequestDispatcher::applyQuotaDecisions()
{
    for (const QuotaDecision &decision : m_quotas.takeDecisions()) {
        Exchange *exchange = find(decision.exchange);
        if (!exchange)
            continue;
        if (decision.admission.verdict == QuotaVerdict::Admitted)
            sendParts(*exchange);
        else
            refuseOverQuota(*exchange, decision.admission.retryAfter);
    }
}

void RequestDispatcher::sendParts(Exchange &exchange)
{
    const int tenantRank = exchange.tenant ? exchange.tenant->urgencyRank : 0;
    m_unsentParts.insert(
            { tenantRank, exchange.route->urgencyRank, exchange.arrivedAt, exchange.id, 0 });
    sendUnsentParts();
}

void RequestDispatcher::sendUnsentParts()
{
    std::size_t sent = 0;
    while (!m_unsentParts.empty() && sent < kPartsPerStep) {
        UnsentParts unsent = *m_unsentParts.begin();
        m_unsentParts.erase(m_unsentParts.begin());
        Exchange *exchange = find(unsent.exchange);
        if (!exchange)
            continue;
        std::size_t index = unsent.firstPart;
        for (; index < exchange->parts.size() && sent < kPartsPerStep; ++index) {
            if (exchange->parts[index].isSettled)
                continue;
            sendOrQueue(*exchange, index);
            ++sent;
        }
        unsent.firstPart = index;
        if (index < exchange->parts.size())
            m_unsentParts.insert(unsent);
        else
            replyIfDone(*exchange);
    }
}

void RequestDispatcher::stopAt(MonotonicTime time)
{
    m_stopAt = time;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->deadlineAt <= time)
            continue;
        exchange->deadlineAt = time;
        addTimer(time, { TimerKind::Deadline, id, 0 });
    }
}

bool RequestDispatcher::endsBeforeAnswer(const GatewayRoute &route, MonotonicTime now) const
{
    if (!m_stopAt)
        return false;
    // A request that may have run cannot be sent again by its caller.
    const Duration needed =
            route.repeatable ? route.latencyTarget : kStopTimeFactor * route.latencyTarget;
    return *m_stopAt - now < std::min(needed, route.timeout);
}

bool RequestDispatcher::refuseIfUnservable(Exchange &exchange)
{
    for (std::size_t index = 0; index < exchange.parts.size(); ++index) {
        const Part &part = exchange.parts[index];
        if (!part.isSettled
            && !m_selector.hasCandidate(*part.service, filterFor(exchange, part), m_now))
            settle(exchange, index);
    }
    const ExchangeId id = exchange.id;
    replyIfDone(exchange);
    return !find(id);
}

bool RequestDispatcher::addPart(Exchange &exchange, const ServiceId &service)
{
    Part &part = exchange.parts.emplace_back();
    const auto found = exchange.configuration->services.find(service);
    if (found == exchange.configuration->services.end()) {
        settlePart(exchange, exchange.parts.size() - 1);
        return false;
    }
    part.service = &found->second;
    part.isForTargetVersion = m_rollouts.takeTurn(service);
    budgetOf(service).addRequest(m_now);
    return true;
}

/**
 * Smooth weighted round robin, so that the weights hold over any run of consecutive requests. Adds
 * the weights to the credits and returns the index of the target with the highest.
 */
static std::size_t advanceSplit(const GatewayRoute &route, std::vector<double> &credits)
{
    credits.resize(route.targets.size(), 0);
    double total = 0;
    for (std::size_t i = 0; i < credits.size(); ++i) {
        credits[i] += route.targets[i].weight;
        total += route.targets[i].weight;
    }
    const auto best = std::max_element(credits.begin(), credits.end());
    *best -= total;
    return static_cast<std::size_t>(best - credits.begin());
}

const ServiceId &RequestDispatcher::chooseTarget(const GatewayRoute &route)
{
    GREENGAGESTAIR_ASSERT(!route.targets.empty());
    if (route.targets.size() == 1)
        return route.targets.front().service;
    return route.targets[advanceSplit(route, m_splitCredits[route.name])].service;
}

const ServiceId &RequestDispatcher::nextTarget(const GatewayRoute &route) const
{
    GREENGAGESTAIR_ASSERT(!route.targets.empty());
    const auto found = m_splitCredits.find(route.name);
    std::vector<double> credits;
    if (found != m_splitCredits.end())
        credits = found->second;
    return route.targets[advanceSplit(route, credits)].service;
}

void RequestDispatcher::onCallerDisconnected(ExchangeId id)
{
    Exchange *exchange = find(id);
    if (!exchange)
        return;
    m_counters.add("callers_left_total");
    m_quotas.forget(id);
    endRequest(*exchange->losses);
    for (Part &part : exchange->parts) {
        stopWaiting(part);
        releaseAttempts(part, kDisconnectLinger);
    }
    m_exchanges.erase(id);
}

} // namespace greengagestair
