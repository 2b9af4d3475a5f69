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
    counters.push_back({ "backend_connections_reused_total", backends.reused });
    counters.push_back({ "stray_responses_total", backends.strayResponses });
    counters.push_back({ "bad_requests_total", m_frontEnd.badRequests() });
    counters.push_back({ "caller_connections", m_callers.connections() });
    counters.push_back({ "log_lines_total", log.written });
    counters.push_back({ "log_lines_dropped_total{reason=\"rate\"}", log.overRate });
    counters.push_back({ "log_lines_dropped_total{reason=\"overflow\"}", log.overflow });
    return counters;
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
        logCountersLater();
    });
}

} // namespace greengagestair
