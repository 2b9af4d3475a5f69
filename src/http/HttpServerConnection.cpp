#include "http/HttpServerConnection.h"

#include "http/HttpFields.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <utility>

namespace greengagestair {

namespace http = boost::beast::http;
using std::chrono::steady_clock;

/** Time that a caller has to close its side after the last response of a connection. */
static constexpr std::chrono::seconds kLingerTimeout(1);
/**
 * Reading stops beyond this number of bytes of later requests while one is in progress. Together
 * with one read of 8 KB, 3,000 connections hold 36 MB in this way; with the former 64 KB it were
 * 220 MB.
 */
static constexpr std::size_t kMaxReadAheadBytes = 4096;
/**
 * Receive buffer of a connection whose reading is paused, in bytes; the kernel doubles it. Without
 * it the kernel would go on taking up to several megabytes from each paused caller.
 */
static constexpr int kPausedReceiveBuffer = 8192;
/** Receive buffer of a connection that continues; fits 64 KB of window after the doubling. */
static constexpr int kResumedReceiveBuffer = 65'536;
/** Maximum number of header fields of one request. */
static constexpr std::size_t kMaxHeaderFields = 128;

HttpServerConnection::HttpServerConnection(std::uint64_t id, TcpStream::Socket socket,
                                           HttpServer &server)
    : m_id(id)
    , m_server(server)
    , m_stream(std::make_shared<TcpStream>(std::move(socket)))
    , m_limits(server.limits())
    , m_onChunkHeader([this](std::uint64_t bytes, std::string_view,
                             boost::system::error_code &error) { checkChunk(bytes, error); })
    , m_stateSince(steady_clock::now())
{
    m_share.emplace(server.m_account, static_cast<AccountedCaller &>(*this), m_stateSince);
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
            },
            [self] {
                if (const auto connection = self.lock())
                    connection->onDrained();
            });
}

void HttpServerConnection::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->on_chunk_header(m_onChunkHeader);
    m_hasBegunRequest = false;
    m_continueSent = false;
    m_headerBytes = 0;
    m_bodyBytes = 0;
}

void HttpServerConnection::raiseLimits()
{
    const CallerLimits &newest = m_server.limits();
    m_limits.maxHeaderBytes = std::max(m_limits.maxHeaderBytes, newest.maxHeaderBytes);
    m_limits.maxBodyBytes = std::max(m_limits.maxBodyBytes, newest.maxBodyBytes);
    m_limits.headerTimeout = std::max(m_limits.headerTimeout, newest.headerTimeout);
    m_limits.idleTimeout = std::max(m_limits.idleTimeout, newest.idleTimeout);
}

/** Limits a chunked body. The parser's own limit cannot be raised within such a body. */
void HttpServerConnection::checkChunk(std::uint64_t bytes, boost::system::error_code &error) const
{
    const std::size_t received = m_parser->get().body().size();
    if (bytes > m_limits.maxBodyBytes - std::min(received, m_limits.maxBodyBytes))
        error = http::error::body_limit;
}

void HttpServerConnection::onBytes(std::string_view bytes)
{
    // Drops bytes after the last response. If they stayed unread, closing the socket would reset
    // the connection and the caller could lose the response.
    if (m_isClosing)
        return;
    const auto now = steady_clock::now();
    if (!m_exchange && !isReceiving())
        m_stateSince = now;
    if (mayParse())
        parse(bytes);
    else
        readAhead(bytes);
    updateShare(now);
    m_server.relieveIfShort(now);
}

void HttpServerConnection::readAhead(std::string_view bytes)
{
    m_unparsed += bytes;
    if (m_unparsed.size() > kMaxReadAheadBytes)
        m_stream->setReading(false);
}

/** Parses the next request of the bytes that were read ahead, and reads on. */
void HttpServerConnection::parseReadAhead()
{
    if (!m_unparsed.empty())
        parse({});
    // While the next request is in progress, the bytes behind it must not grow with each answer.
    if (mayParse() || m_unparsed.size() <= kMaxReadAheadBytes)
        m_stream->setReading(true);
}

/** The caller has taken all answers: the next request may follow. */
void HttpServerConnection::onDrained()
{
    if (m_isClosing || m_exchange)
        return;
    const auto now = steady_clock::now();
    m_stateSince = now;
    parseReadAhead();
    updateShare(now);
    m_server.relieveIfShort(now);
}

static int statusOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit)
        return 413;
    if (error == http::error::header_limit)
        return 431;
    return 400;
}

/**
 * Passes bytes to the parser and removes those that it consumes. Returns the status with which the
 * request is to be rejected, or 0.
 */
int HttpServerConnection::feed(std::string_view &bytes)
{
    if (!bytes.empty() && !std::exchange(m_hasBegunRequest, true))
        m_limits = m_server.limits();
    raiseLimits();
    m_parser->header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
    if (m_parser->is_header_done())
        m_parser->body_limit(boost::none);
    else
        m_parser->body_limit(m_limits.maxBodyBytes);
    while (!bytes.empty() && !m_parser->is_done()) {
        boost::system::error_code error;
        const bool isHeader = !m_parser->is_header_done();
        const std::size_t used =
                m_parser->put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        bytes.remove_prefix(used);
        if (isHeader) {
            m_headerBytes += used;
            // The body has its own time, however long the header took.
            if (m_parser->is_header_done())
                m_stateSince = steady_clock::now();
        }
        if (error == http::error::need_more) {
            // What the parser does not consume is a line without its end: of the header, of a chunk
            // or of the trailer.
            if (bytes.size() > m_limits.maxHeaderBytes)
                return m_parser->is_header_done() ? 400 : 431;
            break;
        }
        if (error)
            return statusOf(error);
    }
    return m_parser->is_header_done() && hasAmbiguousFraming() ? 400 : 0;
}

