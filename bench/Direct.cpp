// direct --configuration FILE --snapshots FILE --listen ADDRESS:PORT --hosts N [--seed N]
//
// The benchmark's baseline: a plain fan-out front end with the callers' protocol. It sends each
// part to a random replica directly, with the deadline as its only means against faults. It reads
// the configuration again when the file changes.

#include "standins/HttpConnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <getopt.h>

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

namespace greengagestair::bench {

namespace asio = boost::asio;
namespace json = boost::json;
using standins::HttpConnection;
using standins::HttpRequest;
using standins::HttpResponse;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

static constexpr milliseconds kReloadInterval { 200 };
static constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

static json::value readJson(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return json::parse(content.str());
}

static std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

/** One backend server with its connections; the share of its connection limit is the cap. */
struct Server
{
    asio::ip::tcp::endpoint endpoint;
    bool usable = true;
    int mostConnections = 1;
    int connections = 0;
    std::vector<std::shared_ptr<HttpConnection>> idle;
    std::deque<std::shared_ptr<asio::steady_timer>> waiting;
};

struct ServedRange
{
    std::string from;
    std::string to;
    std::string group;
};

struct DirectService
{
    bool oneGroup = false;
    std::int64_t defaultDeadlineMs = 0;
    std::map<std::string, std::vector<std::shared_ptr<Server>>> groups;
    std::map<std::string, bool> repeatable;
    std::int64_t version = 0;
    std::vector<ServedRange> ranges;
};

/** One part of a query: the key ranges of one group. */
struct Part
{
    std::string group;
    std::string body;
    std::string reason = "deadlinePassed"; ///< why the body is missing
    bool answered = false;
    bool sent = false;
};

struct Query
{
    explicit Query(asio::io_context &context)
        : end(context)
    {
    }

    asio::steady_timer end; ///< expires at the deadline, cancelled when every part is settled
    Clock::time_point deadline;
    HttpRequest request;
    std::int64_t version = 0;
    std::string service;
    std::vector<Part> parts;
    std::size_t open = 0;
};

class DirectFrontEnd
{
public:
    DirectFrontEnd(asio::io_context &context, std::string configuration,
                   const std::string &snapshots, int hosts, std::uint64_t seed)
        : m_context(context)
        , m_configuration(std::move(configuration))
        , m_hosts(hosts)
        , m_random(seed)
        , m_requestPrefix(seed << 32U)
    {
        load();
        const auto documents = readJson(snapshots);
        for (const auto &[name, document] : documents.as_object()) {
            auto &service = m_services[name];
            const auto &newest = document.at("snapshots").at(0);
            service.version = newest.at("version").to_number<std::int64_t>();
            for (const auto &range : newest.at("ranges").as_array()) {
                service.ranges.push_back(
                        { text(range.at("from")), text(range.at("to")), text(range.at("group")) });
            }
        }
        asio::co_spawn(m_context, reload(), asio::detached);
    }

