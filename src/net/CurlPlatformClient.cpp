#include "net/CurlPlatformClient.h"

#include "net/EndpointText.h"
#include "net/UrlEscape.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/** The platform normally answers within milliseconds. If connecting takes longer than this, the
 * next server is tried. */
static constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

/** Time that is added to the timeout of a watch, so that its answer can arrive after the timeout.
 */
static constexpr Duration kWatchAnswerTime = std::chrono::milliseconds(1000);

/** One call with its progress over the platform's servers. */
struct CurlPlatformClient::Attempt
{
    CallPlatform call;
    MonotonicTime deadline;
    std::size_t server = 0; ///< index of the server to send the call to
    std::size_t tried = 0;  ///< number of servers tried before this one
};

using Result = decltype(PlatformFinished::result);

static HttpRequest keyRequest(const std::string &method, const PlatformKey &key)
{
    HttpRequest http;
    http.method = method;
    http.target = "/kv/" + escapeUrlPath(key.value);
    return http;
}

static HttpRequest requestOf(const ReadKey &read)
{
    return keyRequest("GET", read.key);
}

static HttpRequest requestOf(const WriteKey &write)
{
    HttpRequest http = keyRequest("PUT", write.key);
    http.headers.push_back("If-Revision: " + std::to_string(write.expected.value));
    http.body = write.value;
    return http;
}

static HttpRequest requestOf(const WatchKey &watch)
{
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(watch.timeout);
    HttpRequest http;
    http.method = "GET";
    http.target = "/watch/" + escapeUrlPath(watch.key.value) + "?after="
            + std::to_string(watch.after.value) + "&timeout-ms=" + std::to_string(timeout.count());
    return http;
}

static HttpRequest requestOf(const ListHosts &)
{
    HttpRequest http;
    http.method = "GET";
    http.target = "/hosts";
    return http;
}

static Result resultOf(const ReadKey &read, HttpResponse &response)
{
    const auto revision = response.number("x-revision");
    if (response.status == 404)
        return KeyAbsent { read.key };
    if (response.status == 200 && revision)
        return KeyValue { read.key, { *revision }, std::move(response.body) };
    return PlatformFailure { read.key };
}

static Result resultOf(const WriteKey &write, HttpResponse &response)
{
    const auto revision = response.number("x-revision");
    if (response.status == 200 && revision)
        return WriteAccepted { write.key, { *revision } };
    if (response.status == 409)
        return RevisionConflict { write.key, { revision.value_or(0) } };
    return PlatformFailure { write.key };
}

static Result resultOf(const WatchKey &watch, HttpResponse &response)
{
    if (response.status == 304)
        return WatchExpired { watch.key };
    return resultOf(ReadKey { watch.key }, response);
}

static Result resultOf(const ListHosts &, HttpResponse &response)
{
    const auto revision = response.number("x-revision");
    if (response.status == 200 && revision)
        return HostListAnswer { { *revision }, std::move(response.body) };
    return PlatformFailure {};
}

static PlatformKey keyOf(const CallPlatform &call)
{
    if (const auto *read = std::get_if<ReadKey>(&call.request))
        return read->key;
    if (const auto *write = std::get_if<WriteKey>(&call.request))
        return write->key;
    if (const auto *watch = std::get_if<WatchKey>(&call.request))
        return watch->key;
    return {};
}

static Result resultOf(const CallPlatform &call, HttpResponse response)
{
    if (response.end != HttpCompletion::Answered)
        return PlatformFailure { keyOf(call), response.end != HttpCompletion::NotSent };
    return std::visit([&](const auto &request) { return resultOf(request, response); },
                      call.request);
}

static Duration timeoutOf(const CallPlatform &call)
{
    if (const auto *watch = std::get_if<WatchKey>(&call.request))
        return std::max(call.timeout, watch->timeout + kWatchAnswerTime);
    return call.timeout;
}

CurlPlatformClient::CurlPlatformClient(std::vector<Endpoint> servers, EventQueue &queue,
                                       ResponseObserver *observer)
    : m_servers(std::move(servers))
    , m_queue(queue)
    , m_observer(observer)
{
}

CurlPlatformClient::~CurlPlatformClient()
{
    m_client.stop();
}

void CurlPlatformClient::call(const CallPlatform &request)
{
    if (m_servers.empty()) {
        m_queue.post(PlatformFinished { request.call, PlatformFailure { keyOf(request), false } });
        return;
    }
    start({ request, steadyDeadline(timeoutOf(request)), m_preferredServer.load(), 0 });
}

void CurlPlatformClient::start(Attempt attempt)
{
    HttpRequest http = std::visit([](const auto &request) { return requestOf(request); },
                                  attempt.call.request);
    http.endpoint = m_servers[attempt.server];
    http.deadline = attempt.deadline;
    http.notAfter = attempt.deadline;
    http.connectTimeout = kConnectTimeout;
    http.maxResponseBytes = kMaxPlatformAnswerBytes;
    auto callback = [this, attempt = std::move(attempt)](HttpResponse response) mutable {
        finish(std::move(attempt), std::move(response));
    };
    m_client.start(std::move(http), std::move(callback));
}

void CurlPlatformClient::finish(Attempt attempt, HttpResponse response)
{
    if (m_observer && response.defect)
        m_observer->onMalformedResponse({ ResponseSource::Platform,
                                          toText(m_servers[attempt.server]),
                                          {},
                                          *response.defect });
    const std::size_t next = (attempt.server + 1) % m_servers.size();
    const bool serverFailed = response.end != HttpCompletion::Answered || response.status >= 500;
    std::size_t expected = attempt.server;
    if (serverFailed)
        m_preferredServer.compare_exchange_strong(expected, next);
    ++attempt.tried;
    if (response.end == HttpCompletion::NotSent && attempt.tried < m_servers.size()
        && steadyNow() < attempt.deadline) {
        attempt.server = next;
        start(std::move(attempt));
        return;
    }
    m_queue.post(
            PlatformFinished { attempt.call.call, resultOf(attempt.call, std::move(response)) });
}

void CurlPlatformClient::stop()
{
    m_client.stop();
}

} // namespace greengagestair
