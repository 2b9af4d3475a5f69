#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/** One destination of a route, with its share of the requests. */
struct WeightedService
{
    ServiceId service;
    double weight = 1;
};

/** How the answers of several services are merged into one. */
struct GatherPolicy
{
    std::vector<ServiceId> services; ///< the shards; each contributes one part
    std::size_t topRecords = 0;      ///< records in the merged answer
    double minCoverage = 1;          ///< least share of the shards that makes a success
};

/** Where requests of one host and path prefix go, and what may be done with them. */
struct GatewayRoute
{
    std::string name;
    std::string host;                     ///< value of the Host header, without a port
    std::string prefix;                   ///< begins and ends with a slash
    bool repeatable = false;              ///< whether a request may run more than once
    Duration timeout {};                  ///< longest time that a caller is kept waiting
    Duration latencyTarget {};            ///< an answer within this time has its full value
    std::size_t maxAttempts = 1;          ///< backend servers per part that one request may reach
    int urgencyRank = 0;                  ///< 0 is the most urgent
    std::vector<WeightedService> targets; ///< empty for a gathering route
    std::optional<GatherPolicy> gather;
};

/** Properties that all backend servers of one service share. */
struct BackendService
{
    ServiceId name;
    std::size_t connectionLimit = 0;  ///< connections that one server accepts from all callers
    double coldRequestsPerSecond = 0; ///< what one server bears while cold; 0 if not declared
};

/** Bounds on what callers may send. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 262'144;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the operators' routing configuration. Immutable once it is in force. */
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<GatewayRoute> routes;
    std::map<ServiceId, BackendService> services;
    CallerLimits limits;
};

/** The route of that host with the longest prefix of the target's path; null if there is none. */
const GatewayRoute *findRoute(const RoutingConfiguration &configuration, std::string_view host,
                              std::string_view target);

} // namespace greengagestair
