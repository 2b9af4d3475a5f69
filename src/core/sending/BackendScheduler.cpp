#include "core/sending/BackendScheduler.h"

#include "core/Assert.h"

#include <boost/json.hpp>

#include <algorithm>

namespace greengagestair {

/** Interval between checks of the servers with queued parts or held slots. */
static constexpr Duration kCheckInterval = std::chrono::milliseconds(10);

static bool isTrial(const PartRequest &request)
{
    return request.canary || request.isolated;
}

static ServerLimits declaredLimits(const Service &service)
{
    return { service.slots, service.coldLimit, service.warmPartTime };
}

Duration BackendScheduler::Server::oldestInFlight(MonotonicTime now) const
{
    return inFlight.empty() ? Duration::zero() : now - inFlight.begin()->first;
}

BackendScheduler::BackendScheduler(const ReducerOptions &options, DocumentView &documents,
                                   OwnershipView &ownership, PartRouter &router,
                                   SignatureAdmission &signatureAdmission,
                                   IdentifierSource &identifiers)
    : m_options(options)
    , m_documents(documents)
    , m_ownership(ownership)
    , m_router(router)
    , m_signatureAdmission(signatureAdmission)
    , m_identifiers(identifiers)
{
}

void BackendScheduler::submit(StepContext &context, const HostId &entryHost, PartRequest request)
{
    const MonotonicTime now = context.now();
    QueuedPart part { entryHost, std::move(request), now, now };
    part.queryStart = now - part.request.age;
    part.deadline = now + part.request.deadline;
    submitPart(context, std::move(part));
}

void BackendScheduler::submitPart(StepContext &context, QueuedPart part)
{
    const ServerId name = part.request.server;
    if (m_stopping) {
        refuse(context, part, PartReason::NotOwner);
        return;
    }
    Server *server = findOrCreateServer(context, name);
    if (!server) {
        refuse(context, part, PartReason::OutOfService);
        return;
    }
    updateOwnershipStart(context, name, *server);
    const PartReason reason = refusalReason(context.now(), name, *server);
    if (reason != PartReason::None) {
        refuse(context, part, reason);
        return;
    }
    if (!m_signatureAdmission.mayRun(part.request.signature, part.request.isolated)) {
        refuse(context, part, PartReason::Quarantined);
        return;
    }
    if (isTrial(part.request) && !m_trials.begin(part))
        return;
    enqueue(context, *server, std::move(part));
    startParts(context, name, *server);
}

BackendScheduler::Server *BackendScheduler::findOrCreateServer(StepContext &context,
                                                               const ServerId &name)
{
    const auto resolved = m_documents.findServer(name);
    if (!resolved)
        return nullptr;
    const ServerLimits limits = declaredLimits(*resolved->service);
    auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        const ServerLimiter limiter(limits, context.now(), m_options.mechanisms.coldRamp);
        found = m_servers.emplace(name, Server(limiter)).first;
    }
    found->second.limiter.setLimits(limits);
    return &found->second;
}

/** Resets the limiter when a new ownership of the server has begun: another host may have sent to
 * it in the meantime, so earlier answers no longer show its state. */
void BackendScheduler::updateOwnershipStart(StepContext &context, const ServerId &name,
                                            Server &server)
{
    const auto ownershipStart = m_ownership.ownershipStart(name, context.now());
    if (!ownershipStart || server.ownedSince == ownershipStart->since)
        return;
    server.ownedSince = ownershipStart->since;
    server.limiter.resetToCold(context.now());
}

/** Whether requests of the former owner may still be running. They may run until the maximum part
 * time has passed since the takeover, unless the former owner released the server. */
bool BackendScheduler::waitsForFormerOwner(const ServerId &name, MonotonicTime now) const
{
    const auto ownershipStart = m_ownership.ownershipStart(name, now);
    if (!ownershipStart || ownershipStart->released || !m_options.mechanisms.ownershipGrants)
        return false;
    const auto resolved = m_documents.findServer(name);
    return resolved && now < ownershipStart->since + resolved->service->maxPartTime;
}

