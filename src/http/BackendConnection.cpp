#include "http/BackendConnection.h"

#include "http/HttpFields.h"
#include "http/ServerStatementReader.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace greengagestair {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/** Maximum body size of one response, in bytes. */
static constexpr std::uint64_t kMaxResponseBytes = 16'777'216;
/** Maximum header size of one response, in bytes. */
static constexpr std::uint32_t kMaxResponseHeaderBytes = 65'536;
/** Maximum size of received bytes that the parser has not consumed: a line without its end. */
static constexpr std::size_t kMaxUnparsedBytes = 131'072;
/** Interim and stray responses that may precede the response to a request. */
static constexpr std::size_t kMaxSkippedResponses = 8;
/** A response up to this size is received even if the others have reached their joint bound. */
static constexpr std::size_t kGuaranteedResponseBytes = 65'536;
/** Larger bodies are shared by all attempts of a request; for smaller ones a copy costs less. */
static constexpr std::size_t kSharedBodyBytes = 16'384;
/** Idle timeout of a connection that has not carried a request yet. */
static constexpr std::chrono::seconds kUnusedConnectionTimeout(5);
/** Share of the idle timeout in the Keep-Alive field after which a connection is closed. */
static constexpr double kServerIdleTimeoutShare = 0.8;
static constexpr std::string_view kLineEnd = "\r\n";

BackendConnection::BackendConnection(BackendConnectionPool &pool, ServerId server,
                                     Endpoint endpoint)
    : m_pool(pool)
    , m_server(std::move(server))
    , m_endpoint(std::move(endpoint))
{
}

BackendConnection::~BackendConnection()
{
    resetReceived();
}

void BackendConnection::open(const StartAttempt &attempt)
{
    m_attempt = attempt;
    open();
}

void BackendConnection::open()
{
    m_connectingSocket = std::make_shared<TcpStream::Socket>(m_pool.m_context);
    error_code error;
    const auto address = asio::ip::make_address(m_endpoint.address, error);
    const asio::ip::tcp::endpoint remote(address, m_endpoint.port);
    if (!error)
        m_connectingSocket->open(remote.protocol(), error);
    const std::weak_ptr<BackendConnection> self = weak_from_this();
    if (error) {
        asio::post(m_pool.m_context, [self] {
            if (const auto connection = self.lock())
                connection->abort(AttemptFailure::NotSent);
        });
        return;
    }
    m_connectingSocket->async_connect(
            remote, [self, socket = m_connectingSocket](const error_code &connectError) {
                const auto connection = self.lock();
                if (!connection || connection->m_isClosed)
                    return;
                if (connectError)
                    connection->abort(AttemptFailure::NotSent);
                else
                    connection->onConnected(std::move(*socket));
            });
}

void BackendConnection::onConnected(TcpStream::Socket socket)
{
    m_connectingSocket.reset();
    configureSocket(socket);
    startStream(std::move(socket));
    if (m_attempt)
        return send(*m_attempt);
    m_idleUntil = Clock::now() + kUnusedConnectionTimeout;
    m_pool.finishOpening(shared_from_this(), true);
}

void BackendConnection::startStream(TcpStream::Socket socket)
{
    m_stream = std::make_shared<TcpStream>(std::move(socket));
    const std::weak_ptr<BackendConnection> self = weak_from_this();
    m_stream->start(
            [self](std::string_view bytes) {
                if (const auto connection = self.lock())
                    connection->onBytes(bytes);
            },
            [self](StreamEnd end) {
                if (const auto connection = self.lock())
                    connection->onEnd(end);
            });
}

void BackendConnection::resetParser()
{
    m_parser.emplace();
    m_headText.clear();
    m_parser->header_limit(kMaxResponseHeaderBytes);
    m_parser->body_limit(kMaxResponseBytes);
    if (m_attempt && m_attempt->request->method == "HEAD")
        m_parser->skip(true);
}

static bool sharesBody(const GatewayRequest &request)
{
    return request.body.size() > kSharedBodyBytes;
}

