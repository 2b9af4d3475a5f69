#pragma once

#include "gateway/HttpMessage.h"
#include "gateway/rollout/RolloutState.h"
#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace greengagestair {

/** Limits on the idle connections that this host keeps to one backend server. */
struct IdleConnectionLimits
{
    std::size_t idle = 1;                         ///< maximum number of idle connections
    Duration idleTime = std::chrono::seconds(60); ///< maximum; the server may use less
};

/** Send a request to a backend server. Exactly one AttemptEnded event follows. */
struct StartAttempt
{
    AttemptId attempt;
    ServerId server;
    Endpoint endpoint;
    std::shared_ptr<const GatewayRequest> request;
    Duration remaining {}; ///< time left for the response
    IdleConnectionLimits idleLimits;
    /**
     * Set if the configuration requires keys: the server then gets the tenant's name and neither
     * the caller's key nor a tenant that the caller names.
     */
    std::optional<VerifiedCaller> caller {};
};

/**
 * The response to an attempt is no longer needed. The connection is closed if the response has not
 * arrived within `linger`.
 */
struct ReleaseAttempt
{
    AttemptId attempt;
    Duration linger {};
};

/** Send the reply to a caller. */
struct ReplyToCaller
{
    ExchangeId exchange;
    Reply reply;
    std::string outcome; ///< name of the outcome in logs and metrics
    Duration elapsed {}; ///< time since the request arrived
};

/** Close the idle connections to a server that was removed from the directory. */
struct CloseIdleConnections
{
    ServerId server;
};

/** Report to all other entry hosts that a server was lost while it ran a request. */
struct ReportServerLoss
{
    SignatureLoss loss;
};

/**
 * Open a connection to a server and keep it for later requests. A connection that is open
 * already suffices. One ConnectionAttemptEnded event follows.
 */
struct OpenConnection
{
    ServerId server;
    Endpoint endpoint;
};

/**
 * Report to the other entry hosts of this host's own failure domain that this host cannot reach
 * `failureDomain`.
 */
struct ReportUnreachableDomain
{
    FailureDomainId failureDomain;
};

/** Send a message to another entry host. */
struct SendToHost
{
    HostId host;
    Endpoint endpoint;
    PeerMessage message;
};

/** Write the state of a roll-out to the store. One RolloutWriteEnded event follows. */
struct WriteRolloutState
{
    RolloutWrite write;
};

/** Class of a log record; each class has its own rate limit, beyond which records are dropped. */
enum class LogPriority {
    State,   ///< a change of the process's state or of its view of servers and hosts
    Failure, ///< a request that was not served in full
    Detail   ///< a step in the handling of a single request
};

/** One structured log record: an event name with named values. */
struct LogRecord
{
    LogPriority priority = LogPriority::Detail;
    std::string_view event;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

/** An action that the process has to carry out for the gateway. */
using GatewayEffect =
        std::variant<StartAttempt, ReleaseAttempt, ReplyToCaller, CloseIdleConnections,
                     ReportServerLoss, OpenConnection, ReportUnreachableDomain, SendToHost,
                     WriteRolloutState, LogRecord>;
/** Actions in the order in which they have to be carried out. */
using GatewayEffects = std::vector<GatewayEffect>;

} // namespace greengagestair
