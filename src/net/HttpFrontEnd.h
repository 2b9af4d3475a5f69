#pragma once

#include "greengagestair/Reducer.h"
#include "http/CallerAccount.h"
#include "net/Adapters.h"
#include "net/CallerRequestParser.h"
#include "net/HttpFraming.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace greengagestair {

/** Listening address, limits and timeouts of HttpFrontEnd. */
struct HttpFrontEndOptions
{
    Endpoint listen;             ///< port 0 selects a free port
    std::string requestIdPrefix; ///< makes `requestId` unique across hosts and incarnations
    int threads = 2;             ///< threads that receive requests
    HttpLimits limits;           ///< size limits of each request
    /** More are refused with status 429, unless another connection can be ended in their place. */
    std::size_t maxConnections = 4096;
    std::size_t maxRequests = 4096; ///< accepted and not answered yet; more get status 429
    CallerMemoryLimits memory;      ///< for all callers together; see CallerAccount
    Duration receiveTimeout = std::chrono::seconds(10); ///< time limit for receiving a request
    Duration idleTimeout = std::chrono::seconds(60);    ///< time limit between two requests
};

/** HTTP response with the content of an operator page. */
struct OperatorPageResponse
{
    int status = 200; ///< HTTP status code
    std::string contentType;
    std::string body;
};

/** Renders the operator pages for HttpFrontEnd. */
class OperatorPageProvider
{
public:
    virtual ~OperatorPageProvider() = default;
    /** Requests a page. Thread-safe; `done` is called once with the page, on any thread. */
    virtual void requestPage(OperatorPage page, std::function<void(OperatorPageResponse)> done) = 0;
};

/** Receives the outcome and latency of each answer, for metrics. */
class AnswerObserver
{
public:
    virtual ~AnswerObserver() = default;
    /**
     * Called for each answer of the reducer, on the thread that calls HttpFrontEnd::answer().
     * @param latency time from the receipt of the complete request to its answer
     */
    virtual void onAnswered(QueryOutcome outcome, Duration latency) = 0;
};

/** Error of HttpFrontEnd::start(): the listening socket could not be opened. */
struct ListenError
{
    Endpoint endpoint;  ///< the address that could not be listened on
    std::string detail; ///< the cause, as reported by the HTTP library
};

/**
 * HTTP server for callers and operators, built on Pistache. It finds the end of each request,
 * checks it and posts it as an event; the event loop calls answer() later with the reducer's
 * answer. Its memory is bounded by the maximum numbers of connections and requests and by
 * HttpLimits.
 */
class HttpFrontEnd : public CallerFrontEnd
{
public:
    /** `events`, `pages` and `observer` must outlive this object. */
    HttpFrontEnd(const HttpFrontEndOptions &options, EventQueue &events,
                 OperatorPageProvider &pages, AnswerObserver &observer);
    ~HttpFrontEnd() override;
    HttpFrontEnd(const HttpFrontEnd &) = delete;
    HttpFrontEnd &operator=(const HttpFrontEnd &) = delete;

    /** Opens the listening socket and starts the threads. Fails with ListenError. */
    boost::leaf::result<void> start();
    /** Answers one request. Ignored if the caller has disconnected or was answered before. */
    void answer(const AnswerCaller &answer) override;
    /**
     * Waits up to 1 s for the writes in progress, closes all connections and joins the threads. A
     * caller whose request has no answer yet gets a closed connection instead of an error response,
     * because only the reducer can determine whether its request ran.
     */
    void stop() override;

    /** The port that is listened on; 0 before start() and after stop(). */
    std::uint16_t port() const;
    /** Counters and gauges of the front end for the metrics page. Thread-safe. */
    std::vector<Counter> counters() const;

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace greengagestair
