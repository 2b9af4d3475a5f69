#include "standins/RegistryStandIn.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace greengagestair::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/** Watches look for changes at this interval. */
static constexpr milliseconds kWatchInterval(5);

static std::string encode(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

static HttpResponse jsonResponse(int status, const json::object &body)
{
    return { status, { { "Content-Type", "application/json" } }, json::serialize(body) };
}

RegistryStandIn::RegistryStandIn(asio::io_context &context, const asio::ip::tcp::endpoint &endpoint)
    : m_server(HttpServer::create(
            context, endpoint, [this](HttpRequest request) { return answer(std::move(request)); },
            HttpServer::Limits {}))
{
    m_server->open();
}

void RegistryStandIn::put(const std::string &key, const std::string &value)
{
    write(key, encode(value), 0);
}

void RegistryStandIn::write(const std::string &key, const std::string &encoded, std::int64_t lease)
{
    ++m_state.revision;
    const auto [entry, isNew] = m_state.items.try_emplace(key);
    entry->second.value = encoded;
    entry->second.revision = m_state.revision;
    entry->second.lease = lease;
    if (isNew)
        entry->second.created = m_state.revision;
    m_state.history[m_state.revision] = describe(key, entry->second);
}

void RegistryStandIn::remove(const std::string &key)
{
    if (m_state.items.erase(key) == 0)
        return;
    ++m_state.revision;
    m_state.history[m_state.revision] = { { "key", key },
                                          { "rev", m_state.revision },
                                          { "removed", true } };
}

void RegistryStandIn::setMode(Mode mode)
{
    m_mode = mode;
    if (mode != Mode::Up)
        ++m_cuts;
}

void RegistryStandIn::dropHistory()
{
    m_state.history.clear();
    m_droppedUpTo = m_state.revision;
    ++m_cuts;
}

std::size_t RegistryStandIn::calls(const std::string &kind) const
{
    const auto found = m_calls.find(kind);
    return found == m_calls.end() ? 0 : found->second;
}

json::object RegistryStandIn::describe(const std::string &key, const Item &item) const
{
    return { { "key", key },
             { "value", item.value },
             { "rev", item.revision },
             { "created_rev", item.created },
             { "lease", item.lease } };
}

void RegistryStandIn::keepCopy()
{
    m_copy = m_state;
}

void RegistryStandIn::goBack()
{
    if (!m_copy)
        return;
    m_state = *m_copy;
    ++m_era;
    ++m_cuts;
}

RegistryStandIn::Answer RegistryStandIn::answer(HttpRequest request)
{
    std::optional<HttpResponse> response = co_await answerCall(std::move(request));
    if (response)
        response->headers.emplace_back("Store-Era", std::to_string(m_era));
    co_return response;
}

RegistryStandIn::Answer RegistryStandIn::answerCall(HttpRequest request)
{
    const std::string path = request.path();
    ++m_calls[path.substr(0, path.find('/', 1))];
    if (m_mode == Mode::Hang) {
        while (m_mode == Mode::Hang)
            co_await sleepFor(kWatchInterval);
        co_return std::nullopt;
    }
    if (m_mode == Mode::Refuse)
        co_return HttpResponse { 503, {}, {} };
    endLeases();
    if (path == "/kv-range")
        co_return answerRange(request);
    if (path == "/kv-watch")
        co_return co_await answerWatch(std::move(request));
    if (path == "/kv-txn")
        co_return answerTransaction(request);
    co_return answerLease(request);
}

HttpResponse RegistryStandIn::answerRange(const HttpRequest &request)
{
    const std::string prefix = request.query("prefix");
    const std::string after = request.query("after");
    json::array items;
    bool truncated = false;
    for (auto item = m_state.items.upper_bound(after); item != m_state.items.end(); ++item) {
        if (!item->first.starts_with(prefix))
            continue;
        truncated = items.size() == m_pageSize;
        if (truncated)
            break;
        items.push_back(describe(item->first, item->second));
    }
    return jsonResponse(200,
                        { { "items", items },
                          { "truncated", truncated },
                          { "current_rev", m_state.revision } });
}

RegistryStandIn::Answer RegistryStandIn::answerWatch(HttpRequest request)
{
    const std::string prefix = request.query("prefix");
    const std::int64_t after = parseNumber(request.query("after"), 0);
    const milliseconds wait(parseNumber(request.query("wait_ms"), 0));
    const auto end = steady_clock::now() + wait;
    const std::uint64_t cuts = m_cuts;
    if (after < m_droppedUpTo || after > m_state.revision)
        co_return HttpResponse { 410, {}, {} };
    json::array events;
    for (;;) {
        endLeases();
        for (auto event = m_state.history.upper_bound(after); event != m_state.history.end();
             ++event) {
            if (std::string_view(event->second.at("key").as_string()).starts_with(prefix))
                events.push_back(event->second);
        }
        if (!events.empty() || steady_clock::now() >= end)
            break;
        co_await sleepFor(kWatchInterval);
        if (m_cuts != cuts)
            co_return std::nullopt;
    }
    co_return jsonResponse(200, { { "events", events }, { "current_rev", m_state.revision } });
}

HttpResponse RegistryStandIn::answerTransaction(const HttpRequest &request)
{
    const json::object body = json::parse(request.body).as_object();
    bool isMet = true;
    json::array current;
    for (const json::value &row : body.at("precondition").as_array()) {
        const auto found = m_state.items.find(std::string(row.at("key").as_string()));
        const bool exists = found != m_state.items.end();
        if (exists)
            current.push_back(describe(found->first, found->second));
        const std::int64_t revision = exists ? found->second.revision : 0;
        isMet = isMet && revision == row.at("rev").to_number<std::int64_t>();
    }
    if (!isMet)
        return jsonResponse(412, { { "items", current } });
    for (const json::value &row : body.at("puts").as_array()) {
        const auto lease = row.at("lease").to_number<std::int64_t>();
        if (lease != 0 && !m_state.leases.contains(lease))
            return { 404, {}, {} };
        write(std::string(row.at("key").as_string()), std::string(row.at("value").as_string()),
              lease);
    }
    for (const json::value &key : body.at("remove").as_array())
        remove(std::string(key.as_string()));
    return jsonResponse(200, { { "rev", m_state.revision } });
}

HttpResponse RegistryStandIn::answerLease(const HttpRequest &request)
{
    const std::string path = request.path();
    if (path == "/kv-lease") {
        const milliseconds length(json::parse(request.body).at("ttl_ms").to_number<std::int64_t>());
        m_state.leases[++m_lastLease] = { steady_clock::now() + length, length };
        return jsonResponse(200, { { "lease", m_lastLease }, { "ttl_ms", length.count() } });
    }
    const auto found = m_state.leases.find(parseNumber(path.substr(path.rfind('/') + 1), 0));
    if (found == m_state.leases.end())
        return { 404, {}, {} };
    if (path.starts_with("/kv-keep/")) {
        found->second.end = steady_clock::now() + found->second.length;
        return jsonResponse(200, { { "ttl_ms", found->second.length.count() } });
    }
    found->second.end = steady_clock::now();
    endLeases();
    return jsonResponse(200, {});
}

void RegistryStandIn::endLeases()
{
    const auto now = steady_clock::now();
    for (auto lease = m_state.leases.begin(); lease != m_state.leases.end();) {
        if (lease->second.end > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto &[key, item] : m_state.items) {
            if (item.lease == lease->first)
                ended.push_back(key);
        }
        for (const std::string &key : ended)
            remove(key);
        lease = m_state.leases.erase(lease);
    }
}

} // namespace greengagestair::standins
