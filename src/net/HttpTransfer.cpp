#include "net/HttpTransfer.h"

#include "net/EndpointText.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace greengagestair {

/** Idle time and interval of the TCP keep-alive probes, for requests that enable them. */
static constexpr long kKeepAliveProbeSeconds = 1;

/** Maximum size of all heads and the trailer of one response, in bytes. */
static constexpr std::size_t kMaxLineBytes = 65'536;
/** A response up to this size is received even if all together exceed their bound. */
static constexpr std::size_t kGuaranteedResponseBytes = 65'536;

static long ceilMilliseconds(Duration duration)
{
    return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

/** Prevents header injection: a line break in a value would start another header. */
static void replaceControlCharacters(std::string &header)
{
    std::replace_if(
            header.begin(), header.end(),
            [](char c) { return static_cast<unsigned char>(c) < 0x20; }, '?');
}

HttpTransfer::HttpTransfer(HttpRequest request, HttpCallback callback, ResponseAccount &account)
    : m_request(std::move(request))
    , m_callback(std::move(callback))
    , m_account(account)
{
}

HttpTransfer::~HttpTransfer()
{
    releaseReceived();
}

void HttpTransfer::releaseReceived()
{
    m_account.remove(std::exchange(m_receivedBytes, 0));
    m_headText = {};
    m_response.body = {};
}

bool HttpTransfer::prepare()
{
    const MonotonicTime now = steadyNow();
    if (now > m_request.notAfter || now >= m_request.deadline)
        return false;
    m_handle.reset(curl_easy_init());
    if (!m_handle)
        return false;
    CURL *handle = m_handle.get();
    m_url = "http://" + toText(m_request.endpoint) + m_request.target;
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_URL, m_url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &HttpTransfer::onPreRequest);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &HttpTransfer::onOpenSocket);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &HttpTransfer::onBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    if (m_request.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, m_request.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    }
    if (m_request.sendKeepAliveProbes) {
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, kKeepAliveProbeSeconds);
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, kKeepAliveProbeSeconds);
    }
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, m_request.useNewConnection ? 1L : 0L);
    if (m_request.maxIdleTime) {
        const auto seconds = static_cast<long>(m_request.maxIdleTime->count());
        curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, seconds);
    }
    setTimeouts(m_request.deadline - now);
    setHeaders();
    return true;
}

void HttpTransfer::setTimeouts(Duration remaining)
{
    const long connectTimeoutMs = std::max(1L, ceilMilliseconds(m_request.connectTimeout));
    curl_easy_setopt(m_handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(m_handle.get(), CURLOPT_TIMEOUT_MS, ceilMilliseconds(remaining));
    if (!m_request.deadlineHeader.empty()) {
        const auto remainingMs = std::chrono::floor<std::chrono::milliseconds>(remaining).count();
        m_request.headers.push_back(m_request.deadlineHeader + ": " + std::to_string(remainingMs));
    }
}

void HttpTransfer::setHeaders()
{
    // Without this, libcurl waits for "100 Continue" before it sends a large body.
    m_request.headers.emplace_back("Expect:");
    if (m_request.method != "GET")
        m_request.headers.push_back("Content-Type: " + m_request.contentType);
    for (std::string &header : m_request.headers) {
        replaceControlCharacters(header);
        curl_slist *extended = curl_slist_append(m_headers.get(), header.c_str());
        if (extended && !m_headers)
            m_headers.reset(extended);
    }
    curl_easy_setopt(m_handle.get(), CURLOPT_HTTPHEADER, m_headers.get());
}

/**
 * libcurl calls this when the connection is ready, directly before it sends the request. When a
 * reused connection is closed before the first byte of the response, libcurl repeats the request by
 * itself; this function aborts the transfer when it is called for the second time.
 */
int HttpTransfer::onPreRequest(void *self, char *, char *, int, int)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->m_mayHaveBeenSent || steadyNow() > transfer->m_request.notAfter)
        return CURL_PREREQFUNC_ABORT;
    transfer->m_mayHaveBeenSent = true;
    return CURL_PREREQFUNC_OK;
}

/** Refuses a new connection after the request may have been sent, since libcurl would use it only
 * to repeat the request. */
curl_socket_t HttpTransfer::onOpenSocket(void *self, curlsocktype, curl_sockaddr *address)
{
    if (static_cast<HttpTransfer *>(self)->m_mayHaveBeenSent)
        return CURL_SOCKET_BAD;
    return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

static std::string toLowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

std::size_t HttpTransfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    const std::string_view line(data, size * count);
    return static_cast<HttpTransfer *>(self)->acceptLine(line) ? line.size() : 0;
}

/**
 * libcurl passes each line of each head as it was received, and the lines of the trailer after the
 * body. It accepts far more than a response may contain, so each complete head is checked here.
 */
