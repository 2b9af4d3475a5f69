#include "app/GatewayServer.h"

#include "app/EventLoop.h"

#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <random>

namespace greengagestair {

/** Requests in progress are answered at the latest this long before the process is killed. */
static constexpr Duration kStopMargin = std::chrono::milliseconds(700);
/** The last replies are given this long before the process ends, so that they reach the callers. */
static constexpr Duration kLastReplyMargin = std::chrono::milliseconds(150);
/** The platform needs two missed readiness checks, one a second, to send callers elsewhere. */
static constexpr Duration kLeastStopTime = std::chrono::milliseconds(3200);
static constexpr Duration kStopCheckInterval = std::chrono::milliseconds(100);
/** Time for which lines of the log are collected. */
static constexpr Duration kLogInterval = std::chrono::milliseconds(100);

static MonotonicTime now()
{
    return EventLoop::currentInstant().now;
}

static GatewayOptions withRandomSeed(GatewayOptions options)
{
    options.randomSeed = std::random_device {}();
    return options;
}

static HostEntry hostEntryOf(const GatewaySettings &settings)
{
    return { settings.host, settings.options.selector.failureDomain, settings.peerEndpoint,
             settings.linkMbps };
}

GatewayServer::GatewayServer(boost::asio::io_context &context, GatewaySettings settings,
                             std::string settingsFile, const HeaderNames &names,
                             RegistryStore &store, int logDescriptor)
    : m_context(context)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_log(logDescriptor, m_settings.host.value)
    , m_gateway(withRandomSeed(m_settings.options))
    , m_frontEnd(
              names, [this](GatewayEvent event) { enqueue(std::move(event)); },
              [this] { return lateness(); })
    , m_callers(context, m_frontEnd, &m_callerAccount)
    , m_readinessPages([this](std::string_view) { return readinessPage(); },
                       [this](ExchangeId exchange, const HttpServerResponse &response) {
                           m_readiness.reply(exchange, response);
                       })
    , m_readiness(context, m_readinessPages)
    , m_adminPages([this](std::string_view path) { return adminPage(path); },
                   [this](ExchangeId exchange, const HttpServerResponse &response) {
                       m_admin.reply(exchange, response);
                   })
    , m_admin(context, m_adminPages)
    , m_responses([this](const MalformedResponse &response) {
        log({ LogPriority::State,
              "malformedResponse",
              { { "source", toText(response.source) },
                { "sender", response.sender },
                { "requestId", response.requestId },
                { "reason", toText(response.defect) } } });
    })
    , m_backends(
              context, names,
              [this](AttemptId attempt, AttemptResult result) {
                  enqueue(AttemptEnded { attempt, std::move(result) });
              },
              [this](const ServerId &server, bool isConnected) {
                  enqueue(ConnectionAttemptEnded { server, isConnected });
              },
              [this](const ServerId &server) { enqueue(LastConnectionLost { server }); },
              m_responses)
    , m_seeds(
              m_settings.seeds,
              [&context](std::function<void()> function) {
                  boost::asio::post(context, std::move(function));
              },
              [this](const std::optional<StoreChanges> &snapshot) {
                  if (snapshot)
                      m_storeWatcher.applySnapshot(*snapshot, now());
                  armTimer();
              },
              m_responses)
    , m_roleElection(hostEntryOf(m_settings))
    , m_storeWatcher(
              store, [this](GatewayEvent event) { enqueue(std::move(event)); },
              [this](const LogRecord &decision) { log(decision); },
              [this](const StoreChanges &changes) { share(changes); }, [this] { armTimer(); },
              std::random_device {}())
    , m_announcer(
              hostEntryOf(m_settings), store, [this](const LogRecord &decision) { log(decision); },
              [this] { armTimer(); }, std::random_device {}())
    , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    , m_timer(context)
    , m_stopTimer(context)
    , m_countersTimer(context)
    , m_logTimer(context)
{
}

boost::leaf::result<void> GatewayServer::start()
{
    std::signal(SIGPIPE, SIG_IGN);
    updateMemoryLimits();
    m_readiness.setOperatorLimits();
    m_admin.setOperatorLimits();
    BOOST_LEAF_CHECK(m_readiness.listen(m_settings.readinessEndpoint));
    BOOST_LEAF_CHECK(m_admin.listen(m_settings.adminEndpoint));
    BOOST_LEAF_CHECK(m_callers.listen(m_settings.callerEndpoint));
    BOOST_LEAF_CHECK(listenForPeers());
    awaitSignals();
    log({ LogPriority::State,
          "started",
          { { "callerEndpoint", toText(m_settings.callerEndpoint) },
            { "failureDomain", m_settings.options.selector.failureDomain.value },
            { "store", toText(m_settings.store) } } });
    logCountersLater();
    onTimer();
    return {};
}

boost::leaf::result<void> GatewayServer::listenForPeers()
{
    const auto wall = EventLoop::currentInstant().wall.time_since_epoch().count();
    const Incarnation incarnation { static_cast<std::uint64_t>(wall) };
    EventQueue &queue = *this;
    try {
        m_peers = std::make_unique<TcpPeerTransport>(m_context, m_settings.host, incarnation,
                                                     m_settings.peerEndpoint, queue);
    } catch (const boost::system::system_error &error) {
        return boost::leaf::new_error(HttpListenFailed { m_settings.peerEndpoint, error.what() });
    }
    return {};
}

void GatewayServer::enqueue(GatewayEvent event)
{
    m_events.push_back(std::move(event));
    if (!m_isDraining)
        drain();
}

void GatewayServer::drain()
{
    m_isDraining = true;
    while (!m_events.empty() || m_gateway.hasUnsentParts()) {
        GatewayEvent event = TimeAdvanced {};
        LoopWork work = LoopWork::Requests;
        if (!m_events.empty()) {
            event = std::move(m_events.front());
            m_events.pop_front();
            work = loopWorkOf(event);
        }
        const bool isConfiguration = std::holds_alternative<ConfigurationRead>(event);
        std::optional<HostsRead> hosts;
        if (const auto *read = std::get_if<HostsRead>(&event))
            hosts = *read;
        const LoopTimes::Clock::time_point begin = LoopTimes::Clock::now();
        const GatewayEffects effects = m_gateway.handle(std::move(event), now());
        const LoopTimes::Clock::time_point decided = LoopTimes::Clock::now();
        apply(effects);
        m_loopTimes.add(work, decided - begin, LoopTimes::Clock::now() - decided);
        if (isConfiguration)
            updateLimits();
        if (hosts) {
            m_announcer.onHostsRead(*hosts, now());
            m_roleElection.update(hosts->hosts);
            m_storeWatcher.setRole(m_roleElection.role(), now());
        }
    }
    m_isDraining = false;
    armTimer();
}

void GatewayServer::post(Event event)
{
    if (const auto *lost = std::get_if<PeerLost>(&event))
        return enqueue(HostLost { lost->host, lost->isRefused });
    const auto *received = std::get_if<PeerReceived>(&event);
    if (!received)
        return;
    const PeerEnvelope &envelope = received->envelope;
    if (const auto *changes = std::get_if<StoreChanges>(&envelope.message))
        m_storeWatcher.applySharedChanges(*changes, now());
    else if (const auto *loss = std::get_if<SignatureLoss>(&envelope.message))
        enqueue(ServerLossReported { envelope.sender, *loss });
    else if (const auto *unknown = std::get_if<LossesRequest>(&envelope.message))
        enqueue(LossesRequested { envelope.sender, envelope.endpoint, *unknown });
    else if (const auto *recorded = std::get_if<RecordedLosses>(&envelope.message))
        enqueue(LossesReceived { envelope.sender, *recorded });
    else if (const auto *doubt = std::get_if<UnreachableDomain>(&envelope.message))
        enqueue(UnreachableDomainReported { doubt->failureDomain });
    else if (const auto *request = std::get_if<PermitRequest>(&envelope.message))
        answerPermitRequest(envelope.sender, *request);
    else if (const auto *grant = std::get_if<PermitGrant>(&envelope.message))
        enqueue(PermitsGranted { *grant });
    else if (const auto *question = std::get_if<QuotaRequest>(&envelope.message))
        enqueue(QuotaRequested { envelope.sender, envelope.endpoint, *question });
    else if (const auto *quota = std::get_if<QuotaGrant>(&envelope.message))
        enqueue(QuotaGranted { envelope.sender, *quota });
    else if (const auto *observations = std::get_if<ServerObservations>(&envelope.message))
        enqueue(ObservationsReceived { envelope.sender, *observations });
    else if (const auto *report = std::get_if<RolloutReport>(&envelope.message))
        enqueue(RolloutReported { envelope.sender, *report });
    else if (const auto *notice = std::get_if<RolloutNotice>(&envelope.message))
        enqueue(RolloutNoticed { *notice });
}

void GatewayServer::answerPermitRequest(const HostId &sender, const PermitRequest &request)
{
    // Once this host stops, another one issues the permits.
    if (!m_isStopping)
        enqueue(PermitsRequested { sender, request });
}

void GatewayServer::share(const StoreChanges &changes)
{
    std::size_t bytes = 0;
    for (const std::string &entry : changes.entries)
        bytes += entry.size();
    for (const HostEntry &host : m_roleElection.recipientsOf(bytes))
        m_peers->send(host.host, host.peer, changes);
}

void GatewayServer::applyEffect(const ReportServerLoss &effect)
{
    for (const HostEntry &host : m_roleElection.otherHosts())
        m_peers->send(host.host, host.peer, effect.loss);
}

void GatewayServer::applyEffect(const OpenConnection &effect)
{
    m_backends.openIdleConnection(effect);
}

void GatewayServer::applyEffect(const ReportUnreachableDomain &effect)
{
    for (const HostEntry &host : m_roleElection.domainPeers())
        m_peers->send(host.host, host.peer, UnreachableDomain { effect.failureDomain });
}

void GatewayServer::applyEffect(const SendToHost &effect)
{
    m_peers->send(effect.host, effect.endpoint, effect.message);
}

void GatewayServer::applyEffect(const WriteRolloutState &effect)
{
    m_store.writeRollout(
            effect.write,
            [this, service = effect.write.state.service](const StoreResult<Revision> &result) {
                enqueue(RolloutWriteEnded { service, result });
            });
}

void GatewayServer::updateMemoryLimits()
{
    m_callerAccount.setLimits(
            callerMemoryLimitsWithin(m_settings.memoryBytes, m_settings.maxDescriptors));
    // Half of the callers' share: 20 % of the memory, which is the default with 160 MB.
    m_backends.setMaxBufferedBytes(m_callerAccount.limits().bytes / 2);
}

void GatewayServer::updateLimits()
{
    if (const RoutingConfiguration *configuration = m_gateway.configuration())
        m_callers.setLimits(configuration->limits);
}

void GatewayServer::apply(const GatewayEffects &effects)
{
    for (const GatewayEffect &effect : effects)
        std::visit([this](const auto &typed) { applyEffect(typed); }, effect);
}

void GatewayServer::applyEffect(const StartAttempt &effect)
{
    m_backends.start(effect);
}

void GatewayServer::applyEffect(const ReleaseAttempt &effect)
{
    m_backends.release(effect);
}

void GatewayServer::applyEffect(const ReplyToCaller &effect)
{
    m_latencies[effect.outcome].add(effect.elapsed);
    // Callers that keep a connection would stay with a host that cannot serve them.
    m_callers.setCloseAfterResponse(m_isStopping || m_gateway.isCutOff());
    m_callers.reply(effect.exchange, m_frontEnd.render(effect.reply));
}

void GatewayServer::applyEffect(const CloseIdleConnections &effect)
{
    m_backends.closeIdleConnections(effect.server);
}

void GatewayServer::applyEffect(const LogRecord &effect)
{
    log(effect);
}

void GatewayServer::log(const LogRecord &decision)
{
    m_log.write(decision, EventLoop::currentInstant());
    flushLogLater();
}

void GatewayServer::flushLogLater()
{
    if (!m_log.hasKeptLines() || std::exchange(m_isLogTimerArmed, true))
        return;
    m_logTimer.expires_after(kLogInterval);
    m_logTimer.async_wait([this](const boost::system::error_code &error) {
        m_isLogTimerArmed = false;
        if (error)
            return;
        m_log.flush();
        flushLogLater();
    });
}

void GatewayServer::armTimer()
{
    const LoopTimes::Clock::time_point begin = LoopTimes::Clock::now();
    std::optional<MonotonicTime> next = m_gateway.nextWakeUp();
    m_loopTimes.add(LoopWork::NextTimer, LoopTimes::Clock::now() - begin, {});
    const auto consider = [&next](const std::optional<MonotonicTime> &other) {
        if (other && (!next || *other < *next))
            next = other;
    };
    consider(m_storeWatcher.nextWakeUp());
    consider(m_announcer.nextWakeUp());
    if (m_storeWatcher.needsSnapshot())
        consider(m_seeds.nextQuestionAt());
    // An earlier wake-up than needed is harmless and cheaper than a new timer each time.
    if (!next || (m_timerAt && *m_timerAt <= *next))
        return;
    m_timerAt = next;
    m_timer.expires_after(std::max(*next - now(), Duration(0)));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        m_timerAt.reset();
        onTimer();
    });
}

