#include "app/EventLoop.h"
#include "app/ExplainPage.h"
#include "app/GatewayServer.h"
#include "app/Metrics.h"

#include <boost/json/serialize.hpp>

namespace greengagestair {

/** The counters are also logged, for days of which only the log is left. */
static constexpr std::chrono::seconds kCountersInterval(10);

HttpServerResponse GatewayServer::readinessPage() const
{
    HttpServerResponse response;
    response.status = m_gateway.isReady() ? 200 : 503;
    return response;
}

HttpServerResponse GatewayServer::adminPage(std::string_view path) const
{
    HttpServerResponse response;
    if (path == "/metrics") {
        response.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
        response.body = metricsText();
    } else if (path == "/state") {
        response.headers.push_back({ "Content-Type", "application/json" });
        response.body =
                boost::json::serialize(m_gateway.dump(EventLoop::currentInstant().now)) + "\n";
    } else if (const auto query = parseExplainTarget(path)) {
        response.headers.push_back({ "Content-Type", "application/json" });
        response.body =
                boost::json::serialize(m_gateway.explain(*query, EventLoop::currentInstant().now))
                + "\n";
    } else if (const auto snapshot = m_storeWatcher.snapshot(); snapshot && path == "/entries") {
        response.headers.push_back({ "Content-Type", "application/json" });
        response.body = formatSnapshot(*snapshot);
    } else {
        response.status = 404;
    }
    return response;
}

std::vector<Counter> GatewayServer::counters() const
{
    std::vector<Counter> counters = m_gateway.counters();
    for (Counter &counter : m_storeWatcher.counters(EventLoop::currentInstant().now))
        counters.push_back(std::move(counter));
    const BackendConnectionCounters &backends = m_backends.counters();
    const LogCounters &log = m_log.counters();
    counters.push_back({ "backend_connections_opened_total", backends.opened });
    counters.push_back({ "backend_connections_opened_ahead_total", backends.openedAhead });
    counters.push_back({ "backend_connections_reused_total", backends.reused });
    const auto closed = [&](const std::string &reason, std::uint64_t value) {
        counters.push_back(
                { "backend_connections_closed_total{reason=\"" + reason + "\"}", value });
    };
    closed("idleByServer", backends.closedIdleByServer);
    closed("idleTimeout", backends.closedIdleTimeout);
    closed("idleLimit", backends.closedIdleLimit);
    closed("response", backends.closedAfterResponse);
    closed("failure", backends.closedByFailure);
    counters.push_back({ "stray_responses_total", backends.strayResponses });
    counters.push_back({ "response_held_bytes", m_backends.bufferedBytes() });
    counters.push_back({ "response_held_bytes_limit", m_backends.maxBufferedBytes() });
    for (Counter &counter : m_loopTimes.counters())
        counters.push_back(std::move(counter));
    for (Counter &counter : m_responses.counters())
        counters.push_back(std::move(counter));
    counters.push_back({ "bad_requests_total", m_frontEnd.badRequests() });
    counters.push_back({ "caller_connections", m_callers.connections() });
    addCallerCounters(counters);
    counters.push_back({ "log_lines_total", log.written });
    counters.push_back({ "log_lines_dropped_total{reason=\"rate\"}", log.overRate });
    counters.push_back({ "log_lines_dropped_total{reason=\"overflow\"}", log.overflow });
    return counters;
}

void GatewayServer::addCallerCounters(std::vector<Counter> &counters) const
{
    const CallerAccount &account = m_callerAccount;
    const auto held = [&](const std::string &kind, HeldKind index) {
        counters.push_back(
                { "caller_held_bytes{kind=\"" + kind + "\"}", account.heldBytes(index) });
    };
    held("connection", HeldKind::Connection);
    held("incomplete", HeldKind::Incomplete);
    held("inProgress", HeldKind::InProgress);
    held("unsent", HeldKind::Unsent);
    const auto ended = [&](const std::string &reason, ShortageReason index) {
        counters.push_back(
                { "callers_ended_total{reason=\"" + reason + "\"}", account.ended(index) });
    };
    ended("stalled", ShortageReason::Stalled);
    ended("memory", ShortageReason::Memory);
    ended("connections", ShortageReason::Connections);
    counters.push_back({ "caller_accepts_delayed_total", account.refusedConnections() });
    counters.push_back({ "caller_requests_refused_total", m_callers.refusedRequests() });
}

std::string GatewayServer::metricsText() const
{
    std::string text = LatencyHistogram::heading();
    for (const auto &[outcome, histogram] : m_latencies)
        histogram.render(outcome, text);
    renderCounters(counters(), text);
    return text;
}

void GatewayServer::logCountersLater()
{
    m_countersTimer.expires_after(kCountersInterval);
    m_countersTimer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        LogRecord line { LogPriority::State, "counters", {} };
        const std::vector<Counter> all = counters();
        for (const Counter &counter : all)
            line.fields.emplace_back(counter.name, std::to_string(counter.value));
        log(line);
        logEndedCallers();
        logCountersLater();
    });
}

/** Called every kCountersInterval, which bounds the rate of the line. */
void GatewayServer::logEndedCallers()
{
    const CallerAccount &account = m_callerAccount;
    const std::uint64_t stalled = account.ended(ShortageReason::Stalled);
    const std::uint64_t memory = account.ended(ShortageReason::Memory);
    const std::uint64_t connections = account.ended(ShortageReason::Connections);
    const std::uint64_t refused = m_callers.refusedRequests();
    const std::uint64_t total = stalled + memory + connections + refused;
    if (total == m_loggedEndedCallers)
        return;
    log({ LogPriority::State,
          "callersEnded",
          { { "ended", std::to_string(total - m_loggedEndedCallers) },
            { "stalledTotal", std::to_string(stalled) },
            { "memoryTotal", std::to_string(memory) },
            { "connectionsTotal", std::to_string(connections) },
            { "refusedTotal", std::to_string(refused) },
            { "heldBytes", std::to_string(account.heldBytes()) },
            { "connections", std::to_string(account.connections()) } } });
    m_loggedEndedCallers = total;
}

} // namespace greengagestair
