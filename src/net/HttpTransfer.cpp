#include "net/HttpTransfer.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

namespace greengagestair {

/** Interval of keep-alive probes on connections that are to notice a silent peer. */
static constexpr long kProbeSeconds = 1;

/** Bound on the headers of one response. */
static constexpr std::size_t kMaxHeaders = 64;

static long wholeMilliseconds(Duration duration)
{
    return static_cast<long>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

static std::string urlOf(const HttpRequest &request)
{
    const std::string &address = request.endpoint.address;
    const bool version6 = address.find(':') != std::string::npos;
    return "http://" + (version6 ? "[" + address + "]" : address) + ":"
            + std::to_string(request.endpoint.port) + request.target;
}

/** A line break in a name would start another header. */
static void replaceControlCharacters(std::string &header)
{
    std::replace_if(
            header.begin(), header.end(),
            [](char c) { return static_cast<unsigned char>(c) < 0x20; }, '?');
}

HttpTransfer::HttpTransfer(HttpRequest request, HttpCallback done)
    : m_request(std::move(request))
    , m_done(std::move(done))
{
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
    m_url = urlOf(m_request);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_URL, m_url.c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &HttpTransfer::onPrepared);
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
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPIDLE, kProbeSeconds);
        curl_easy_setopt(handle, CURLOPT_TCP_KEEPINTVL, kProbeSeconds);
    }
    setLimits(m_request.deadline - now);
    setHeaders();
    return true;
}

void HttpTransfer::setLimits(Duration remaining)
{
    const long connectLimit = std::max(1L, wholeMilliseconds(m_request.connectTimeout));
    curl_easy_setopt(m_handle.get(), CURLOPT_CONNECTTIMEOUT_MS, connectLimit);
    curl_easy_setopt(m_handle.get(), CURLOPT_TIMEOUT_MS, wholeMilliseconds(remaining));
    if (!m_request.deadlineHeader.empty()) {
        const auto left = std::chrono::floor<std::chrono::milliseconds>(remaining).count();
        m_request.headers.push_back(m_request.deadlineHeader + ": " + std::to_string(left));
    }
}

void HttpTransfer::setHeaders()
{
    // Without this, libcurl waits for "100 Continue" before a large body.
    m_request.headers.emplace_back("Expect:");
    if (m_request.method != "GET")
        m_request.headers.push_back("Content-Type: " + m_request.contentType);
    for (std::string &header : m_request.headers) {
        replaceControlCharacters(header);
        curl_slist *longer = curl_slist_append(m_headers.get(), header.c_str());
        if (longer && !m_headers)
            m_headers.reset(longer);
    }
    curl_easy_setopt(m_handle.get(), CURLOPT_HTTPHEADER, m_headers.get());
}

/**
 * libcurl calls this with the connection ready, right before it sends the request. It sends a
 * request again without being asked to when a kept-open connection is closed before the first byte
 * of the response; the second call prevents that.
 */
int HttpTransfer::onPrepared(void *self, char *, char *, int, int)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->m_maySend || steadyNow() > transfer->m_request.notAfter)
        return CURL_PREREQFUNC_ABORT;
    transfer->m_maySend = true;
    return CURL_PREREQFUNC_OK;
}

/** Refuses a connection that could only serve to send the request again. */
curl_socket_t HttpTransfer::onOpenSocket(void *self, curlsocktype, curl_sockaddr *address)
{
    if (static_cast<HttpTransfer *>(self)->m_maySend)
        return CURL_SOCKET_BAD;
    return socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
}

static std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    });
    return text;
}

static std::string trimmed(std::string_view text)
{
    constexpr std::string_view kSpace = " \t\r\n";
    const std::size_t begin = text.find_first_not_of(kSpace);
    if (begin == std::string_view::npos)
        return {};
    return std::string(text.substr(begin, text.find_last_not_of(kSpace) - begin + 1));
}

std::size_t HttpTransfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &headers = static_cast<HttpTransfer *>(self)->m_response.headers;
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/"))
        headers.clear(); // an informational response came before
    else if (colon != std::string_view::npos && headers.size() < kMaxHeaders)
        headers[lowerCase(std::string(line.substr(0, colon)))] = trimmed(line.substr(colon + 1));
    return size * count;
}

std::size_t HttpTransfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    const std::size_t bytes = size * count;
    std::string &body = transfer->m_response.body;
    if (body.size() + bytes > transfer->m_request.maxResponseBytes) {
        transfer->m_tooLarge = true;
        return 0;
    }
    body.append(data, bytes);
    return bytes;
}

HttpCompletion HttpTransfer::endOf(CURLcode code) const
{
    if (code == CURLE_OK)
        return HttpCompletion::Answered;
    if (!m_maySend)
        return HttpCompletion::NotSent;
    if (m_tooLarge)
        return HttpCompletion::Invalid;
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return HttpCompletion::TimedOut;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING:
        return HttpCompletion::Invalid;
    default:
        return HttpCompletion::ConnectionLost;
    }
}

void HttpTransfer::finish(CURLcode code)
{
    m_response.end = endOf(code);
    long status = 0;
    if (m_handle)
        curl_easy_getinfo(m_handle.get(), CURLINFO_RESPONSE_CODE, &status);
    m_response.status = static_cast<int>(status);
    m_done(std::move(m_response));
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
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

} // namespace greengagestair