std::string BackendConnection::serialize(const StartAttempt &attempt)
{
    const GatewayRequest &request = *attempt.request;
    const HeaderNames &names = m_pool.m_names;
    const std::string &sharedHead = m_pool.sharedHead(attempt);
    const auto remainingMs =
            std::chrono::floor<std::chrono::milliseconds>(attempt.remaining).count();
    std::string text;
    constexpr std::size_t kOwnFieldBytes = 192;
    text.reserve(sharedHead.size() + kOwnFieldBytes
                 + (sharesBody(request) ? 0 : request.body.size()));
    const std::string deadline = std::to_string(std::max<long long>(remainingMs, 1));
    for (const std::string_view piece :
         { std::string_view(sharedHead), std::string_view(names.deadline), std::string_view(": "),
           std::string_view(deadline), kLineEnd, std::string_view(names.expectedServer),
           std::string_view(": "), std::string_view(m_server.value), kLineEnd })
        text += piece;
    const bool mayOmitContentLength = request.method == "GET" || request.method == "HEAD"
            || request.method == "DELETE" || request.method == "OPTIONS";
    if (!request.body.empty() || !mayOmitContentLength)
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n";
    if (!sharesBody(request))
        text += request.body;
    return text;
}

void BackendConnection::send(const StartAttempt &attempt)
{
    m_attempt = attempt;
    m_idleLimits = attempt.idleLimits;
    m_sentAt = Clock::now();
    resetReceived();
    resetParser();
    std::shared_ptr<const std::string> body;
    if (sharesBody(*attempt.request))
        body = { attempt.request, &attempt.request->body };
    if (m_stream->write(serialize(attempt), std::move(body)))
        return;
    // What may still arrive belongs to no request.
    m_stream->close();
    const std::weak_ptr<BackendConnection> self = weak_from_this();
    asio::post(m_pool.m_context, [self] {
        if (const auto connection = self.lock())
            connection->abort(AttemptFailure::NotSent);
    });
}

void BackendConnection::onBytes(std::string_view bytes)
{
    if (!m_attempt) {
        // No request is in progress, so later responses could not be matched to requests.
        ++m_pool.m_counters.strayResponses;
        abort(AttemptFailure::Corrupt);
        return;
    }
    countReceived(bytes.size());
    m_unparsed += bytes;
    parse();
    if (!m_attempt)
        return;
    if (const auto defect = exceededBound())
        reject(*defect);
}

void BackendConnection::countReceived(std::size_t bytes)
{
    m_receivedBytes += bytes;
    m_pool.m_bufferedBytes += bytes;
}

void BackendConnection::resetReceived()
{
    m_pool.m_bufferedBytes -= m_receivedBytes;
    m_receivedBytes = 0;
    m_skippedResponses = 0;
}

std::optional<ResponseDefect> BackendConnection::exceededBound() const
{
    if (m_unparsed.size() > kMaxUnparsedBytes)
        return ResponseDefect::TooLarge;
    const bool exceedsJointBound = m_pool.m_bufferedBytes > m_pool.m_maxBufferedBytes
            && m_receivedBytes > kGuaranteedResponseBytes;
    return exceedsJointBound ? std::optional(ResponseDefect::Memory) : std::nullopt;
}

static ResponseDefect defectOf(const error_code &error)
{
    switch (static_cast<http::error>(error.value())) {
    case http::error::bad_version:
    case http::error::bad_reason:
        return ResponseDefect::StatusLine;
    case http::error::bad_status:
        return ResponseDefect::Status;
    case http::error::bad_field:
        return ResponseDefect::FieldName;
    case http::error::bad_value:
    case http::error::bad_line_ending:
    case http::error::bad_obs_fold:
        return ResponseDefect::FieldValue;
    case http::error::bad_content_length:
    case http::error::multiple_content_length:
    case http::error::bad_transfer_encoding:
        return ResponseDefect::Framing;
    case http::error::header_limit:
    case http::error::body_limit:
    case http::error::buffer_overflow:
        return ResponseDefect::TooLarge;
    default:
        return ResponseDefect::Body;
    }
}

void BackendConnection::parse()
{
    while (m_attempt && !m_unparsed.empty()) {
        const bool isHead = !m_parser->is_header_done();
        error_code error;
        const std::size_t used = m_parser->put(asio::buffer(m_unparsed), error);
        if (isHead)
            m_headText.append(m_unparsed, 0, used);
        m_unparsed.erase(0, used);
        if (error == http::error::need_more)
            return;
        if (error)
            return reject(defectOf(error));
        if (isHead && m_parser->is_header_done()) {
            // The parser accepts any three digits as status, folded lines and all codings.
            auto head = parseResponseHead(std::exchange(m_headText, {}));
            if (const auto *defect = std::get_if<ResponseDefect>(&head))
                return reject(*defect);
            m_head = std::move(std::get<ResponseHead>(head));
            // Until here the parser stops after the head, so that m_headText holds nothing else.
            m_parser->eager(true);
        }
        if (m_parser->is_done())
            onResponse();
        else if (used == 0)
            return;
    }
}

