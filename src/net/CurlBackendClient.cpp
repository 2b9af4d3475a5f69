#include "net/CurlBackendClient.h"

#include "net/UrlEscape.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace greengagestair {

/** Connecting to a backend server normally takes 1 to 6 ms; a server that takes longer than this is
 * considered unreachable. */
static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);

/** A cancellation that takes longer than this has no effect any more. */
static constexpr Duration kCancelTimeout = std::chrono::milliseconds(1000);

/** Limit on the versions that are read from one X-Held-Versions header. */
static constexpr std::size_t kMaxHeldVersions = 64;

static std::string headerOf(const HttpResponse &response, const std::string &name)
{
    const auto found = response.headers.find(name);
    return found == response.headers.end() ? std::string() : found->second;
}

static BackendStatus statusOf503(const HttpResponse &response)
{
    const std::string reason = headerOf(response, "x-reason");
    if (reason == "shed")
        return BackendStatus::Shed;
    if (reason == "draining")
        return BackendStatus::Draining;
    if (reason == "cold")
        return BackendStatus::Cold;
    return BackendStatus::Unexpected;
}

static BackendStatus statusOf(const HttpResponse &response)
{
    switch (response.end) {
    case HttpCompletion::NotSent:
        return BackendStatus::NotConnected;
    case HttpCompletion::ConnectionLost:
        return BackendStatus::ConnectionLost;
    case HttpCompletion::TimedOut:
        return BackendStatus::TimedOut;
    case HttpCompletion::Invalid:
        return BackendStatus::Unexpected;
    case HttpCompletion::Answered:
        break;
    }
    switch (response.status) {
    case 200:
        return BackendStatus::Answered;
    case 409:
        return BackendStatus::VersionNotHeld;
    case 503:
        return statusOf503(response);
    case 504:
        return BackendStatus::DeadlinePassed;
    default:
        return BackendStatus::Unexpected;
    }
}

/** Parses an X-Held-Versions value such as "7,8"; entries that are not numbers are skipped. */
static std::vector<IndexVersion> parseHeldVersions(std::string_view text)
{
    std::vector<IndexVersion> versions;
    while (!text.empty() && versions.size() < kMaxHeldVersions) {
        const std::size_t begin = text.find_first_of("0123456789");
        if (begin == std::string_view::npos)
            break;
        text.remove_prefix(begin);
        IndexVersion version;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), version.value);
        if (parsed.ec == std::errc())
            versions.push_back(version);
        text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    }
    return versions;
}

static BackendFinished toBackendFinished(SendId send, HttpResponse response)
{
    BackendFinished finished;
    finished.send = send;
    finished.status = statusOf(response);
    if (response.end != HttpCompletion::Answered)
        return finished;
    finished.echoed = { response.number("x-request-id").value_or(0) };
    finished.version = { response.number("x-index-version").value_or(0) };
    if (finished.status == BackendStatus::VersionNotHeld)
        finished.heldVersions = parseHeldVersions(headerOf(response, "x-held-versions"));
    if (finished.status == BackendStatus::Answered)
        finished.body = std::move(response.body);
    return finished;
}

CurlBackendClient::CurlBackendClient(EventQueue &queue, ResponseObserver *observer)
    : m_queue(queue)
    , m_observer(observer)
{
}

CurlBackendClient::~CurlBackendClient()
{
    m_client.stop();
}

void CurlBackendClient::send(const SendToBackend &request)
{
    HttpRequest http;
    http.method = "POST";
    http.endpoint = request.endpoint;
    http.target = "/parts/" + escapeUrlPath(request.service.value);
    http.headers = { "X-Request-Id: " + std::to_string(request.send.value),
                     "X-Index-Version: " + std::to_string(request.version.value),
                     "X-Group: " + request.group.value };
    http.deadlineHeader = "X-Deadline-Ms";
    http.body = request.body;
    http.deadline = steadyDeadline(request.deadline);
    http.notAfter = request.notAfter;
    http.connectTimeout = kConnectTimeout;
    http.maxResponseBytes = kMaxBackendAnswerBytes;
    m_client.start(std::move(http),
                   [this, send = request.send, server = request.server](HttpResponse response) {
                       if (m_observer && response.defect)
                           m_observer->onMalformedResponse(
                                   { ResponseSource::BackendServer, server.value,
                                     std::to_string(send.value), *response.defect });
                       m_queue.post(toBackendFinished(send, std::move(response)));
                   });
}

void CurlBackendClient::cancel(const CancelBackend &request)
{
    HttpRequest http;
    http.method = "POST";
    http.endpoint = request.endpoint;
    http.target = "/cancel/" + std::to_string(request.send.value);
    http.deadline = steadyDeadline(kCancelTimeout);
    http.notAfter = http.deadline;
    http.connectTimeout = kConnectTimeout;
    http.maxResponseBytes = kMaxBackendAnswerBytes;
    m_client.start(std::move(http), [](const HttpResponse &) {});
}

void CurlBackendClient::stop()
{
    m_client.stop();
}

} // namespace greengagestair
