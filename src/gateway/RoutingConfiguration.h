#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/** One target of a route that splits its requests over services. */
struct WeightedService
{
    ServiceId service;
    double weight = 1; ///< share of the requests, relative to the other targets' weights
};

/** How a gathering route sends a request to several services and merges their answers. */
struct GatherPolicy
{
    std::vector<ServiceId> services; ///< the shards; each contributes one part
    std::size_t topRecords = 0;      ///< maximum number of records in the merged answer
    double minCoverage = 1;          ///< minimum share of the shards for a partial answer, 0 to 1
};

/** Target services and handling of the requests with one host and path prefix. */
struct GatewayRoute
{
    std::string name;
    std::string host;                     ///< value of the Host header, without a port
    std::string prefix;                   ///< path prefix; begins and ends with a slash
    bool repeatable = false;              ///< whether a request may run more than once
    Duration timeout {};                  ///< maximum time until a caller gets its reply
    Duration latencyTarget {};            ///< an answer after this time is worth less to the caller
    std::size_t maxAttempts = 1;          ///< maximum number of servers that a part may reach
    int urgencyRank = 0;                  ///< 0 is the most urgent
    std::vector<WeightedService> targets; ///< empty for a gathering route
    std::optional<GatherPolicy> gather;   ///< set for a gathering route
    bool isPublic = false;                ///< requests need no key even if the others do
};

/** Properties that hold for each backend server of a service. */
struct BackendService
{
    ServiceId name;
    std::size_t connectionLimit = 0;  ///< connections that one server accepts from all clients
    double coldRequestsPerSecond = 0; ///< request rate that a cold server handles; 0: no limit
    std::optional<Duration> coldTime; ///< time for which a server is cold after its start
};

/** An organisation whose callers share keys and a quota. */
struct Tenant
{
    TenantId name;
    std::vector<std::string> keys; ///< any of them proves that a request is the tenant's
    int urgencyRank = 0;           ///< goes before the rank of the route; 0 is the most urgent
    double requestsPerSecond = 0;  ///< quota over all entry hosts; 0: no limit
    double burst = 0;              ///< requests beyond the rate that the quota allows at once

    bool operator==(const Tenant &) const = default;
};

/** Limits on callers' requests and connections. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Duration headerTimeout = std::chrono::seconds(3); ///< maximum time to receive the header
    Duration idleTimeout = std::chrono::seconds(15);  ///< maximum time for the body or while idle
};

/** One version of the operators' routing configuration. Not modified after it was read. */
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<GatewayRoute> routes;
    std::map<ServiceId, BackendService> services;
    CallerLimits limits;
    /** Requests need a tenant's key, except on public routes. Can be true without any tenant. */
    bool requiresKeys = false;
    std::vector<Tenant> tenants;
    /** Index of the tenant that holds a key. */
    std::unordered_map<std::string, std::size_t> tenantByKey;
};

/**
 * Adds a tenant and its keys, and requires keys from now on. A key that an earlier tenant holds
 * stays with that tenant.
 */
void addTenant(RoutingConfiguration &configuration, Tenant tenant);

/**
 * The route for this host whose prefix is the longest that matches the target's path; null if there
 * is none. The port of `host` and the query of `target` are ignored.
 */
const GatewayRoute *findRoute(const RoutingConfiguration &configuration, std::string_view host,
                              std::string_view target);

} // namespace greengagestair
