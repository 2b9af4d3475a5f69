#include "gateway/explain/Explainer.h"

#include "gateway/Gateway.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace greengagestair {

namespace json = boost::json;

static const char *toText(ServerExclusion exclusion)
{
    switch (exclusion) {
    case ServerExclusion::Draining:
        return "draining";
    case ServerExclusion::OutOfService:
        return "outOfService";
    case ServerExclusion::Unreachable:
        return "unreachable";
    case ServerExclusion::Misdirected:
        return "misdirected";
    case ServerExclusion::Paused:
        return "paused";
    case ServerExclusion::NoCapacity:
        return "noCapacity";
    case ServerExclusion::ColdLimit:
        return "coldLimit";
    case ServerExclusion::Pace:
        return "pace";
    }
    return "";
}

static void addRefusal(json::object &result, RefusalReason reason, const std::string &cause)
{
    result["refusals"].as_array().push_back(
            json::object { { "reason", toText(reason) }, { "cause", cause } });
}

static json::object describeServer(const ServerOutlook &outlook)
{
    const Backend &backend = *outlook.backend;
    json::array exclusions;
    for (const ServerExclusion exclusion : outlook.exclusions)
        exclusions.push_back(json::string(toText(exclusion)));
    const auto &limit = backend.needs.requestLimit();
    return { { "server", backend.registration.server.value },
             { "failureDomain", backend.registration.failureDomain.value },
             { "costMicros", outlook.cost.count() },
             { "excludedBy", exclusions },
             { "inFlight", backend.load.inFlight() },
             { "pace", backend.pace.share() },
             { "requestLimit", limit ? json::value(*limit) : nullptr } };
}

/** True if the server can be chosen, be it only because there is no other. */
static bool isCandidate(const ServerOutlook &outlook)
{
    return outlook.exclusions.empty() || outlook.exclusions.front() == ServerExclusion::Pace;
}

/** True if a part can wait for the server, which only lacks capacity. */
static bool mayBeAwaited(const ServerOutlook &outlook)
{
    return !outlook.exclusions.empty() && outlook.exclusions.front() >= ServerExclusion::NoCapacity;
}

Explainer::Explainer(const RoutingConfiguration *configuration, const RequestDispatcher &dispatcher,
                     const BackendSelector &selector)
    : m_configuration(configuration)
    , m_dispatcher(dispatcher)
    , m_selector(selector)
{
}

json::object Explainer::explain(const ExplainQuery &query, MonotonicTime now) const
{
    json::object result { { "host", query.host },     { "path", query.path },
                          { "route", nullptr },       { "tenant", nullptr },
                          { "parts", json::array() }, { "refusals", json::array() } };
    if (!m_configuration) {
        addRefusal(result, RefusalReason::NoConfiguration, "no configuration was read yet");
        return result;
    }
    result["configuration"] = m_configuration->version;
    const GatewayRoute *route = findRoute(*m_configuration, query.host, query.path);
    if (!route) {
        addRefusal(result, RefusalReason::NoRoute, "no route for this host and path");
        return result;
    }
    result["route"] = route->name;
    addTenant(*route, query.tenant, result);
    if (m_dispatcher.endsBeforeAnswer(*route, now))
        addRefusal(result, RefusalReason::Stopping, "the process ends before the answer");
    addParts(*route, now, result);
    return result;
}

void Explainer::addTenant(const GatewayRoute &route, const std::string &name,
                          json::object &result) const
{
    if (!m_configuration->requiresKeys)
        return;
    const std::vector<Tenant> &tenants = m_configuration->tenants;
    const auto found = std::find_if(tenants.begin(), tenants.end(), [&name](const Tenant &tenant) {
        return tenant.name.value == name;
    });
    if (found != tenants.end()) {
        // The module that keeps quotas states the room; null until then.
        result["tenant"] = { { "name", found->name.value },
                             { "urgencyRank", found->urgencyRank },
                             { "ratePerSecond", found->requestsPerSecond },
                             { "burst", found->burst },
                             { "room", nullptr } };
    } else if (!route.isPublic) {
        addRefusal(result, RefusalReason::Unauthorized,
                   name.empty() ? "the route needs the key of a tenant" : "unknown tenant");
    }
}

json::object Explainer::describePart(const ServiceId &name, const GatewayRoute &route,
                                     MonotonicTime now) const
{
    json::array servers;
    json::value next = nullptr;
    bool waits = false;
    const auto service = m_configuration->services.find(name);
    if (service != m_configuration->services.end()) {
        const Duration typical = m_dispatcher.typicalTime(route);
        for (const ServerOutlook &outlook : m_selector.outlook(service->second, typical, now)) {
            if (servers.empty() && isCandidate(outlook))
                next = outlook.backend->registration.server.value;
            waits = waits || mayBeAwaited(outlook);
            servers.push_back(describeServer(outlook));
        }
    }
    return { { "service", name.value },
             { "next", next },
             { "waits", next.is_null() && waits },
             { "servers", servers } };
}

void Explainer::addParts(const GatewayRoute &route, MonotonicTime now, json::object &result) const
{
    json::array &parts = result["parts"].as_array();
    if (route.gather) {
        for (const ServiceId &service : route.gather->services)
            parts.push_back(describePart(service, route, now));
    } else if (!route.targets.empty()) {
        parts.push_back(describePart(m_dispatcher.nextTarget(route), route, now));
    }
    const auto open = std::count_if(parts.begin(), parts.end(), [](const json::value &part) {
        return part.at("next").is_null() && !part.at("waits").as_bool();
    });
    const auto all = std::max<std::size_t>(parts.size(), 1);
    const double coverage = 1 - static_cast<double>(open) / static_cast<double>(all);
    const double needed = route.gather ? route.gather->minCoverage : 1;
    if (coverage < needed)
        addRefusal(result, RefusalReason::NoBackend,
                   std::to_string(open) + " of " + std::to_string(parts.size())
                           + " parts have no server that is in service and reachable");
}

json::object Gateway::explain(const ExplainQuery &query, MonotonicTime now) const
{
    return Explainer(m_configuration.get(), m_dispatcher, m_selector).explain(query, now);
}

} // namespace greengagestair
