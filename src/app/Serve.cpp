#include "app/Serve.h"

#include "app/EventLoop.h"
#include "app/Metrics.h"
#include "app/OutboundAdapters.h"
#include "app/ResponseMonitor.h"
#include "app/StatusPages.h"
#include "app/TraceWriter.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <csignal>
#include <random>

namespace greengagestair {

static ReducerOptions makeReducerOptions(const Settings &settings)
{
    ReducerOptions options;
    options.host = settings.host;
    options.incarnation = { static_cast<std::uint64_t>(
            EventLoop::currentInstant().wall.time_since_epoch().count()) };
    options.failureDomain = settings.failureDomain;
    options.peerEndpoint = settings.peerEndpoint;
    options.seeds = settings.seeds;
    options.randomSeed = std::random_device {}();
    options.stopTimeout = settings.stopTimeout;
    return options;
}

static HttpFrontEndOptions makeFrontEndOptions(const Settings &settings, Incarnation incarnation)
{
    HttpFrontEndOptions options;
    options.listen = settings.callerEndpoint;
    options.requestIdPrefix = settings.host.value + "-" + std::to_string(incarnation.value);
    options.threads = settings.httpThreads;
    options.limits.maxBodyBytes = settings.maxBodyBytes;
    options.memory = callerMemoryLimitsWithin(settings.memoryBytes, settings.maxDescriptors);
    return options;
}

/** Posts StopRequested for each SIGTERM or SIGINT. */
static void awaitStopSignal(boost::asio::signal_set &signals, EventLoop &loop)
{
    signals.async_wait([&](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        logLine(LogLevel::Info, "stopRequested", { { "signal", std::to_string(signal) } });
        loop.post(StopRequested {});
        awaitStopSignal(signals, loop);
    });
}

static void logMalformedResponse(const MalformedResponse &response)
{
    logLine(LogLevel::Warning, "malformedResponse",
            { { "source", toText(response.source) },
              { "sender", response.sender },
              { "requestId", response.requestId },
              { "reason", toText(response.defect) } });
}

static boost::leaf::result<ExitCode> runServer(const Settings &settings)
{
    const ReducerOptions options = makeReducerOptions(settings);
    std::unique_ptr<TraceWriter> trace;
    if (!settings.traceFile.empty()) {
        BOOST_LEAF_ASSIGN(trace, TraceWriter::create(settings.traceFile, options));
    }
    boost::asio::io_context context(1);
    // Blocks the signals' default action before other threads start.
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    EventLoop loop(context, options);
    awaitStopSignal(signals, loop);
    Metrics metrics;
    StatusPages pages(loop, metrics);
    HttpFrontEnd frontEnd(makeFrontEndOptions(settings, options.incarnation), loop, pages, metrics);
    pages.addCounters([&] { return frontEnd.counters(); });
    ResponseMonitor responses(logMalformedResponse);
    pages.addCounters([&] { return responses.counters(); });
    BOOST_LEAF_AUTO(adapters,
                    makeOutboundAdapters(context, settings, options.incarnation, loop, responses));
    pages.addCounters(adapters.peerCounters);
    BOOST_LEAF_CHECK(frontEnd.start());
    logLine(LogLevel::Info, "started",
            { { "host", settings.host.value },
              { "failureDomain", settings.failureDomain.value },
              { "incarnation", std::to_string(options.incarnation.value) },
              { "callerEndpoint", toText(settings.callerEndpoint) },
              { "peerEndpoint", toText(settings.peerEndpoint) } });
    const LoopEnd end =
            loop.run({ frontEnd, *adapters.backends, *adapters.platform, *adapters.peers },
                     trace.get(), [&] { signals.cancel(); });
    const bool isClean = end == LoopEnd::Stopped;
    logLine(isClean ? LogLevel::Info : LogLevel::Error, "exiting",
            { { "clean", isClean ? "true" : "false" } });
    return isClean ? ExitCode::Success : ExitCode::Failed;
}

ExitCode serve(const Settings &settings)
{
    startLog(settings.logLevel);
    return boost::leaf::try_handle_all(
            [&] { return runServer(settings); },
            [](const ListenError &error) {
                logLine(LogLevel::Error, "listenFailed",
                        { { "endpoint", toText(error.endpoint) }, { "detail", error.detail } });
                return ExitCode::Failed;
            },
            [](const TraceUnwritable &error) {
                logLine(LogLevel::Error, "traceUnwritable", { { "file", error.file } });
                return ExitCode::Failed;
            },
            [] {
                logLine(LogLevel::Error, "startFailed", {});
                return ExitCode::Failed;
            });
}

} // namespace greengagestair
