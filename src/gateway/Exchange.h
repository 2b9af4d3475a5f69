#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/HttpMessage.h"
#include "gateway/PartWaitQueue.h"
#include "gateway/RoutingConfiguration.h"

#include <memory>
#include <optional>
#include <vector>

namespace greengagestair {

/** State of the part of a request that goes to one service; gathering routes have one per shard. */
struct Part
{
    const BackendService *service = nullptr;
    std::vector<AttemptId> openAttempts; ///< attempts in progress
    std::vector<ServerId> reached;       ///< distinct servers that attempts may have reached
    std::vector<ServerId> excluded;      ///< servers that get no further attempt for now
    std::vector<ServerId> refusedBy;     ///< those of `excluded` that refused without running it
    std::size_t unsent = 0;              ///< attempts that ended with AttemptFailure::NotSent
    std::size_t refusals = 0;            ///< attempts that a server refused without running them
    MonotonicTime firstSentAt;           ///< start of the first attempt
    MonotonicTime returnAt;              ///< servers in `refusedBy` may be tried again from then on
    std::optional<BackendAnswer> answer; ///< response that is forwarded or merged
    std::optional<BackendAnswer> failure; ///< the last error response of a server
    bool isSettled = false;             ///< the part has its answer or failed; no further attempts
    std::optional<WaitingPart> waiting; ///< position in the queue of waiting parts
    bool isForTargetVersion = false;    ///< its first attempt goes to the target of a roll-out
    bool mayHaveRun = false; ///< an attempt failed, but a server may have run the request
};

/**
 * Servers that were lost while they ran one request. The request and its attempts share it, since
 * an attempt may end after the reply was sent or the caller has disconnected.
 */
struct RequestLosses
{
    Signature signature;   ///< hash of host, method, target and body; identifies repetitions
    std::string requestId; ///< as the caller sent it
    std::vector<ServerId> servers;
    bool wasAnswered = false;     ///< a server has answered, so the request does not crash servers
    bool hasRequestEnded = false; ///< replied to, or given up by the caller
};

/** State of one caller's request in progress. Owned by RequestDispatcher. */
struct Exchange
{
    ExchangeId id;
    std::shared_ptr<const GatewayRequest> request;
    std::shared_ptr<const RoutingConfiguration> configuration; ///< version used for all parts
    const GatewayRoute *route = nullptr;                       ///< belongs to `configuration`
    const Tenant *tenant = nullptr; ///< belongs to `configuration`; null if there is none
    MonotonicTime arrivedAt;        ///< time of the RequestReceived event minus its readDelay
    MonotonicTime deadlineAt;       ///< latest time of the reply
    MonotonicTime partialAnswerAt;  ///< earliest time of a partial answer with minimum coverage
    std::vector<Part> parts;
    std::size_t answered = 0; ///< parts with an answer
    std::size_t failed = 0;   ///< parts that were settled without an answer
    std::size_t hedges = 0;   ///< hedges sent for any part
    std::shared_ptr<RequestLosses> losses;
};

/** Ends the part, with its answer if it has one. Does nothing if it has ended. */
void settlePart(Exchange &exchange, std::size_t index);
/** Number of further answers that the request needs for its minimum coverage. */
std::size_t lackingParts(const Exchange &exchange);
/** True if an attempt of any part may have reached a server. */
bool hasReachedServer(const Exchange &exchange);
/** True if a server may have run the request or may still run it. */
bool mayHaveRun(const Exchange &exchange);
/** True if answers to this number of parts reach the route's minimum coverage. */
bool meetsMinCoverage(const Exchange &exchange, std::size_t parts);

} // namespace greengagestair
