#pragma once

#include "gateway/HttpMessage.h"
#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace greengagestair {

/** How many idle connections to a server are kept, and for how long. */
struct IdleConnectionLimits
{
    std::size_t idle = 1;
    Duration idleTime = std::chrono::seconds(60); ///< at most; the server may close them sooner
};

/** Send a request to a backend server. Ends with exactly one AttemptEnded. */
struct StartAttempt
{
    AttemptId attempt;
    ServerId server;
    Endpoint endpoint;
    std::shared_ptr<const GatewayRequest> request;
    Duration remaining {}; ///< time left for the response
    IdleConnectionLimits idleLimits;
};

/** The response is not needed any more; the connection is closed if it has not come by then. */
struct ReleaseAttempt
{
    AttemptId attempt;
    Duration linger {};
};

/** Answer a caller. */
struct ReplyToCaller
{
    ExchangeId exchange;
    Reply reply;
    std::string outcome; ///< for logs and metrics
    Duration elapsed {}; ///< since the request came
};

/** Close the idle connections to a server that has left. */
struct CloseIdleConnections
{
    ServerId server;
};

/** Tell all other hosts that a server was lost. */
struct ReportServerLoss
{
    SignatureLoss loss;
};

/**
 * Open a connection to a server and keep it for requests; one that is open already will do. Ends
 * with one ConnectionAttemptEnded.
 */
struct OpenConnection
{
    ServerId server;
    Endpoint endpoint;
};

/** Tell the hosts of this failure domain that another one cannot be reached from here. */
struct ReportUnreachableDomain
{
    FailureDomainId failureDomain;
};

/** How much a log line matters when lines have to be dropped. */
enum class LogPriority {
    State,   ///< a change of what the process believes
    Failure, ///< a request that was not served in full
    Detail   ///< a decision about a request that was served
};

/** One decision, for the log. */
struct LogRecord
{
    LogPriority priority = LogPriority::Detail;
    std::string_view event;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

using GatewayEffect =
        std::variant<StartAttempt, ReleaseAttempt, ReplyToCaller, CloseIdleConnections,
                     ReportServerLoss, OpenConnection, ReportUnreachableDomain, LogRecord>;
using GatewayEffects = std::vector<GatewayEffect>;

} // namespace greengagestair