PartReason BackendScheduler::refusalReason(MonotonicTime now, const ServerId &name,
                                           const Server &server) const
{
    if (!m_ownership.maySendTo(name, now) || waitsForFormerOwner(name, now))
        return PartReason::NotOwner;
    if (!m_documents.acceptsNewWork(name))
        return PartReason::OutOfService;
    if (m_options.mechanisms.drainState && now < server.drainingUntil)
        return PartReason::Draining;
    if (now < server.unreachableUntil)
        return PartReason::Unreachable;
    return PartReason::None;
}

void BackendScheduler::enqueue(StepContext &context, Server &server, QueuedPart part)
{
    const std::size_t partsAhead = server.queue.countAhead(part.request.priority, part.queryStart);
    const Duration wait = expectedWait(server, context.now(), partsAhead);
    const Duration partTime = server.limiter.recentPartTime();
    if (context.now() + wait + partTime > part.deadline) {
        context.counters.add("parts_refused_overloaded_total");
        refuse(context, part, PartReason::Overloaded);
        return;
    }
    server.queue.push(std::move(part));
}

Duration BackendScheduler::expectedWait(const Server &server, MonotonicTime now,
                                        std::size_t partsAhead) const
{
    const int limit = std::max(1, server.limiter.limit(now, server.oldestInFlight(now)));
    const auto slots = static_cast<std::size_t>(limit);
    const std::size_t partsBefore = partsAhead + server.busySlots();
    if (partsBefore < slots)
        return Duration::zero();
    const auto partsToFinish = static_cast<Duration::rep>(partsBefore - slots + 1);
    return server.limiter.recentPartTime() * partsToFinish / limit;
}

bool BackendScheduler::mayStartNext(const Server &server, MonotonicTime now) const
{
    if (server.queue.empty() || server.isolated)
        return false;
    if (server.queue.front().request.isolated)
        return server.busySlots() == 0;
    const int limit = server.limiter.limit(now, server.oldestInFlight(now));
    return server.busySlots() < static_cast<std::size_t>(limit);
}

void BackendScheduler::startParts(StepContext &context, const ServerId &name, Server &server)
{
    for (const QueuedPart &part : server.queue.removeExpired(context.now()))
        refuse(context, part, PartReason::Expired);
    std::erase_if(server.heldSlots, [&](MonotonicTime until) { return until <= context.now(); });
    while (mayStartNext(server, context.now())) {
        QueuedPart part = server.queue.pop();
        // A server loss may have made the signature suspect while the part was queued.
        if (m_signatureAdmission.mayRun(part.request.signature, part.request.isolated))
            start(context, name, server, std::move(part));
        else
            refuse(context, part, PartReason::Quarantined);
    }
}

void BackendScheduler::start(StepContext &context, const ServerId &name, Server &server,
                             QueuedPart part)
{
    const auto resolved = m_documents.findServer(name);
    GREENGAGESTAIR_ASSERT(resolved.has_value());
    GREENGAGESTAIR_ASSERT(m_ownership.maySendTo(name, context.now()));
    const SendId send = m_identifiers.nextSend();
    SendToBackend effect;
    effect.send = send;
    effect.server = name;
    effect.endpoint = resolved->server->endpoint;
    effect.service = part.request.service;
    effect.group = part.request.group;
    effect.version = part.request.version;
    effect.deadline = std::min(part.deadline - context.now(), resolved->service->maxPartTime);
    effect.notAfter = std::min(part.deadline, m_ownership.grantsUntil(context.now()));
    effect.body = std::move(part.request.body);
    context.emit(std::move(effect));
    context.counters.add("backend_requests_total");

    server.inFlight.emplace(context.now(), send);
    if (part.request.isolated)
        server.isolated = send;
    m_sendsByPart.emplace(std::pair { part.entryHost, part.request.part }, send);
    m_sends.emplace(send, Send { name, part.entryHost, std::move(part.request), context.now() });
    GREENGAGESTAIR_ASSERT(server.busySlots() <= static_cast<std::size_t>(resolved->service->slots));
}

