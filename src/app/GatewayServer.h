#pragma once

#include "app/GatewayFrontEnd.h"
#include "app/GatewaySettings.h"
#include "app/JsonLineLog.h"
#include "app/LatencyHistogram.h"
#include "app/LoopTimes.h"
#include "app/PageHandler.h"
#include "app/ResponseMonitor.h"
#include "app/SeedReader.h"
#include "gateway/Gateway.h"
#include "gateway/HostAnnouncer.h"
#include "gateway/StoreRoleElection.h"
#include "gateway/StoreWatcher.h"
#include "http/BackendConnectionPool.h"
#include "http/HttpServer.h"
#include "net/TcpPeerTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace greengagestair {

/** One gateway process: the reducer with its sockets, timers and signals, on one thread. */
class GatewayServer : private EventQueue
{
public:
    GatewayServer(boost::asio::io_context &context, GatewaySettings settings,
                  std::string settingsFile, const HeaderNames &names, RegistryStore &store,
                  int logDescriptor);

    /** Listens; fails with HttpListenFailed. */
    boost::leaf::result<void> start();
    /** Ends the event loop when the last request is answered or the stop timeout comes near. */
    void stop();
    bool isReady() const { return m_gateway.isReady(); }
    Endpoint callerEndpoint() const { return m_callers.endpoint(); }
    Endpoint adminEndpoint() const { return m_admin.endpoint(); }
    /** Counts and logs malformed responses; for the client of the store. */
    ResponseObserver &responseObserver() { return m_responses; }

private:
    boost::leaf::result<void> listenForPeers();
    void enqueue(GatewayEvent event);
    /** Events of the peer transport. */
    void post(Event event) override;
    void answerPermitRequest(const HostId &sender, const PermitRequest &request);
    void share(const StoreChanges &changes);
    void drain();
    void apply(const GatewayEffects &effects);
    void applyEffect(const StartAttempt &effect);
    void applyEffect(const ReleaseAttempt &effect);
    void applyEffect(const ReplyToCaller &effect);
    void applyEffect(const CloseIdleConnections &effect);
    void applyEffect(const ReportServerLoss &effect);
    void applyEffect(const OpenConnection &effect);
    void applyEffect(const ReportUnreachableDomain &effect);
    void applyEffect(const SendToHost &effect);
    void applyEffect(const WriteRolloutState &effect);
    void applyEffect(const LogRecord &effect);
    void log(const LogRecord &decision);
    /** Writes the collected lines in a moment, after the work that the callers wait for. */
    void flushLogLater();
    void updateLimits();
    /** Applies the memory and the descriptors of the settings to all bounds that depend on them. */
    void updateMemoryLimits();
    void armTimer();
    void onTimer();
    Duration lateness() const;
    void awaitSignals();
    void reload();
    void checkStop();
    HttpServerResponse readinessPage() const;
    HttpServerResponse adminPage(std::string_view path) const;
    std::string metricsText() const;
    std::vector<Counter> counters() const;
    void logCountersLater();
    void logEndedCallers();
    void addCallerCounters(std::vector<Counter> &counters) const;

    boost::asio::io_context &m_context;
    RegistryStore &m_store;
    GatewaySettings m_settings;
    std::string m_settingsFile;
    JsonLineLog m_log;
    Gateway m_gateway;
    GatewayFrontEnd m_frontEnd;
    CallerAccount m_callerAccount;
    HttpServer m_callers;
    PageHandler m_readinessPages;
    HttpServer m_readiness;
    PageHandler m_adminPages;
    HttpServer m_admin;
    ResponseMonitor m_responses; ///< before its users, which refer to it
    BackendConnectionPool m_backends;
    SeedReader m_seeds;
    StoreRoleElection m_roleElection;
    StoreWatcher m_storeWatcher;
    std::unique_ptr<TcpPeerTransport> m_peers;
    HostAnnouncer m_announcer;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_countersTimer;
    boost::asio::steady_timer m_logTimer;
    std::optional<MonotonicTime> m_timerAt;
    std::uint64_t m_loggedEndedCallers = 0; ///< of the last line on ended connections
    std::deque<GatewayEvent> m_events;
    bool m_isDraining = false;
    bool m_isLogTimerArmed = false;
    bool m_isStopping = false;
    std::map<std::string, LatencyHistogram> m_latencies; ///< by outcome
    LoopTimes m_loopTimes;
    MonotonicTime m_stopAt;
    MonotonicTime m_stopSince;
};

} // namespace greengagestair
