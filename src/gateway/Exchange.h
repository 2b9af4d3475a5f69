#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/HttpMessage.h"
#include "gateway/RoutingConfiguration.h"

#include <memory>
#include <optional>
#include <vector>

namespace greengagestair {

/** The piece of a request that goes to one service. */
struct Part
{
    const BackendService *service = nullptr;
    std::vector<AttemptId> openAttempts;  ///< attempts in progress
    std::vector<ServerId> tried;          ///< servers that were chosen for it
    std::size_t sent = 0;                 ///< attempts that may have reached a server
    std::size_t unsent = 0;               ///< attempts that reached no server
    std::optional<BackendAnswer> answer;  ///< the usable answer
    std::optional<BackendAnswer> failure; ///< a server's own failure, if there is no answer
    bool isSettled = false;               ///< nothing more happens for this part
    bool isWaiting = false;               ///< no server had room yet
    bool mayHaveRun = false;              ///< an attempt ended without proof that it did not run
};

/** One request of a caller in progress. */
struct Exchange
{
    ExchangeId id;
    std::shared_ptr<const GatewayRequest> request;
    std::shared_ptr<const RoutingConfiguration> configuration; ///< all parts come from this version
    const GatewayRoute *route = nullptr;
    Signature signature;
    MonotonicTime arrivedAt;
    MonotonicTime deadlineAt; ///< the caller has its answer by then
    MonotonicTime cutoffAt;   ///< from here on, parts that are missing are not waited for
    std::vector<Part> parts;
};

/** Number of parts with an answer. */
std::size_t answeredParts(const Exchange &exchange);
/** Number of parts that will not get an answer. */
std::size_t failedParts(const Exchange &exchange);
/** True if that many parts of the request make a success. */
bool meetsMinCoverage(const Exchange &exchange, std::size_t parts);

} // namespace greengagestair
