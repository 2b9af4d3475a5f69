#include "standins/BackendFleet.h"

#include <boost/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace greengagestair::standins {

namespace asio = boost::asio;
namespace json = boost::json;

static std::string text(const json::value &value)
{
    return std::string(value.as_string());
}

/** The object in a field, or an empty one. */
static json::object objectIn(const json::object &fields, json::string_view name)
{
    const auto *field = fields.if_contains(name);
    return field ? field->as_object() : json::object {};
}

static std::shared_ptr<const KeyRanges> readRanges(const json::object &document,
                                                   std::vector<std::int64_t> &versions)
{
    std::map<std::pair<std::int64_t, std::string>, json::array> ranges;
    for (const auto &snapshot : document.at("snapshots").as_array()) {
        const auto version = snapshot.at("version").to_number<std::int64_t>();
        versions.push_back(version);
        for (const auto &range : snapshot.at("ranges").as_array()) {
            ranges[{ version, text(range.at("group")) }].push_back(
                    json::object { { "from", range.at("from") }, { "to", range.at("to") } });
        }
    }
    auto written = std::make_shared<KeyRanges>();
    for (const auto &[key, value] : ranges)
        written->emplace(key, json::serialize(value));
    return written;
}

BackendFleet::BackendFleet(asio::io_context &context, const std::string &configuration,
                           const std::string &options,
                           const asio::ip::tcp::endpoint &controlEndpoint)
    : m_control(HttpServer::create(
            context, controlEndpoint,
            [this](HttpRequest request) -> asio::awaitable<std::optional<HttpResponse>> {
                co_return answerControl(request);
            },
            HttpServer::Limits {}))
    , m_executions(std::make_shared<ExecutionLog>())
{
    const auto declared = json::parse(configuration);
    const auto chosen = json::parse(options).as_object();
    if (const auto *seed = chosen.if_contains("seed"))
        m_nextSeed = seed->to_number<std::uint64_t>();
    for (const auto &service : declared.at("services").as_array())
        addService(context, service.as_object(), chosen);
    m_control->open();
}

void BackendFleet::addService(asio::io_context &context, const json::object &service,
                              const json::object &options)
{
    const auto name = text(service.at("name"));
    ServerOptions serverOptions;
    serverOptions.apply(objectIn(options, "defaults"));
    serverOptions.apply(service);
    serverOptions.apply(objectIn(objectIn(options, "services"), name));
    std::vector<std::int64_t> versions;
    const auto documents = objectIn(options, "snapshots");
    auto ranges = documents.contains(name) ? readRanges(documents.at(name).as_object(), versions)
                                           : std::make_shared<const KeyRanges>();
    if (versions.empty())
        versions.push_back(1);
    for (const auto &group : service.at("groups").as_array()) {
        for (const auto &server : group.at("servers").as_array()) {
            const asio::ip::tcp::endpoint endpoint(
                    asio::ip::make_address(text(server.at("address"))),
                    server.at("port").to_number<std::uint16_t>());
            ServerIdentity identity { text(server.at("name")), name, text(group.at("name")),
                                      text(server.at("failureDomain")), endpoint };
            auto added =
                    std::make_shared<BackendServer>(context, std::move(identity), serverOptions,
                                                    m_nextSeed++, m_executions, ranges);
            added->setVersions(versions);
            added->open();
            m_servers.push_back(std::move(added));
        }
    }
}

HttpResponse BackendFleet::answerControl(const HttpRequest &request)
{
    const auto path = request.path();
    if (path == "/control/report")
        return { 200, { { "Content-Type", "application/json" } }, report() };
    using Command = std::function<void(BackendServer &, const json::object &)>;
    static const std::map<std::string, Command> kCommands {
        { "/control/kill", [](auto &server, auto &) { server.kill(); } },
        { "/control/restart", [](auto &server, auto &) { server.restart(); } },
        { "/control/cold", [](auto &server, auto &) { server.turnCold(); } },
        { "/control/drain", [](auto &server, auto &) { server.setDraining(true); } },
        { "/control/undrain", [](auto &server, auto &) { server.setDraining(false); } },
        { "/control/leave", [](auto &server, auto &) { server.setLeaving(true); } },
        { "/control/return", [](auto &server, auto &) { server.setLeaving(false); } },
        { "/control/reset", [](auto &server, auto &) { server.resetCounters(); } },
        { "/control/options",
          [](auto &server, auto &fields) {
              server.options().apply(fields.at("options").as_object());
          } },
        { "/control/versions",
          [](auto &server, auto &fields) {
              server.setVersions(json::value_to<std::vector<std::int64_t>>(fields.at("versions")));
          } },
    };
    const auto command = kCommands.find(path);
    if (command == kCommands.end())
        return { 404, {}, {} };
    try {
        const auto fields =
                request.body.empty() ? json::object {} : json::parse(request.body).as_object();
        const auto selected = select(fields);
        for (const auto &server : selected)
            command->second(*server, fields);
        if (path == "/control/reset")
            m_executions->clear();
        return { 200, {}, std::to_string(selected.size()) + "\n" };
    } catch (const std::exception &error) {
        return { 400, {}, error.what() };
    }
}

std::vector<std::shared_ptr<BackendServer>> BackendFleet::select(const json::object &fields) const
{
    const auto matches = [&](const char *field, const std::string &value) {
        const auto *wanted = fields.if_contains(field);
        return !wanted || text(*wanted) == value;
    };
    std::vector<std::shared_ptr<BackendServer>> selected;
    for (const auto &server : m_servers) {
        const auto &identity = server->identity();
        const auto *names = fields.if_contains("servers");
        const bool named = !names
                || std::any_of(
                        names->as_array().begin(), names->as_array().end(),
                        [&](const json::value &name) { return text(name) == identity.name; });
        if (named && matches("failureDomain", identity.failureDomain)
            && matches("service", identity.service) && matches("group", identity.group))
            selected.push_back(server);
    }
    return selected;
}

std::string BackendFleet::report() const
{
    json::array servers;
    json::object sums;
    for (const auto &server : m_servers) {
        servers.push_back(server->report());
        for (const auto &[name, value] : servers.back().as_object()) {
            if (!value.is_number())
                continue;
            const auto *sum = sums.if_contains(name);
            sums[name] =
                    (sum ? sum->to_number<std::int64_t>() : 0) + value.to_number<std::int64_t>();
        }
    }
    const auto duplicates = std::count_if(m_executions->begin(), m_executions->end(),
                                          [](const auto &entry) { return entry.second > 1; });
    json::object violations { { "duplicates", duplicates } };
    for (const char *name :
         { "aboveSlots", "aboveColdLimit", "aboveConnectionLimit", "workAfterLeaving" })
        violations[name] = sums.contains(name) ? sums.at(name) : json::value(0);
    return json::serialize(json::object { { "violations", std::move(violations) },
                                          { "sums", std::move(sums) },
                                          { "executions", json::value_from(*m_executions) },
                                          { "servers", std::move(servers) } });
}

} // namespace greengagestair::standins
