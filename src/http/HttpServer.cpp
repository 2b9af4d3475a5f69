#include "http/HttpServer.h"

#include "http/HttpFields.h"
#include "http/HttpServerConnection.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/leaf/error.hpp>

#include <limits>
#include <vector>

namespace greengagestair {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/** Interval at which connections are checked for timeouts. */
static constexpr std::chrono::milliseconds kTimeoutCheckInterval(500);
/** Interval at which the account is relieved while memory is short. */
static constexpr std::chrono::milliseconds kReliefInterval(100);
/** Delay after a failed accept, or when there is no room for a connection; callers wait in the
 * kernel's backlog meanwhile. */
static constexpr std::chrono::milliseconds kAcceptRetryDelay(50);
/** Connections accepted before the event loop turns to other events again. */
static constexpr std::size_t kMaxAcceptsAtOnce = 64;
/** Of a server of pages. Other gateways, a scraper and the platform's checks use one connection
 * each; the smallest reserve of descriptors (CallerAccount.cpp) holds the connections of two such
 * servers. */
static constexpr std::size_t kMaxOperatorConnections = 12;
static constexpr std::size_t kMaxOperatorRequestBytes = 8192;
/** Maximum number of connections waiting for accept(); after a failover many callers reconnect. */
static constexpr int kListenBacklog = 1024;

std::string_view HttpServerRequest::header(std::string_view name) const
{
    return fieldValue(headers, name);
}

HttpServer::HttpServer(asio::io_context &context, HttpServerHandler &handler,
                       CallerAccount *account)
    : m_context(context)
    , m_handler(handler)
    , m_account(account ? *account : m_ownAccount)
    , m_acceptor(context)
    , m_timeoutTimer(context)
    , m_acceptRetryTimer(context)
    , m_reliefTimer(context)
{
}

HttpServer::~HttpServer() = default;

boost::leaf::result<void> HttpServer::listen(const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    const tcp::endpoint local(address, endpoint.port);
    if (!error)
        m_acceptor.open(local.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(local, error);
    if (!error)
        m_acceptor.listen(kListenBacklog, error);
    if (error)
        return boost::leaf::new_error(HttpListenFailed { endpoint, error.message() });
    accept();
    scheduleTimeoutCheck();
    return {};
}

void HttpServer::setOperatorLimits()
{
    m_limits.maxHeaderBytes = kMaxOperatorRequestBytes;
    m_limits.maxBodyBytes = kMaxOperatorRequestBytes;
    m_ownAccount.setLimits({ CallerMemoryLimits {}.bytes, kMaxOperatorConnections });
}

Endpoint HttpServer::endpoint() const
{
    const auto local = m_acceptor.local_endpoint();
    return { local.address().to_string(), local.port() };
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (error)
            return acceptLater();
        addConnection(std::move(socket));
        // Otherwise one connection is accepted each time that the loop has handled all other
        // events, however many wait.
        if (acceptPending(kMaxAcceptsAtOnce))
            accept();
        else
            acceptLater();
    });
}

void HttpServer::acceptWithRoom()
{
    // Checked before the next connection comes, so that one place is always free for it.
    if (m_account.makeRoomForConnection(std::chrono::steady_clock::now()))
        accept();
    else
        acceptLater();
}

void HttpServer::acceptLater()
{
    m_acceptRetryTimer.expires_after(kAcceptRetryDelay);
    m_acceptRetryTimer.async_wait([this](const error_code &error) {
        if (!error && m_acceptor.is_open())
            acceptWithRoom();
    });
}

void HttpServer::relieveIfShort(CallerAccount::Time now)
{
    if (m_account.needsRelief())
        m_account.relieve(now);
    if (m_isReliefScheduled || (!m_account.isShort() && !m_account.hasPaused()))
        return;
    m_isReliefScheduled = true;
    m_reliefTimer.expires_after(kReliefInterval);
    m_reliefTimer.async_wait([this](const error_code &error) {
        if (error)
            return;
        m_isReliefScheduled = false;
        const auto time = std::chrono::steady_clock::now();
        m_account.relieve(time);
        relieveIfShort(time);
    });
}

void HttpServer::addConnection(tcp::socket socket)
{
    configureSocket(socket);
    const std::uint64_t id = ++m_lastConnectionId;
    auto connection = std::make_shared<HttpServerConnection>(id, std::move(socket), *this);
    m_connections.emplace(id, connection);
    connection->start();
}

bool HttpServer::acceptPending(std::size_t maxConnections)
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    for (std::size_t accepted = 0;
         m_account.makeRoomForConnection(std::chrono::steady_clock::now()); ++accepted) {
        if (error || accepted == maxConnections)
            return true;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (!error)
            addConnection(std::move(socket));
    }
    return false;
}

void HttpServer::scheduleTimeoutCheck()
{
    m_timeoutTimer.expires_after(kTimeoutCheckInterval);
    m_timeoutTimer.async_wait([this](const error_code &error) {
        if (error)
            return;
        std::vector<std::shared_ptr<HttpServerConnection>> connections;
        connections.reserve(m_connections.size());
        for (const auto &[id, connection] : m_connections)
            connections.push_back(connection);
        const auto now = std::chrono::steady_clock::now();
        for (const auto &connection : connections)
            connection->checkTimeouts(now);
        scheduleTimeoutCheck();
    });
}

ExchangeId HttpServer::beginExchange(const std::shared_ptr<HttpServerConnection> &connection)
{
    const ExchangeId exchange { ++m_lastExchangeId };
    m_exchanges.emplace(exchange, connection);
    return exchange;
}

void HttpServer::reply(ExchangeId exchange, const HttpServerResponse &response)
{
    const auto found = m_exchanges.find(exchange);
    if (found == m_exchanges.end())
        return;
    const auto connection = found->second.lock();
    m_exchanges.erase(found);
    if (!connection)
        return;
    connection->reply(response);
    relieveIfShort(std::chrono::steady_clock::now());
}

void HttpServer::closeListenerAndIdleConnections()
{
    error_code ignored; // Nothing can be done about a failed close.
    // Closing the listener would reset connections that wait in the kernel.
    if (m_acceptor.is_open())
        acceptPending(std::numeric_limits<std::size_t>::max());
    m_acceptor.close(ignored);
    // Reads that have completed are handled before a posted function; their connections are not
    // idle.
    asio::post(m_context, [this, alive = std::weak_ptr<const bool>(m_alive)] {
        if (alive.lock())
            closeIdleConnections();
    });
}

void HttpServer::closeIdleConnections()
{
    std::vector<std::shared_ptr<HttpServerConnection>> idle;
    for (const auto &[id, connection] : m_connections) {
        if (connection->isIdle())
            idle.push_back(connection);
    }
    for (const auto &connection : idle)
        connection->close();
}

void HttpServer::remove(std::uint64_t connection)
{
    m_connections.erase(connection);
}

} // namespace greengagestair