    asio::awaitable<std::optional<HttpResponse>> answer(HttpRequest request)
    {
        const auto path = request.path();
        if (path == "/healthz")
            co_return HttpResponse {};
        static constexpr std::string_view kPrefix = "/v1/services/";
        const auto slash = path.rfind('/');
        const auto found = path.starts_with(kPrefix) && slash > kPrefix.size()
                ? m_services.find(path.substr(kPrefix.size(), slash - kPrefix.size()))
                : m_services.end();
        if (found == m_services.end())
            co_return HttpResponse { 404, {}, R"({"outcome":"notRun","reason":"unknownService"})" };
        const auto &service = found->second;
        const auto query = std::make_shared<Query>(m_context);
        query->deadline = Clock::now()
                + milliseconds(standins::parseNumber(request.header("X-Deadline-Ms"),
                                                     service.defaultDeadlineMs));
        query->service = found->first;
        query->version = service.version;
        query->request = std::move(request);
        chooseParts(*query, service);
        query->open = query->parts.size();
        query->end.expires_at(query->deadline);
        for (std::size_t i = 0; i < query->parts.size(); ++i)
            asio::co_spawn(m_context, sendPart(query, i), asio::detached);
        co_await query->end.async_wait(kAwait);
        const auto operation = service.repeatable.find(path.substr(slash + 1));
        const bool repeatable = operation == service.repeatable.end() || operation->second;
        co_return finish(*query, service, repeatable);
    }

private:
    void load()
    {
        const auto configuration = readJson(m_configuration);
        std::map<std::string, bool> inService;
        for (const auto &domain : configuration.at("failureDomains").as_array())
            inService[text(domain.at("name"))] = domain.at("inService").as_bool();
        for (const auto &declared : configuration.at("services").as_array()) {
            auto &service = m_services[text(declared.at("name"))];
            service.oneGroup = declared.at("route").as_string() == "oneGroup";
            service.defaultDeadlineMs = declared.at("defaultDeadlineMs").to_number<std::int64_t>();
            for (const auto &operation : declared.at("operations").as_array()) {
                service.repeatable[text(operation.at("name"))] =
                        operation.at("repeatable").as_bool();
            }
            const int limit = declared.at("connectionLimit").to_number<int>();
            for (const auto &group : declared.at("groups").as_array()) {
                auto &servers = service.groups[text(group.at("name"))];
                servers.clear();
                for (const auto &server : group.at("servers").as_array()) {
                    auto &known = m_servers[text(server.at("name"))];
                    if (!known)
                        known = std::make_shared<Server>();
                    known->endpoint = { asio::ip::make_address(text(server.at("address"))),
                                        server.at("port").to_number<std::uint16_t>() };
                    known->mostConnections = std::max(1, limit / m_hosts);
                    known->usable = server.at("inService").as_bool()
                            && inService[text(server.at("failureDomain"))];
                    servers.push_back(known);
                }
            }
        }
    }

    asio::awaitable<void> reload()
    {
        auto seen = std::filesystem::last_write_time(m_configuration);
        while (true) {
            co_await standins::sleepFor(kReloadInterval);
            const auto changed = std::filesystem::last_write_time(m_configuration);
            if (changed != seen)
                load();
            seen = changed;
        }
    }

    static void chooseParts(Query &query, const DirectService &service)
    {
        const auto key = query.request.header("X-Routing-Key");
        for (const auto &range : service.ranges) {
            const bool holdsKey = range.from <= key && (range.to.empty() || key < range.to);
            const bool known =
                    std::any_of(query.parts.begin(), query.parts.end(),
                                [&](const Part &part) { return part.group == range.group; });
            if (!known && (!service.oneGroup || holdsKey))
                query.parts.push_back({ range.group, {}, "deadlinePassed", false, false });
        }
    }

    std::shared_ptr<Server> chooseServer(const Query &query, const Part &part)
    {
        std::vector<std::shared_ptr<Server>> usable;
        for (const auto &server : m_services[query.service].groups[part.group]) {
            if (server->usable)
                usable.push_back(server);
        }
        if (usable.empty())
            return nullptr;
        return usable[std::uniform_int_distribution<std::size_t>(0, usable.size() - 1)(m_random)];
    }

    asio::awaitable<std::shared_ptr<HttpConnection>> takeConnection(std::shared_ptr<Server> server,
                                                                    Clock::time_point deadline)
    {
        while (server->idle.empty() && server->connections >= server->mostConnections) {
            auto turn = std::make_shared<asio::steady_timer>(m_context, deadline);
            server->waiting.push_back(turn);
            co_await turn->async_wait(kAwait);
            std::erase(server->waiting, turn);
            if (Clock::now() >= deadline)
                co_return nullptr;
        }
        if (server->idle.empty()) {
            ++server->connections;
            co_return std::make_shared<HttpConnection>(m_context, server->endpoint);
        }
        auto connection = server->idle.back();
        server->idle.pop_back();
        co_return connection;
    }

    static void giveBack(Server &server, const std::shared_ptr<HttpConnection> &connection)
    {
        if (connection->isOpen())
            server.idle.push_back(connection);
        else
            --server.connections;
        if (server.waiting.empty())
            return;
        server.waiting.front()->cancel();
        server.waiting.pop_front();
    }

