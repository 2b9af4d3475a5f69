#pragma once

#include "gateway/HttpMessage.h"
#include "gateway/RoutingConfiguration.h"
#include "greengagestair/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace greengagestair {

/** A whole HTTP request, its body without transfer coding. */
struct HttpServerRequest
{
    std::string method;
    std::string target; ///< as received
    Headers headers;    ///< as received, in their order
    std::string body;

    /** Value of the first field of that name; empty if there is none. */
    std::string_view header(std::string_view name) const;
};

/** A response; Content-Length and Connection are added. */
struct HttpServerResponse
{
    int status = 200;
    std::string reason; ///< the standard phrase if empty
    Headers headers;
    std::string body;
};

/** Handles the requests of one server. */
class HttpServerHandler
{
public:
    virtual ~HttpServerHandler() = default;
    /** A whole request came; it is answered by HttpServer::reply(). */
    virtual void onRequest(ExchangeId exchange, HttpServerRequest request) = 0;
    /** The connection ended before the answer. */
    virtual void onCallerDisconnected(ExchangeId exchange) = 0;
    /** A request was refused before it was read whole. */
    virtual void onBadRequest(int status) = 0;
};

/** The server could not listen. */
struct HttpListenFailed
{
    Endpoint endpoint;
    std::string detail;
};

class HttpServerConnection;

/**
 * An HTTP/1.1 server on the event loop. Requests of one connection are handled one after the other.
 * Malformed requests, and ones beyond the limits, get an error and lose their connection.
 */
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, HttpServerHandler &handler);
    ~HttpServer();

    /** Fails with HttpListenFailed. */
    boost::leaf::result<void> listen(const Endpoint &endpoint);
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    const CallerLimits &limits() const { return m_limits; }

    void reply(ExchangeId exchange, const HttpServerResponse &response);
    /** While set, each answer closes its connection; connections are still accepted. */
    void setCloseAfterResponse(bool closesAfterResponse) { m_isClosing = closesAfterResponse; }
    bool closesAfterResponse() const { return m_isClosing; }
    /** Closes the listening socket and all connections without a request in progress. */
    void closeListenerAndIdleConnections();
    std::size_t connections() const { return m_connections.size(); }
    Endpoint endpoint() const;

private:
    friend class HttpServerConnection;

    void accept();
    void scheduleTimeoutCheck();
    ExchangeId beginExchange(const std::shared_ptr<HttpServerConnection> &connection);
    void remove(std::uint64_t connection);

    boost::asio::io_context &m_context;
    HttpServerHandler &m_handler;
    CallerLimits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    boost::asio::steady_timer m_acceptTimer;
    std::unordered_map<std::uint64_t, std::shared_ptr<HttpServerConnection>> m_connections;
    std::unordered_map<ExchangeId, std::weak_ptr<HttpServerConnection>> m_exchanges;
    std::uint64_t m_lastConnection = 0;
    std::uint64_t m_lastExchange = 0;
    bool m_isClosing = false;
};

} // namespace greengagestair
