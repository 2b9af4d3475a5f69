#pragma once

#include "standins/BackendServer.h"

namespace greengagestair::standins {

/**
 * Plays all backend servers of a configuration document. The options document:
 *
 * {"seed": 1, "defaults": {server options}, "services": {"<service>": {server options}},
 *  "snapshots": {"<service>": {content of the document snapshots/<service>}}}
 *
 * Slots, cold limit and connection limit come from the configuration unless the options differ. A
 * server holds the versions of its service's snapshots at the start.
 *
 * Control endpoint: `POST /control/<command>` with {"servers": [names], "failureDomain", "service",
 * "group"}, each optional and all of them narrowing. The commands are kill, restart, cold, drain,
 * undrain, leave, return, reset, versions {"versions": [7, 8]} and options {"options": {...}}.
 * `GET /control/report` gives all counters, their sums, and the executions of marked bodies.
 */
class BackendFleet
{
public:
    /** Throws on documents that do not parse and endpoints that are not available. */
    BackendFleet(boost::asio::io_context &context, const std::string &configuration,
                 const std::string &options, const boost::asio::ip::tcp::endpoint &controlEndpoint);

    boost::asio::ip::tcp::endpoint controlEndpoint() const { return m_control->endpoint(); }

private:
    void addService(boost::asio::io_context &context, const boost::json::object &service,
                    const boost::json::object &options);
    HttpResponse answerControl(const HttpRequest &request);
    std::vector<std::shared_ptr<BackendServer>> select(const boost::json::object &fields) const;
    std::string report() const;

    std::shared_ptr<HttpServer> m_control;
    std::shared_ptr<ExecutionLog> m_executions;
    std::vector<std::shared_ptr<BackendServer>> m_servers;
    std::uint64_t m_nextSeed = 1;
};

} // namespace greengagestair::standins