void BackendScheduler::cancel(StepContext &context, const HostId &entryHost, PartId part)
{
    const auto sent = m_sendsByPart.find({ entryHost, part });
    if (sent != m_sendsByPart.end()) {
        Send &send = m_sends.at(sent->second);
        const auto resolved = m_documents.findServer(send.server);
        if (resolved && !send.cancelled)
            context.emit(CancelBackend { sent->second, send.server, resolved->server->endpoint });
        send.cancelled = true;
        return;
    }
    for (auto &[name, server] : m_servers) {
        if (const auto queued = server.queue.remove(entryHost, part)) {
            refuse(context, *queued, PartReason::Cancelled);
            return;
        }
    }
    if (const auto waiting = m_trials.removeWaiting(entryHost, part))
        refuse(context, *waiting, PartReason::Cancelled);
}

void BackendScheduler::refuse(StepContext &context, const QueuedPart &part, PartReason reason)
{
    PartAnswer answer;
    answer.part = part.request.part;
    answer.outcome = PartOutcome::NotSent;
    answer.reason = reason;
    m_router.answerPart(context, part.entryHost, std::move(answer));
    endTrial(context, part.request, part.entryHost, false);
}

void BackendScheduler::endTrial(StepContext &context, const PartRequest &request,
                                const HostId &entryHost, bool answered)
{
    const Signature signature = request.signature;
    if (!isTrial(request) || !m_trials.isCurrentTrial(signature, entryHost, request.part))
        return;
    if (answered)
        m_signatureAdmission.signatureAnswered(context, signature);
    for (QueuedPart &waiting : m_trials.end(signature)) {
        if (answered) {
            waiting.request.canary = false;
            waiting.request.isolated = false;
        }
        submitPart(context, std::move(waiting));
    }
}

BackendScheduler::Send BackendScheduler::removeSend(SendId id, Server &server)
{
    const auto found = m_sends.find(id);
    Send send = std::move(found->second);
    m_sends.erase(found);
    m_sendsByPart.erase({ send.entryHost, send.request.part });
    server.inFlight.erase({ send.startedAt, id });
    if (server.isolated == id)
        server.isolated.reset();
    return send;
}

void BackendScheduler::onBackendFinished(StepContext &context, const BackendFinished &finished)
{
    const auto found = m_sends.find(finished.send);
    if (found == m_sends.end()) {
        context.counters.add("backend_answers_unexpected_total");
        return;
    }
    const ServerId name = found->second.server;
    Server &server = m_servers.at(name);
    if (finished.status == BackendStatus::ConnectionLost)
        reportServerLoss(context, name, server, found->second);
    const Send send = removeSend(finished.send, server);
    updateServerState(context, name, server, send, finished.status);

    PartAnswer answer = makeAnswer(send, finished);
    answer.expectedWait = expectedWait(server, context.now(), server.queue.size());
    const bool answered = answer.outcome == PartOutcome::Answered;
    m_router.answerPart(context, send.entryHost, std::move(answer));
    endTrial(context, send.request, send.entryHost, answered);
    checkServer(context, name, server);
}

