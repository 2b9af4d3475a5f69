#pragma once

#include "greengagestair/Reducer.h"
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

/** Bounds and addresses of the HTTP front end. */
struct HttpFrontEndOptions
{
    Endpoint listen;             ///< port 0 takes any free port
    std::string requestIdPrefix; ///< makes `requestId` unique over hosts and incarnations
    int threads = 2;
    HttpLimits limits;
    std::size_t maxConnections = 4096;
    std::size_t maxRequests = 4096;                     ///< accepted and not answered yet
    Duration receiveTimeout = std::chrono::seconds(10); ///< for one whole request
    Duration idleTimeout = std::chrono::seconds(60);    ///< between requests of a connection
};

/** A text for operators. */
struct OperatorPageResponse
{
    int status = 200;
    std::string contentType;
    std::string body;
};

/** Provides the texts for operators. */
class OperatorPageProvider
{
public:
    virtual ~OperatorPageProvider() = default;
    /** Asks for a page; `done` is called once, from any thread. May be called from any thread. */
    virtual void requestPage(OperatorPage page, std::function<void(OperatorPageResponse)> done) = 0;
};

/** Told of each answer given by the reducer, in the thread that calls answer(). */
class AnswerObserver
{
public:
    virtual ~AnswerObserver() = default;
    /** @param latency from the receipt of the whole request to its answer */
    virtual void onAnswered(QueryOutcome outcome, Duration latency) = 0;
};

/** The listening socket could not be opened. */
struct ListenError
{
    Endpoint endpoint;
    std::string detail;
};

/**
 * HTTP server for callers and operators, on Pistache. Requests are delimited and checked here,
 * posted as events, and answered later by answer(). Memory is bounded by the numbers of connections
 * and requests and by the sizes in HttpLimits.
 */
class HttpFrontEnd : public CallerFrontEnd
{
public:
    HttpFrontEnd(const HttpFrontEndOptions &options, EventQueue &events,
                 OperatorPageProvider &pages, AnswerObserver &observer);
    ~HttpFrontEnd() override;
    HttpFrontEnd(const HttpFrontEnd &) = delete;
    HttpFrontEnd &operator=(const HttpFrontEnd &) = delete;

    /** Opens the listening socket and starts the threads. Fails with ListenError. */
    boost::leaf::result<void> start();
    /** Answers one request; unknown callers (gone, or answered before) are ignored. */
    void answer(const AnswerCaller &answer) override;
    /**
     * Sends the answers under way, closes all connections and ends the threads. Callers without an
     * answer see a closed connection: only the reducer knows whether their requests ran.
     */
    void stop() override;

    /** The port in use. */
    std::uint16_t port() const;
    /** Sizes and counts of the front end itself. Thread-safe. */
    std::vector<Counter> counters() const;

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace greengagestair