/**
 * How far the event loop is behind. A timer that is overdue shows that this process was held up;
 * requests that are read now may have waited as long.
 */
Duration GatewayServer::lateness() const
{
    const MonotonicTime time = now();
    return m_timerAt && *m_timerAt < time ? time - *m_timerAt : Duration(0);
}

void GatewayServer::onTimer()
{
    const MonotonicTime time = now();
    // A host that stops goes on until its end: it still serves callers, and the other hosts of its
    // failure domain rely on its changes until they have read that it leaves.
    m_storeWatcher.advance(time);
    if (m_storeWatcher.needsSnapshot())
        m_seeds.ask(time);
    m_announcer.advance(time);
    enqueue(TimeAdvanced {});
}

void GatewayServer::awaitSignals()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload();
        else
            stop();
        awaitSignals();
    });
}

void GatewayServer::reload()
{
    boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(settings, readGatewaySettings(m_settingsFile));
                m_settings.stopTimeout = settings.stopTimeout;
                m_settings.options = settings.options;
                m_settings.memoryBytes = settings.memoryBytes;
                m_settings.maxDescriptors = settings.maxDescriptors;
                updateMemoryLimits();
                enqueue(OptionsChanged { settings.options });
                log({ LogPriority::State, "reloaded", { { "file", m_settingsFile } } });
                return {};
            },
            [&](const SettingsProblem &problem) {
                log({ LogPriority::State,
                      "reloadFailed",
                      { { "path", problem.path }, { "expected", problem.expected } } });
            },
            [&] {
                log({ LogPriority::State, "reloadFailed", {} });
            });
}

void GatewayServer::stop()
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopSince = now();
    m_stopAt = m_stopSince + m_settings.stopTimeout - kStopMargin;
    enqueue(GatewayStopRequested { m_stopAt - kLastReplyMargin - m_stopSince });
    m_callers.setCloseAfterResponse(true);
    m_announcer.leave();
    checkStop();
}

void GatewayServer::checkStop()
{
    const MonotonicTime time = now();
    const bool isDone = m_gateway.isIdle() && m_callers.connections() == 0;
    const bool mayEnd = time - m_stopSince >= std::min(kLeastStopTime, m_settings.stopTimeout / 2);
    // Callers that keep a connection have other hosts by now; a request that still comes would be
    // cut off at the end.
    if (mayEnd)
        m_callers.closeListenerAndIdleConnections();
    if ((mayEnd && isDone) || time >= m_stopAt) {
        m_callers.closeListenerAndIdleConnections();
        log({ LogPriority::State,
              "stopped",
              { { "connections", std::to_string(m_callers.connections()) } } });
        m_log.flush();
        m_context.stop();
        return;
    }
    m_stopTimer.expires_after(kStopCheckInterval);
    m_stopTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            checkStop();
    });
}

} // namespace greengagestair