PartAnswer BackendScheduler::makeAnswer(const Send &send, const BackendFinished &finished) const
{
    PartAnswer answer;
    answer.part = send.request.part;
    answer.version = finished.version;
    answer.heldVersions = finished.heldVersions;
    // After an error status, a non-repeatable request may still have run.
    const bool repeatable = send.request.repeatable;
    const PartOutcome refusedOutcome = repeatable ? PartOutcome::Refused : PartOutcome::MayHaveRun;
    switch (finished.status) {
    case BackendStatus::Answered:
        if (finished.echoed != finished.send && m_options.mechanisms.answerMatching) {
            answer.outcome = PartOutcome::MayHaveRun;
            answer.reason = PartReason::Mismatch;
            break;
        }
        answer.outcome = PartOutcome::Answered;
        answer.body = finished.body;
        break;
    case BackendStatus::VersionNotHeld:
        answer.outcome = repeatable ? PartOutcome::VersionNotHeld : PartOutcome::MayHaveRun;
        answer.reason = PartReason::VersionNotHeld;
        break;
    case BackendStatus::Shed:
        answer.outcome = refusedOutcome;
        answer.reason = PartReason::Shed;
        break;
    case BackendStatus::Draining:
        answer.outcome = refusedOutcome;
        answer.reason = PartReason::Draining;
        break;
    case BackendStatus::Cold:
        answer.outcome = refusedOutcome;
        answer.reason = PartReason::Cold;
        break;
    case BackendStatus::NotConnected:
        answer.outcome = PartOutcome::NotSent;
        answer.reason = PartReason::Unreachable;
        break;
    case BackendStatus::ConnectionLost:
        answer.outcome = PartOutcome::ServerLost;
        answer.reason = PartReason::ConnectionLost;
        break;
    case BackendStatus::DeadlinePassed:
    case BackendStatus::TimedOut:
        answer.outcome = PartOutcome::MayHaveRun;
        answer.reason = PartReason::TimedOut;
        break;
    case BackendStatus::Unexpected:
        answer.outcome = PartOutcome::MayHaveRun;
        answer.reason = PartReason::Mismatch;
        break;
    }
    if (send.cancelled && answer.outcome != PartOutcome::Answered)
        answer.reason = PartReason::Cancelled;
    return answer;
}

void BackendScheduler::updateServerState(StepContext &context, const ServerId &name, Server &server,
                                         const Send &send, BackendStatus status)
{
    const MonotonicTime now = context.now();
    const Duration partTime = now - send.startedAt;
    const bool slow = partTime > server.limiter.slowPartTimeThreshold();
    switch (status) {
    case BackendStatus::Answered:
        server.limiter.onAnswer(partTime, now);
        break;
    case BackendStatus::Shed:
        server.limiter.onShed(now);
        break;
    case BackendStatus::Draining:
        if (now >= server.drainingUntil)
            context.emit(LogStateChange { StateChangeKind::ServerDraining, name.value });
        server.drainingUntil = now + kDrainingBackoff;
        break;
    case BackendStatus::Cold:
    case BackendStatus::ConnectionLost:
        markCold(context, name, server);
        break;
    case BackendStatus::NotConnected:
        server.unreachableUntil = now + kUnreachableBackoff;
        markCold(context, name, server);
        break;
    case BackendStatus::TimedOut:
        server.heldSlots.push_back(now + kSlotReleaseDelay);
        server.limiter.onAnswer(partTime, now);
        break;
    case BackendStatus::DeadlinePassed:
    case BackendStatus::Unexpected:
    case BackendStatus::VersionNotHeld:
        // A cancelled request may end early, so its time is used only if it was already slow.
        if (slow)
            server.limiter.onAnswer(partTime, now);
        break;
    }
    logWarmChange(context, name, server);
}

void BackendScheduler::markCold(StepContext &context, const ServerId &name, Server &server)
{
    server.limiter.resetToCold(context.now());
    context.counters.add("servers_cold_total");
    logWarmChange(context, name, server);
}

void BackendScheduler::logWarmChange(StepContext &context, const ServerId &name, Server &server)
{
    const bool warm = server.limiter.isWarm();
    if (warm == server.loggedWarm)
        return;
    server.loggedWarm = warm;
    const StateChangeKind kind = warm ? StateChangeKind::ServerWarm : StateChangeKind::ServerCold;
    context.emit(LogStateChange { kind, name.value });
}

/**
 * Reports the loss of a server once, at the first lost connection, with the signatures of the
 * canary and isolated parts that were in flight. Other signatures are not reported, because they
 * were already answered from this snapshot and so do not crash servers. Reporting them as well
 * quarantined most of the harmless requests when ten replicas were killed at once.
 */
