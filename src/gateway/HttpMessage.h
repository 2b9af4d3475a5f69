#pragma once

#include "greengagestair/Types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace greengagestair {

/** One header field as received; names compare without regard to case. */
struct HeaderField
{
    std::string name;
    std::string value;
};

using Headers = std::vector<HeaderField>;

/** Compares ASCII text as header names, host names and tokens are compared. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** A caller's request as it is passed on to backend servers. */
struct GatewayRequest
{
    std::string method;
    std::string target; ///< path and query, byte for byte as received
    std::string host;
    std::string requestId;
    std::optional<Duration> deadline; ///< how long the caller waits; null if it did not say
    Headers headers;                  ///< end-to-end fields in their order
    std::string body;
};

/** A whole response of a backend server. */
struct BackendAnswer
{
    int status = 0;
    std::string reason;
    Headers headers; ///< end-to-end fields in their order
    std::string body;
    std::string signature;    ///< proof that the server worked on the request; may be empty
    bool notExecuted = false; ///< the server states that it did not run the request
};

/** Why an attempt ended without a whole response. */
enum class AttemptFailure {
    NotSent, ///< no byte of the request left this process
    Lost,    ///< the connection ended after the request may have arrived
    Corrupt, ///< the bytes received are no response to this request
    Expired  ///< the time of the request ran out
};

using AttemptResult = std::variant<BackendAnswer, AttemptFailure>;

/** The answer of a backend server, passed on unchanged. */
struct ForwardedReply
{
    BackendAnswer answer;
};

/** The merged answer of several shards. */
struct MergedReply
{
    std::vector<std::string> signatures; ///< one for each part that is included
    std::size_t missingParts = 0;
    std::string records; ///< greatest first
};

/** Why the gateway itself ends a request. */
enum class RefusalReason {
    NoConfiguration, ///< not run: no configuration is known yet
    NoRoute,         ///< the configuration has no such route
    NoBackend,       ///< not run: no backend server can take the request now
    Shed,            ///< not run: each backend server that was asked refused
    Quarantined,     ///< not run: requests like this one crash backend servers
    Failed,          ///< may have run: no usable answer
    TimedOut         ///< may have run: no answer in time
};

/** A refusal by the gateway. */
struct RefusedReply
{
    RefusalReason reason = RefusalReason::Failed;
    Duration retryAfter {}; ///< when to come back; only for requests that have not run
};

using Reply = std::variant<ForwardedReply, MergedReply, RefusedReply>;

/** True if the refusal states that the request has not run and never will. */
bool provesNotRun(RefusalReason reason);

/** Name of the reason in logs and metrics. */
const char *toText(RefusalReason reason);
const char *toText(AttemptFailure failure);

} // namespace greengagestair
