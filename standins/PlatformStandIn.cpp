#include "standins/PlatformStandIn.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace greengagestair::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

static constexpr std::size_t kMaxValueBytes = std::size_t { 1 } << 20U;
static constexpr milliseconds kDefaultWatchTimeout { 30000 };
static constexpr milliseconds kMaxWatchTimeout { 60000 };
static constexpr milliseconds kDefaultLease { 10000 };
static constexpr milliseconds kHangCheckInterval { 20 };

/** Removes percent-encoding. */
static std::string decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            const std::string digits(text.substr(i + 1, 2));
            decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

static HttpResponse withRevision(int status, std::uint64_t revision, std::string body = {})
{
    return { status, { { "X-Revision", std::to_string(revision) } }, std::move(body) };
}

/** Kind of a call for the call counts. */
static std::string kindOf(const HttpRequest &request)
{
    const auto path = request.path();
    if (path.starts_with("/kv/"))
        return request.method == "PUT" ? "write" : "read";
    if (path.starts_with("/watch/"))
        return "watch";
    if (path.starts_with("/leases"))
        return "lease";
    return path == "/hosts" ? "hosts" : "other";
}

PlatformStandIn::PlatformStandIn(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint,
                                 const asio::ip::tcp::endpoint &controlEndpoint, std::string hosts)
    : m_context(context)
    , m_server(HttpServer::create(
              context, endpoint, [this](HttpRequest request) { return answer(std::move(request)); },
              HttpServer::Limits {}))
    , m_control(HttpServer::create(
              context, controlEndpoint,
              [this](HttpRequest request) -> Answer { co_return answerControl(request); },
              HttpServer::Limits {}))
    , m_hosts { std::move(hosts), 1 }
{
    m_server->open();
    m_control->open();
}

PlatformStandIn::Answer PlatformStandIn::answer(HttpRequest request)
{
    ++m_calls[kindOf(request)];
    if (m_mode == Mode::Hang) {
        while (m_mode == Mode::Hang)
            co_await sleepFor(kHangCheckInterval);
        co_return std::nullopt;
    }
    if (m_delay.count() > 0)
        co_await sleepFor(m_delay);
    const auto path = request.path();
    if (path.starts_with("/kv/")) {
        const auto key = decode(path.substr(4));
        if (request.method == "PUT")
            co_return write(key, request);
        co_return read(key);
    }
    if (path.starts_with("/watch/")) {
        const auto after = parseNumber(request.query("after"), 0);
        const milliseconds timeout(
                parseNumber(request.query("timeout-ms"), kDefaultWatchTimeout.count()));
        co_return co_await answerWatch(decode(path.substr(7)), static_cast<std::uint64_t>(after),
                                       std::min(timeout, kMaxWatchTimeout));
    }
    if (path == "/leases" && request.method == "POST")
        co_return openLease(request);
    if (path.starts_with("/leases/") && path.ends_with("/renew"))
        co_return renewLease(path);
    if (path == "/hosts")
        co_return withRevision(200, m_hosts.revision, m_hosts.value);
    co_return HttpResponse { 404, {}, {} };
}

HttpResponse PlatformStandIn::read(const std::string &key) const
{
    const auto found = m_entries.find(key);
    // A watch of a key that was never written leaves an entry with revision 0.
    if (found == m_entries.end() || found->second.revision == 0)
        return { 404, {}, {} };
    return withRevision(200, found->second.revision, found->second.value);
}

std::optional<HttpResponse> PlatformStandIn::write(const std::string &key,
                                                   const HttpRequest &request)
{
    const auto expected = parseNumber(request.header("If-Revision"), -1);
    if (expected < 0)
        return HttpResponse { 400, {}, "If-Revision is missing" };
    if (request.body.size() > kMaxValueBytes)
        return HttpResponse { 413, {}, {} };
    const auto found = m_entries.find(key);
    const auto current = found == m_entries.end() ? 0 : found->second.revision;
    if (static_cast<std::uint64_t>(expected) != current)
        return withRevision(409, current);
    m_entries[key] = { request.body, current + 1 };
    for (auto *watch : m_watches[key])
        watch->cancel();
    if (m_answersToLose > 0) {
        --m_answersToLose;
        return std::nullopt;
    }
    return withRevision(200, current + 1);
}