bool HttpTransfer::acceptLine(std::string_view line)
{
    m_lineBytes += line.size();
    if (m_lineBytes > kMaxLineBytes)
        return reject(ResponseDefect::TooLarge);
    if (!countReceived(line.size()))
        return false;
    if (m_isHeadComplete)
        return acceptTrailerLine(line);
    m_headText += line;
    const bool isLastLine = line == "\r\n" || line == "\n";
    return !isLastLine || acceptHead(std::exchange(m_headText, {}));
}

bool HttpTransfer::countReceived(std::size_t bytes)
{
    m_account.add(bytes);
    m_receivedBytes += bytes;
    if (m_account.exceedsLimit() && m_receivedBytes > kGuaranteedResponseBytes)
        return reject(ResponseDefect::Memory);
    return true;
}

bool HttpTransfer::acceptHead(std::string_view text)
{
    auto parsed = parseResponseHead(text);
    if (const auto *defect = std::get_if<ResponseDefect>(&parsed))
        return reject(*defect);
    auto &head = std::get<ResponseHead>(parsed);
    constexpr int kOk = 200;
    const bool isInterim = head.status < kOk;
    if (isInterim)
        return true;
    m_isHeadComplete = true;
    m_response.status = head.status;
    for (HeaderField &field : head.fields)
        m_response.headers[toLowerCase(std::move(field.name))] = std::move(field.value);
    return true;
}

/** Checks a field of the trailer and drops it: it must not be taken for a field of the head. */
bool HttpTransfer::acceptTrailerLine(std::string_view line)
{
    constexpr std::string_view kLineEnd = "\r\n";
    if (line == kLineEnd)
        return true;
    if (!line.ends_with(kLineEnd))
        return reject(ResponseDefect::FieldValue);
    line.remove_suffix(kLineEnd.size());
    const auto parsed = parseFieldLine(line);
    const auto *defect = std::get_if<ResponseDefect>(&parsed);
    return !defect || reject(*defect);
}

bool HttpTransfer::reject(ResponseDefect defect)
{
    m_response.defect = defect;
    // Other responses may need the memory before libcurl has ended this transfer.
    releaseReceived();
    return false;
}

std::size_t HttpTransfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    const std::size_t bytes = size * count;
    std::string &body = transfer->m_response.body;
    if (body.size() + bytes > transfer->m_request.maxResponseBytes) {
        transfer->reject(ResponseDefect::TooLarge);
        return 0;
    }
    if (!transfer->countReceived(bytes))
        return 0;
    body.append(data, bytes);
    return bytes;
}

std::optional<ResponseDefect> HttpTransfer::defectOf(CURLcode code) const
{
    switch (code) {
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return m_headText.empty() ? ResponseDefect::StatusLine : ResponseDefect::Head;
    case CURLE_BAD_CONTENT_ENCODING:
        return ResponseDefect::Framing;
    case CURLE_BAD_FUNCTION_ARGUMENT: // a line of the trailer without a colon
        return ResponseDefect::Body;
    case CURLE_OUT_OF_MEMORY: // also reported for a line that exceeds libcurl's own limit
        return ResponseDefect::TooLarge;
    case CURLE_RECV_ERROR: {
        // Reported for a failed socket, too, but then with the error of the system.
        long systemError = 0;
        curl_easy_getinfo(m_handle.get(), CURLINFO_OS_ERRNO, &systemError);
        return systemError == 0 ? std::optional(ResponseDefect::Body) : std::nullopt;
    }
    default:
        return std::nullopt;
    }
}

HttpCompletion HttpTransfer::completionOf(CURLcode code) const
{
    // libcurl reports success, too, if the connection ends within the head.
    if (code == CURLE_OK)
        return m_isHeadComplete ? HttpCompletion::Answered : HttpCompletion::ConnectionLost;
    if (!m_mayHaveBeenSent)
        return HttpCompletion::NotSent;
    if (m_response.defect)
        return HttpCompletion::Invalid;
    if (code == CURLE_OPERATION_TIMEDOUT)
        return HttpCompletion::TimedOut;
    return HttpCompletion::ConnectionLost;
}

void HttpTransfer::finish(CURLcode code)
{
    if (code != CURLE_OK && m_mayHaveBeenSent && !m_response.defect)
        m_response.defect = defectOf(code);
    m_response.end = completionOf(code);
    if (m_response.end != HttpCompletion::Answered) {
        m_response.status = 0;
        m_response.headers.clear();
        releaseReceived();
    }
    m_callback(std::move(m_response));
}

void HttpTransfer::abort()
{
    finish(CURLE_ABORTED_BY_CALLBACK);
}

std::optional<std::uint64_t> HttpResponse::number(const std::string &header) const
{
    const auto found = headers.find(header);
    if (found == headers.end())
        return std::nullopt;
    const std::string &text = found->second;
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || parsedEnd != end)
        return std::nullopt;
    return value;
}

} // namespace greengagestair