void BackendConnection::reject(ResponseDefect defect)
{
    m_pool.m_observer.onMalformedResponse({ ResponseSource::BackendServer, m_server.value,
                                            m_attempt->request->requestId, defect });
    abort(AttemptFailure::Corrupt);
}

void BackendConnection::onEnd(StreamEnd end)
{
    if (!m_attempt) {
        ++m_pool.m_counters.closedIdleByServer;
        abort(AttemptFailure::Lost);
        return m_pool.onIdleLost(m_server);
    }
    const bool isEndedByClose = end == StreamEnd::Closed && m_parser->is_header_done()
            && !m_parser->is_done() && m_parser->need_eof();
    if (isEndedByClose) {
        error_code error;
        m_parser->put_eof(error);
        if (!error && m_parser->is_done())
            return onResponse();
    }
    abort(AttemptFailure::Lost);
}

/** True if the response belongs to an earlier request of this connection. */
bool BackendConnection::isStray() const
{
    const std::string_view echoed = fieldValue(m_head.fields, m_pool.m_names.requestId);
    return !echoed.empty() && echoed != m_attempt->request->requestId;
}

void BackendConnection::onResponse()
{
    const bool isInterim = m_head.status < 200;
    if (isInterim || isStray()) {
        if (!isInterim)
            ++m_pool.m_counters.strayResponses;
        const bool keepsAlive = m_parser->keep_alive();
        resetParser();
        if (!keepsAlive)
            abort(AttemptFailure::Lost);
        else if (++m_skippedResponses > kMaxSkippedResponses)
            reject(ResponseDefect::Unmatched);
        return;
    }
    readIdleTimeout();
    const bool isReusable =
            m_parser->keep_alive() && m_unparsed.empty() && !m_stream->hasUnsentBytes();
    finish(takeAnswer(), isReusable);
}

void BackendConnection::readIdleTimeout()
{
    const std::string_view value = fieldValue(m_head.fields, "Keep-Alive");
    const std::size_t at = value.find("timeout=");
    if (at == std::string_view::npos)
        return;
    const std::string_view digits = value.substr(at + std::string_view("timeout=").size());
    int seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec == std::errc())
        m_serverIdleTimeout = std::chrono::seconds(seconds);
}

/** Takes the fields from the head only: the parser's message also has those of the trailer. */
BackendAnswer BackendConnection::takeAnswer()
{
    const HeaderNames &names = m_pool.m_names;
    const Headers &fields = m_head.fields;
    BackendAnswer answer;
    answer.status = m_head.status;
    answer.reason = std::move(m_head.reason);
    answer.signature = std::string(fieldValue(fields, names.signature));
    constexpr int kMisdirectedRequest = 421;
    const bool statesNotExecuted =
            std::any_of(fields.begin(), fields.end(), [&](const HeaderField &field) {
                return equalsIgnoringCase(field.name, names.notExecuted);
            });
    answer.notExecuted = statesNotExecuted || answer.status == kMisdirectedRequest;
    answer.statement = readServerStatement(answer.status, fields, names);
    answer.headers = endToEndFields(std::move(m_head.fields));
    answer.body = std::move(m_parser->get().body());
    return answer;
}

void BackendConnection::finish(AttemptResult result, bool isReusable)
{
    const AttemptId attempt = m_attempt->attempt;
    const auto self = shared_from_this();
    m_attempt.reset();
    resetReceived();
    if (isReusable) {
        const Clock::time_point now = Clock::now();
        m_idleUntil = now + m_idleLimits.idleTime;
        if (m_serverIdleTimeout.count() > 0) {
            const auto maxIdleTime = std::chrono::duration_cast<Clock::duration>(
                    m_serverIdleTimeout * kServerIdleTimeoutShare);
            m_idleUntil = std::min(m_idleUntil, now + maxIdleTime);
        }
        m_pool.keepIdle(self);
    } else {
        ++m_pool.m_counters.closedAfterResponse;
        m_isClosed = true;
        m_stream->close();
    }
    m_pool.endAttempt(attempt, std::move(result));
}

void BackendConnection::abort(AttemptFailure failure)
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    const auto self = shared_from_this();
    error_code ignored; // Nothing can be done about a failed close.
    if (m_connectingSocket)
        m_connectingSocket->close(ignored);
    if (m_stream)
        m_stream->close();
    if (!m_attempt)
        return m_pool.finishOpening(self, false);
    ++m_pool.m_counters.closedByFailure;
    const AttemptId attempt = m_attempt->attempt;
    m_attempt.reset();
    resetReceived();
    m_unparsed = {};
    m_pool.endAttempt(attempt, failure);
}

} // namespace greengagestair
