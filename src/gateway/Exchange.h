#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/HttpMessage.h"
#include "gateway/RoutingConfiguration.h"

#include <memory>
#include <optional>
#include <vector>

namespace greengagestair {

/** State of the part of a request that goes to one service; gathering routes have one per shard. */
struct Part
{
    const BackendService *service = nullptr;
    std::vector<AttemptId> openAttempts;  ///< attempts in progress
    std::vector<ServerId> tried;          ///< servers that were chosen for attempts of this part
    std::size_t sent = 0;                 ///< attempts that may have reached a server
    std::size_t unsent = 0;               ///< attempts that ended with AttemptFailure::NotSent
    std::optional<BackendAnswer> answer;  ///< response that is forwarded or merged
    std::optional<BackendAnswer> failure; ///< the last error response of a server
    bool isSettled = false;  ///< the part has its answer or failed; no further attempts
    bool isWaiting = false;  ///< waits for a server with capacity
    bool mayHaveRun = false; ///< an attempt failed, but a server may have run the request
};

/** State of one caller's request in progress. Owned by RequestDispatcher. */
struct Exchange
{
    ExchangeId id;
    std::shared_ptr<const GatewayRequest> request;
    std::shared_ptr<const RoutingConfiguration> configuration; ///< version used for all parts
    const GatewayRoute *route = nullptr;                       ///< belongs to `configuration`
    Signature signature;      ///< hash of host, method, target and body; identifies repetitions
    MonotonicTime arrivedAt;  ///< time of the RequestReceived event minus its readDelay
    MonotonicTime deadlineAt; ///< latest time of the reply
    MonotonicTime partialAnswerAt; ///< earliest time of a partial answer with minimum coverage
    std::vector<Part> parts;
};

/** Number of parts with an answer. */
std::size_t answeredParts(const Exchange &exchange);
/** Number of parts that were settled without an answer. */
std::size_t failedParts(const Exchange &exchange);
/** True if answers to this number of parts reach the route's minimum coverage. */
bool meetsMinCoverage(const Exchange &exchange, std::size_t parts);

} // namespace greengagestair