void BackendScheduler::reportServerLoss(StepContext &context, const ServerId &name, Server &server,
                                        Send &send)
{
    if (send.lossReported)
        return;
    std::vector<Signature> trialSignatures;
    for (const auto &[startedAt, id] : server.inFlight) {
        Send &other = m_sends.at(id);
        other.lossReported = true;
        if (isTrial(other.request))
            trialSignatures.push_back(other.request.signature);
    }
    context.counters.add("servers_lost_total");
    context.emit(
            LogStateChange { StateChangeKind::ServerLost, name.value, server.inFlight.size() });
    if (!trialSignatures.empty())
        m_signatureAdmission.serverLost(context, name, trialSignatures);
}

/** Starts queued parts, or refuses all of them if this host can no longer send to the server. */
void BackendScheduler::checkServer(StepContext &context, const ServerId &name, Server &server)
{
    const PartReason reason = refusalReason(context.now(), name, server);
    if (reason == PartReason::None) {
        startParts(context, name, server);
        return;
    }
    for (const QueuedPart &part : server.queue.removeAll())
        refuse(context, part, reason);
    std::erase_if(server.heldSlots, [&](MonotonicTime until) { return until <= context.now(); });
}

/** Resets the limiter of each server that returned to service, because it may have been restarted
 * in the meantime. */
void BackendScheduler::resetReturnedServers(StepContext &context)
{
    const Revision configuration = m_documents.configurationVersion();
    const Revision hostList = m_documents.hostListVersion();
    if (configuration == m_checkedConfiguration && hostList == m_checkedHostList)
        return;
    m_checkedConfiguration = configuration;
    m_checkedHostList = hostList;
    for (auto &[name, server] : m_servers) {
        const bool inService = m_documents.acceptsNewWork(name);
        if (inService && !server.inService)
            server.limiter.resetToCold(context.now());
        server.inService = inService;
    }
}

void BackendScheduler::onTick(StepContext &context)
{
    resetReturnedServers(context);
    if (context.now() < m_nextCheck)
        return;
    m_nextCheck = context.now() + kCheckInterval;
    for (const QueuedPart &part : m_trials.removeExpired(context.now()))
        refuse(context, part, PartReason::Expired);
    for (auto &[name, server] : m_servers) {
        if (!server.queue.empty() || !server.heldSlots.empty())
            checkServer(context, name, server);
    }
}

MonotonicTime BackendScheduler::nextWakeUp() const
{
    const bool busy = std::any_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
        return !entry.second.queue.empty() || !entry.second.heldSlots.empty();
    });
    return busy || !m_trials.empty() ? m_nextCheck : kNever;
}

bool BackendScheduler::idle() const
{
    const bool queued = std::any_of(m_servers.begin(), m_servers.end(),
                                    [](const auto &entry) { return !entry.second.queue.empty(); });
    return !queued && m_sends.empty() && m_trials.empty();
}

boost::json::object BackendScheduler::dump(MonotonicTime now) const
{
    boost::json::object servers;
    for (const auto &[name, server] : m_servers) {
        boost::json::object entry;
        entry["limit"] = server.limiter.limit(now, server.oldestInFlight(now));
        entry["queued"] = server.queue.size();
        entry["inFlight"] = server.inFlight.size();
        entry["recentPartTimeUs"] = server.limiter.recentPartTime().count();
        entry["warm"] = server.limiter.isWarm();
        entry["isolated"] = server.isolated.has_value();
        entry["draining"] = now < server.drainingUntil;
        entry["unreachable"] = now < server.unreachableUntil;
        entry["mayAct"] = m_ownership.maySendTo(name, now);
        entry["waitsForFormerOwner"] = waitsForFormerOwner(name, now);
        servers[name.value] = std::move(entry);
    }
    return { { "servers", std::move(servers) }, { "trialsWaiting", m_trials.waitingCount() } };
}

} // namespace greengagestair