    asio::awaitable<void> sendPart(std::shared_ptr<Query> query, std::size_t index)
    {
        auto &part = query->parts[index];
        const auto server = chooseServer(*query, part);
        // GCC 12 miscompiles co_await in a conditional expression.
        std::shared_ptr<HttpConnection> connection;
        if (server)
            connection = co_await takeConnection(server, query->deadline);
        if (connection) {
            HttpRequest request { "POST", "/parts/" + query->service, {}, query->request.body };
            const auto left =
                    std::chrono::duration_cast<milliseconds>(query->deadline - Clock::now());
            request.headers = { { "X-Request-Id", std::to_string(m_requestPrefix + ++m_requests) },
                                { "X-Index-Version", std::to_string(query->version) },
                                { "X-Deadline-Ms", std::to_string(left.count()) },
                                { "X-Group", part.group } };
            asio::steady_timer timer(m_context, query->deadline);
            timer.async_wait([connection](boost::system::error_code error) {
                if (!error)
                    connection->close();
            });
            const auto response = co_await connection->exchange(std::move(request));
            timer.cancel();
            part.sent = connection->wasSent();
            if (response && response->status == 200) {
                part.answered = true;
                part.body = response->body;
            } else if (response) {
                part.reason = response->status == 503 ? "overloaded" : "unexpected";
            } else if (Clock::now() < query->deadline) {
                part.reason = "connectionLost";
            }
            giveBack(*server, connection);
        }
        if (--query->open == 0)
            query->end.cancel();
    }

    HttpResponse finish(const Query &query, const DirectService &service, bool repeatable)
    {
        json::array parts;
        json::array missing;
        bool sent = false;
        std::string reason;
        for (const auto &part : query.parts) {
            sent = sent || part.sent;
            for (const auto &range : service.ranges) {
                if (range.group != part.group)
                    continue;
                json::object entry { { "from", range.from }, { "to", range.to } };
                if (part.answered) {
                    entry["body"] = part.body;
                    parts.push_back(std::move(entry));
                } else {
                    entry["reason"] = part.reason;
                    reason = part.reason;
                    missing.push_back(std::move(entry));
                }
            }
        }
        const char *outcome = missing.empty() ? "complete"
                : !parts.empty()              ? "partial"
                : repeatable                  ? "failed"
                : sent                        ? "mayHaveRun"
                                              : "notRun";
        const int status = !parts.empty() ? 200 : reason == "overloaded" ? 429 : 504;
        const json::object coverage { { "total", parts.size() + missing.size() },
                                      { "covered", parts.size() },
                                      { "missing", std::move(missing) } };
        const json::object body { { "outcome", outcome },
                                  { "reason", reason },
                                  { "service", query.service },
                                  { "snapshot", query.version },
                                  { "coverage", coverage },
                                  { "parts", std::move(parts) },
                                  { "requestId", std::to_string(m_requests) } };
        return { status, { { "Content-Type", "application/json" } }, json::serialize(body) };
    }

    asio::io_context &m_context;
    std::string m_configuration;
    int m_hosts;
    std::mt19937_64 m_random;
    std::uint64_t m_requestPrefix;
    std::uint64_t m_requests = 0;
    std::map<std::string, DirectService> m_services;
    std::map<std::string, std::shared_ptr<Server>> m_servers;
};

} // namespace greengagestair::bench

using namespace greengagestair;

int main(int argc, char **argv)
{
    const option options[] = { { "configuration", required_argument, nullptr, 'c' },
                               { "snapshots", required_argument, nullptr, 's' },
                               { "listen", required_argument, nullptr, 'l' },
                               { "hosts", required_argument, nullptr, 'h' },
                               { "seed", required_argument, nullptr, 'r' },
                               {} };
    std::map<int, std::string> given { { 'h', "1" }, { 'r', "1" } };
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", options, nullptr)) != -1;)
        given[chosen] = optarg ? optarg : "";
    try {
        boost::asio::io_context context(1);
        bench::DirectFrontEnd frontEnd(context, given.at('c'), given.at('s'),
                                       std::stoi(given.at('h')), std::stoull(given.at('r')));
        const auto server = standins::HttpServer::create(
                context, standins::parseEndpoint(given.at('l')),
                [&](bench::HttpRequest request) { return frontEnd.answer(std::move(request)); },
                standins::HttpServer::Limits {});
        server->open();
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](auto, auto) { context.stop(); });
        context.run();
    } catch (const std::exception &error) {
        std::cerr << "direct: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