PlatformStandIn::Answer PlatformStandIn::answerWatch(std::string key, std::uint64_t after,
                                                     milliseconds timeout)
{
    const auto end = steady_clock::now() + timeout;
    while (m_entries[key].revision <= after && steady_clock::now() < end) {
        asio::steady_timer timer(m_context, end);
        m_watches[key].insert(&timer);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        m_watches[key].erase(&timer);
        if (m_mode != Mode::Up)
            co_return std::nullopt;
    }
    const auto &entry = m_entries[key];
    if (entry.revision <= after)
        co_return withRevision(304, entry.revision);
    co_return withRevision(200, entry.revision, entry.value);
}

HttpResponse PlatformStandIn::openLease(const HttpRequest &request)
{
    const milliseconds length(parseNumber(request.query("ttl-ms"), kDefaultLease.count()));
    m_leases[++m_lastLease] = { steady_clock::now() + length, length };
    const json::object body { { "id", m_lastLease }, { "ttlMs", length.count() } };
    return { 200, {}, json::serialize(body) };
}

HttpResponse PlatformStandIn::renewLease(const std::string &path)
{
    const auto id = path.substr(8, path.size() - 8 - std::string_view("/renew").size());
    const auto found = m_leases.find(static_cast<std::uint64_t>(parseNumber(id, 0)));
    const auto now = steady_clock::now();
    if (found == m_leases.end() || found->second.first < now)
        return { 404, {}, {} };
    found->second.first = now + found->second.second;
    return { 200, {}, {} };
}

HttpResponse PlatformStandIn::answerControl(const HttpRequest &request)
{
    const auto path = request.path();
    try {
        if (path == "/control/report") {
            const json::object report { { "calls", json::value_from(m_calls) },
                                        { "hostsRevision", m_hosts.revision } };
            return { 200, {}, json::serialize(report) };
        }
        if (path == "/control/reset")
            m_calls.clear();
        else if (path == "/control/faults")
            setFaults(request.body);
        else if (path == "/control/lag")
            m_hostLag = milliseconds(json::parse(request.body).at("lagMs").to_number<int>());
        else if (path == "/control/hosts")
            asio::co_spawn(m_context, showHosts(request.body), asio::detached);
        else
            return { 404, {}, {} };
    } catch (const std::exception &error) {
        return { 400, {}, error.what() };
    }
    return { 204, {}, {} };
}

void PlatformStandIn::setFaults(const std::string &body)
{
    const auto faults = json::parse(body).as_object();
    if (const auto *delay = faults.if_contains("delayMs"))
        m_delay = milliseconds(delay->to_number<int>());
    if (const auto *count = faults.if_contains("loseWrites"))
        m_answersToLose = count->to_number<int>();
    const auto *mode = faults.if_contains("mode");
    if (!mode)
        return;
    m_mode = mode->as_string() == "refuse" ? Mode::Refuse
            : mode->as_string() == "hang"  ? Mode::Hang
                                           : Mode::Up;
    if (m_mode == Mode::Refuse)
        m_server->close();
    else
        m_server->open();
    if (m_mode == Mode::Up)
        return;
    for (const auto &[key, watches] : m_watches) {
        for (auto *watch : watches)
            watch->cancel();
    }
}

asio::awaitable<void> PlatformStandIn::showHosts(std::string hosts)
{
    if (m_hostLag.count() > 0)
        co_await sleepFor(m_hostLag);
    m_hosts = { std::move(hosts), m_hosts.revision + 1 };
}

} // namespace greengagestair::standins
