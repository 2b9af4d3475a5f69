#include "http/HttpServerConnection.h"

#include "http/HttpFields.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace greengagestair {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

/** Time that a caller has to close its side after the last response of a connection. */
static constexpr std::chrono::seconds kLingerTimeout(1);
/** Maximum number of bytes of later requests that are buffered while one is in progress. */
static constexpr std::size_t kMaxReadAheadBytes = 65'536;
/** Maximum number of header fields of one request. */
static constexpr std::size_t kMaxHeaderFields = 128;

HttpServerConnection::HttpServerConnection(std::uint64_t id, TcpStream::Socket socket,
                                           HttpServer &server)
    : m_id(id)
    , m_server(server)
    , m_stream(std::make_shared<TcpStream>(std::move(socket)))
    , m_stateSince(steady_clock::now())
{
    resetParser();
}

void HttpServerConnection::start()
{
    const std::weak_ptr<HttpServerConnection> self = weak_from_this();
    m_stream->start(
            [self](std::string_view bytes) {
                if (const auto connection = self.lock())
                    connection->onBytes(bytes);
            },
            [self](StreamEnd) {
                if (const auto connection = self.lock())
                    connection->onEnd();
            });
}

void HttpServerConnection::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(m_server.limits().maxHeaderBytes));
    m_parser->body_limit(m_server.limits().maxBodyBytes);
    m_continueSent = false;
}

void HttpServerConnection::onBytes(std::string_view bytes)
{
    // Drops bytes after the last response. If they stayed unread, closing the socket would reset
    // the connection and the caller could lose the response.
    if (m_isClosing)
        return;
    if (m_unparsed.empty() && !m_exchange && !m_parser->got_some())
        m_stateSince = steady_clock::now();
    m_unparsed += bytes;
    if (m_exchange) {
        if (m_unparsed.size() > kMaxReadAheadBytes)
            m_stream->setReading(false);
        return;
    }
    parse();
}

static int statusOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return 413;
    if (error == http::error::header_limit)
        return 431;
    return 400;
}

void HttpServerConnection::parse()
{
    while (!m_unparsed.empty() && !m_parser->is_done()) {
        boost::system::error_code error;
        const std::size_t used = m_parser->put(boost::asio::buffer(m_unparsed), error);
        m_unparsed.erase(0, used);
        if (error == http::error::need_more) {
            // What the parser does not consume is a line without its end: of the header, of a chunk
            // or of the trailer.
            if (m_unparsed.size() > m_server.limits().maxHeaderBytes)
                return rejectRequest(m_parser->is_header_done() ? 400 : 431);
            break;
        }
        if (error)
            return rejectRequest(statusOf(error));
    }
    if (m_parser->is_header_done() && hasAmbiguousFraming())
        return rejectRequest(400);
    if (m_parser->is_done())
        return dispatchRequest();
    if (m_parser->is_header_done() && !m_continueSent) {
        m_continueSent = true;
        if (equalsIgnoringCase(m_parser->get()[http::field::expect], "100-continue"))
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

/** True if another parser could frame the request differently (request smuggling), or if the
 * request has too many header fields. */
bool HttpServerConnection::hasAmbiguousFraming() const
{
    const auto &message = m_parser->get();
    const bool hasLength = message.count(http::field::content_length) > 0;
    const bool hasCoding = message.count(http::field::transfer_encoding) > 0;
    const bool hasOtherCoding =
            hasCoding && !equalsIgnoringCase(message[http::field::transfer_encoding], "chunked");
    return (hasLength && hasCoding) || hasOtherCoding
            || message.count(http::field::content_length) > 1
            || message.count(http::field::host) > 1
            || static_cast<std::size_t>(std::distance(message.begin(), message.end()))
            > kMaxHeaderFields;
}

void HttpServerConnection::dispatchRequest()
{
    auto message = m_parser->release();
    m_keepAlive = message.keep_alive();
    m_isHeadRequest = message.method() == http::verb::head;
    HttpServerRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    resetParser();
    m_stateSince = steady_clock::now();
    const auto self = shared_from_this();
    m_exchange = m_server.beginExchange(self);
    m_server.m_handler.onRequest(*m_exchange, std::move(request));
}

void HttpServerConnection::reply(const HttpServerResponse &response)
{
    m_exchange.reset();
    m_stateSince = steady_clock::now();
    const bool closesConnection = !m_keepAlive || m_server.closesAfterResponse();
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    if (response.reason.empty())
        text += http::obsolete_reason(static_cast<http::status>(response.status));
    else
        text += response.reason;
    text += "\r\n";
    for (const HeaderField &field : response.headers)
        text += field.name + ": " + field.value + "\r\n";
    const bool hasBody = response.status >= 200 && response.status != 204 && response.status != 304;
    if (hasBody)
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (closesConnection)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (hasBody && !m_isHeadRequest)
        text += response.body;
    const bool isSent = m_stream->write(std::move(text));
    if (!isSent)
        return close();
    if (closesConnection)
        return closeGracefully();
    m_stream->setReading(true);
    if (!m_unparsed.empty())
        parse();
}

void HttpServerConnection::rejectRequest(int status)
{
    m_server.m_handler.onBadRequest(status);
    m_keepAlive = false;
    m_isHeadRequest = false;
    HttpServerResponse response;
    response.status = status;
    reply(response);
}

void HttpServerConnection::closeGracefully()
{
    m_isClosing = true;
    m_unparsed.clear();
    m_stream->finishWriting();
    m_stream->setReading(true);
}

bool HttpServerConnection::isIdle() const
{
    return !m_exchange && m_unparsed.empty() && !m_stream->hasUnsentBytes()
            && !m_stream->hasUnreadBytes();
}

void HttpServerConnection::onEnd()
{
    close();
}

void HttpServerConnection::close()
{
    const auto self = shared_from_this();
    m_stream->close();
    if (m_exchange) {
        m_server.m_exchanges.erase(*m_exchange);
        m_server.m_handler.onCallerDisconnected(*m_exchange);
        m_exchange.reset();
    }
    m_server.remove(m_id);
}

void HttpServerConnection::checkTimeouts(steady_clock::time_point now)
{
    if (m_exchange)
        return;
    const std::size_t unsentBytes = m_stream->unsentBytes();
    if (unsentBytes < m_unsentBytes)
        m_stateSince = now;
    m_unsentBytes = unsentBytes;
    const auto age = now - m_stateSince;
    if (unsentBytes > 0) {
        if (age > m_server.limits().idleTimeout)
            close();
        return;
    }
    const bool isReading = !m_unparsed.empty() || m_parser->got_some();
    if (m_isClosing) {
        if (age > kLingerTimeout)
            close();
    } else if (isReading) {
        const Duration limit = m_parser->is_header_done() ? m_server.limits().idleTimeout
                                                          : m_server.limits().headerTimeout;
        if (age > limit)
            rejectRequest(408);
    } else if (age > m_server.limits().idleTimeout) {
        close();
    }
}

} // namespace greengagestair
