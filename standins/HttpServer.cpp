#include "standins/HttpServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <stdexcept>

namespace greengagestair::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
static constexpr std::uint64_t kMaxBodyBytes = std::uint64_t { 4 } << 20U;
// The system's limit of open files is reached when accepting fails; some connections then end soon.
static constexpr auto kAcceptRetry = std::chrono::milliseconds(20);

std::string HttpRequest::header(std::string_view name) const
{
    for (const auto &[candidate, value] : headers) {
        if (boost::beast::iequals(candidate, name))
            return value;
    }
    return {};
}

std::string HttpRequest::path() const
{
    return target.substr(0, target.find('?'));
}

std::string HttpRequest::query(std::string_view name) const
{
    const auto start = target.find('?');
    std::string_view rest = start == std::string::npos ? std::string_view {}
                                                       : std::string_view(target).substr(start + 1);
    while (!rest.empty()) {
        const auto field = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const auto equals = field.find('=');
        if (equals != std::string_view::npos && field.substr(0, equals) == name)
            return std::string(field.substr(equals + 1));
    }
    return {};
}

tcp::endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto port =
            colon == std::string_view::npos ? -1 : parseNumber(text.substr(colon + 1), -1);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error || port < 0 || port > std::numeric_limits<std::uint16_t>::max())
        throw std::invalid_argument("not an endpoint: " + std::string(text));
    return { address, static_cast<std::uint16_t>(port) };
}

std::int64_t parseNumber(std::string_view text, std::int64_t otherwise)
{
    std::int64_t number = 0;
    const auto end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, number);
    return error == std::errc {} && parsed == end ? number : otherwise;
}

asio::awaitable<void> sleepFor(std::chrono::microseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(kAwait);
}

/** Closes the connection so that the other side sees a reset instead of an orderly end. */
static void resetConnection(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

static HttpRequest toRequest(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.emplace_back(field.name_string(), field.value());
    request.body = std::move(message.body());
    return request;
}

static http::response<http::string_body> toMessage(HttpResponse response, unsigned version,
                                                   bool keepAlive)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), version);
    for (const auto &[name, value] : response.headers)
        message.set(name, value);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

std::shared_ptr<HttpServer> HttpServer::create(asio::io_context &context,
                                               const tcp::endpoint &endpoint, Handler handler,
                                               Limits limits)
{
    return std::shared_ptr<HttpServer>(
            new HttpServer(context, endpoint, std::move(handler), limits));
}

HttpServer::HttpServer(asio::io_context &context, const tcp::endpoint &endpoint, Handler handler,
                       Limits limits)
    : m_context(context)
    , m_endpoint(endpoint)
    , m_handler(std::move(handler))
    , m_limits(limits)
{
}

void HttpServer::open()
{
    if (m_acceptor)
        return;
    m_acceptor = std::make_shared<Acceptor>(m_context, m_endpoint, true);
    m_endpoint = m_acceptor->local_endpoint();
    asio::co_spawn(m_context, acceptConnections(shared_from_this(), m_acceptor), asio::detached);
}

void HttpServer::close()
{
    boost::system::error_code ignored;
    if (m_acceptor)
        m_acceptor->close(ignored);
    m_acceptor.reset();
    for (const auto &socket : m_sockets)
        resetConnection(*socket);
    m_sockets.clear();
}

asio::awaitable<void> HttpServer::acceptConnections(std::shared_ptr<HttpServer> server,
                                                    std::shared_ptr<Acceptor> acceptor)
{
    while (acceptor->is_open()) {
        auto [error, accepted] = co_await acceptor->async_accept(kAwait);
        if (error) {
            if (acceptor->is_open())
                co_await sleepFor(kAcceptRetry);
            continue;
        }
        auto socket = std::make_shared<Socket>(std::move(accepted));
        if (static_cast<int>(server->m_sockets.size()) >= server->m_limits.connections) {
            ++server->m_counters.refused;
            resetConnection(*socket);
            continue;
        }
        ++server->m_counters.accepted;
        server->m_sockets.insert(socket);
        server->m_counters.mostOpen =
                std::max(server->m_counters.mostOpen, static_cast<int>(server->m_sockets.size()));
        asio::co_spawn(server->m_context, serveConnection(server, socket), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serveConnection(std::shared_ptr<HttpServer> server,
                                                  std::shared_ptr<Socket> socket)
{
    boost::system::error_code ignored;
    socket->set_option(tcp::no_delay(true), ignored);
    if (server->m_limits.newConnectionCost.count() > 0)
        co_await sleepFor(server->m_limits.newConnectionCost);
    boost::beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(kMaxBodyBytes);
        const auto [readError, readBytes] =
                co_await http::async_read(*socket, buffer, parser, kAwait);
        if (readError)
            break;
        keepAlive = parser.get().keep_alive();
        const auto version = parser.get().version();
        auto request = toRequest(parser.release());
        auto response = co_await server->m_handler(std::move(request));
        if (!response) {
            resetConnection(*socket);
            break;
        }
        auto message = toMessage(std::move(*response), version, keepAlive);
        const auto [writeError, written] = co_await http::async_write(*socket, message, kAwait);
        if (writeError)
            break;
    }
    socket->close(ignored);
    server->m_sockets.erase(socket);
}

} // namespace greengagestair::standins