/** Parses what was left over together with `bytes`. */
void HttpServerConnection::parse(std::string_view bytes)
{
    int status = 0;
    if (m_unparsed.empty()) {
        status = feed(bytes);
        m_unparsed = bytes;
    } else {
        m_unparsed += bytes;
        std::string_view rest = m_unparsed;
        status = feed(rest);
        m_unparsed.erase(0, m_unparsed.size() - rest.size());
        if (m_unparsed.empty())
            std::string().swap(m_unparsed);
    }
    if (status != 0)
        return rejectRequest(status);
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
    if (m_server.m_account.isFull()) {
        ++m_server.m_refusedRequests;
        return refuse(503);
    }
    m_requestBytes = incompleteBytes();
    m_hasServed = true;
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
    updateShare(m_stateSince);
    m_server.m_handler.onRequest(*m_exchange, std::move(request));
}

void HttpServerConnection::reply(const HttpServerResponse &response)
{
    m_exchange.reset();
    m_requestBytes = 0;
    m_stateSince = steady_clock::now();
    m_limits = m_server.limits();
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
    if (closesConnection) {
        closeGracefully();
    } else if (mayParse()) {
        parseReadAhead();
    }
    updateShare(m_stateSince);
}

void HttpServerConnection::rejectRequest(int status)
{
    m_server.m_handler.onBadRequest(status);
    refuse(status);
}

/** Answers a request that was not passed on, and closes the connection. */
void HttpServerConnection::refuse(int status)
{
    m_keepAlive = false;
    m_isHeadRequest = false;
    HttpServerResponse response;
    response.status = status;
    reply(response);
}

void HttpServerConnection::closeGracefully()
{
    m_isClosing = true;
    std::string().swap(m_unparsed);
    resetParser();
    m_stream->finishWriting();
    m_stream->setReading(true);
}

void HttpServerConnection::endForShortage(ShortageReason reason)
{
    const auto self = shared_from_this();
    if (!isReceiving() || m_exchange || m_stream->hasUnsentBytes())
        return close();
    refuse(503);
    // The place of the connection is needed at once.
    if (reason == ShortageReason::Connections)
        close();
}

void HttpServerConnection::resumeReading()
{
    m_stream->setReceiveBuffer(kResumedReceiveBuffer);
    m_stream->setReading(true);
}

/** What the incomplete request holds. Parsed headers take about twice their size. */
std::size_t HttpServerConnection::incompleteBytes() const
{
    const std::size_t body = m_parser->is_header_done() ? m_parser->get().body().capacity() : 0;
    return (m_unparsed.empty() ? 0 : m_unparsed.capacity()) + 2 * m_headerBytes + body;
}

CallerStage HttpServerConnection::stage() const
{
    if (m_exchange)
        return CallerStage::InProgress;
    if (m_stream->hasUnsentBytes())
        return CallerStage::Sending;
    if (m_isClosing)
        return CallerStage::InProgress;
    if (isReceiving())
        return CallerStage::Receiving;
    return m_hasServed ? CallerStage::Idle : CallerStage::New;
}

/** Tells the account what the connection holds now, and stops reading if it must. */
void HttpServerConnection::updateShare(Time now)
{
    if (!m_share)
        return;
    m_share->setStage(stage(), now);
    m_share->hold(HeldKind::Unsent, m_stream->bufferedBytes(), now);
    m_share->hold(HeldKind::InProgress, m_requestBytes, now);
    m_share->hold(HeldKind::Incomplete, incompleteBytes(), now);
    const std::size_t bodyBytes = m_parser->is_header_done() ? m_parser->get().body().size() : 0;
    m_share->addProgress(bodyBytes - std::min(bodyBytes, m_bodyBytes), now);
    m_bodyBytes = bodyBytes;
    if (!m_isClosing && m_share->mustPause()) {
        m_share->pause();
        m_stream->setReceiveBuffer(kPausedReceiveBuffer);
        m_stream->setReading(false);
    }
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
    m_share.reset();
    if (m_exchange) {
        m_server.m_exchanges.erase(*m_exchange);
        m_server.m_handler.onCallerDisconnected(*m_exchange);
        m_exchange.reset();
    }
    m_server.remove(m_id);
}

void HttpServerConnection::checkTimeouts(steady_clock::time_point now)
{
    if (m_exchange || !m_share)
        return;
    const std::size_t unsentBytes = m_stream->unsentBytes();
    if (unsentBytes < m_unsentBytes) {
        m_stateSince = now;
        m_share->addProgress(m_unsentBytes - unsentBytes, now);
    }
    m_unsentBytes = unsentBytes;
    m_share->hold(HeldKind::Unsent, m_stream->bufferedBytes(), now);
    raiseLimits();
    const auto age = now - m_stateSince;
    if (unsentBytes > 0) {
        if (age > m_limits.idleTimeout)
            close();
        return;
    }
    if (m_isClosing) {
        if (age > kLingerTimeout)
            close();
    } else if (isReceiving()) {
        const Duration limit =
                m_parser->is_header_done() ? m_limits.idleTimeout : m_limits.headerTimeout;
        if (age > limit)
            rejectRequest(408);
    } else if (age > m_limits.idleTimeout) {
        close();
    }
}

} // namespace greengagestair
