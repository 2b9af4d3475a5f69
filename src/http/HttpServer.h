#pragma once

#include "gateway/HttpMessage.h"
#include "gateway/RoutingConfiguration.h"
#include "greengagestair/Types.h"
#include "http/CallerAccount.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

namespace greengagestair {

/** A complete HTTP request. A chunked body is decoded. */
struct HttpServerRequest
{
    std::string method;
    std::string target; ///< path and query, byte for byte as received
    Headers headers;    ///< as received, in the same order
    std::string body;

    /** Returns the value of the first field named `name`, or an empty text if there is none. */
    std::string_view header(std::string_view name) const;
};

/** A response to one request. The server adds Content-Length and Connection. */
struct HttpServerResponse
{
    int status = 200;
    std::string reason; ///< reason phrase; the standard one of the status if empty
    Headers headers;
    std::string body;
};

/** Receives the requests of one HttpServer. Called on the event loop. */
class HttpServerHandler
{
public:
    virtual ~HttpServerHandler() = default;
    /** Handles a complete request, which must be answered with HttpServer::reply(). */
    virtual void onRequest(ExchangeId exchange, HttpServerRequest request) = 0;
    /** The connection of a request ended before the answer. A later reply() has no effect. */
    virtual void onCallerDisconnected(ExchangeId exchange) = 0;
    /** A malformed, oversized or slow request was rejected with `status`; see HttpServer. */
    virtual void onBadRequest(int status) = 0;
};

/** Error: the server could not listen on an endpoint. */
struct HttpListenFailed
{
    Endpoint endpoint;
    std::string detail; ///< message of the operating system
};

class HttpServerConnection;

/**
 * An HTTP/1.1 server on the event loop that accepts the connections of callers. Requests of one
 * connection are handled one after the other. A malformed request, or one that exceeds a limit, is
 * answered with status 400, 408, 413 or 431, and its connection is closed. When the CallerAccount
 * runs short, incomplete requests are answered with 503, and connections are closed.
 */
class HttpServer
{
public:
    /**
     * Creates a server that does not listen yet. `context`, `handler` and `account` must outlive
     * the server. Without an account the server has one of its own, without limits.
     */
    HttpServer(boost::asio::io_context &context, HttpServerHandler &handler,
               CallerAccount *account = nullptr);
    ~HttpServer();

    /** Starts to accept connections. Port 0 selects a free port. Error: HttpListenFailed. */
    boost::leaf::result<void> listen(const Endpoint &endpoint);
    /**
     * Sets the limits for callers. They apply to all requests that begin from now on, also on open
     * connections. Higher limits apply at once; lower ones do not apply to a request that is being
     * received, nor to a connection that is idle until its next request.
     */
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    /**
     * Sets limits for a server of pages, whose callers send small requests only: few connections,
     * so that they cannot take the descriptors that callers' servers and the store need. Applies to
     * the server's own account.
     */
    void setOperatorLimits();
    /** The limits that setLimits() set last, or the defaults. */
    const CallerLimits &limits() const { return m_limits; }

    /** Answers a request. Does nothing if it was answered already or its connection has ended. */
    void reply(ExchangeId exchange, const HttpServerResponse &response);
    /** Sets whether connections are closed after their next response. New ones are accepted. */
    void setCloseAfterResponse(bool closesAfterResponse)
    {
        m_closesAfterResponse = closesAfterResponse;
    }
    /** True if connections are closed after their next response. */
    bool closesAfterResponse() const { return m_closesAfterResponse; }
    /**
     * Closes the listening socket at once, and then all connections without a request in progress.
     * Connections that the kernel has accepted, and those with bytes that were not handled or sent
     * yet, are kept.
     */
    void closeListenerAndIdleConnections();
    /** Requests that were complete and refused because the account was used up. */
    std::uint64_t refusedRequests() const { return m_refusedRequests; }
    /** Number of open connections. */
    std::size_t connections() const { return m_connections.size(); }
    /** The address and port on which the server listens; call it after listen(). */
    Endpoint endpoint() const;

private:
    friend class HttpServerConnection;

    void accept();
    /** Accepts the next connections, as soon as the account has room for one. */
    void acceptWithRoom();
    void acceptLater();
    /**
     * Accepts connections that wait in the kernel, `maxConnections` at most. Returns false if the
     * account has no room for a further one.
     */
    bool acceptPending(std::size_t maxConnections);
    void addConnection(boost::asio::ip::tcp::socket socket);
    void closeIdleConnections();
    void scheduleTimeoutCheck();
    /** Ends connections if the account is used up, and sees to it later while it runs short. */
    void relieveIfShort(CallerAccount::Time now);
    ExchangeId beginExchange(const std::shared_ptr<HttpServerConnection> &connection);
    void remove(std::uint64_t connection);

    boost::asio::io_context &m_context;
    HttpServerHandler &m_handler;
    CallerAccount m_ownAccount;
    CallerAccount &m_account;
    CallerLimits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timeoutTimer;
    boost::asio::steady_timer m_acceptRetryTimer;
    boost::asio::steady_timer m_reliefTimer;
    bool m_isReliefScheduled = false;
    std::uint64_t m_refusedRequests = 0;
    std::unordered_map<std::uint64_t, std::shared_ptr<HttpServerConnection>> m_connections;
    std::unordered_map<ExchangeId, std::weak_ptr<HttpServerConnection>> m_exchanges;
    std::uint64_t m_lastConnectionId = 0;
    std::uint64_t m_lastExchangeId = 0;
    bool m_closesAfterResponse = false;
    /** Expires with the server; posted functions check it. */
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
};

} // namespace greengagestair
