#pragma once

#include "greengagestair/Types.h"
#include "http/HeaderField.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengagestair {

/** A caller's request as it is forwarded to backend servers. */
struct GatewayRequest
{
    std::string method;
    std::string target; ///< path and query, byte for byte as received
    std::string host;   ///< value of the Host header
    std::string requestId;
    std::optional<Duration> deadline; ///< how long the caller waits; nullopt if not stated
    Headers headers;                  ///< end-to-end fields in their order
    std::string body;
};

/** Whom a request is sent for, as this host has verified it. */
struct VerifiedCaller
{
    std::optional<TenantId> tenant; ///< nullopt on a public route without a valid key
};

/** What a backend server says of itself in a response. */
struct ServerStatement
{
    /** Requests per second that the server takes from all entry hosts together, while it is said */
    std::optional<double> requestLimit;
    bool isLeaving = false;        ///< the server is shutting down and takes no new requests
    std::optional<Duration> pause; ///< with status 503: the server wants nothing for so long
    std::string invalid; ///< a field that could not be read, with its value; empty if none
};

/** A complete response of a backend server. */
struct BackendAnswer
{
    int status = 0;
    std::string reason; ///< reason phrase of the status line
    Headers headers;    ///< end-to-end fields in their order
    std::string body;
    std::string signature;    ///< proves that the server ran the request; empty if absent
    bool notExecuted = false; ///< the server states that it did not run the request
    ServerStatement statement;
};

/** Why an attempt ended without a complete response. */
enum class AttemptFailure {
    NotSent, ///< no byte of the request left this process
    Lost,    ///< the connection ended after bytes of the request may have arrived
    Corrupt, ///< the bytes received are not a valid response to this request
    Expired  ///< there was no response in the time that the request had left
};

/** Result of one attempt. */
using AttemptResult = std::variant<BackendAnswer, AttemptFailure>;

/** A reply that forwards the answer of a backend server unchanged. */
struct ForwardedReply
{
    BackendAnswer answer;
};

/** A reply that merges the answers of several shards. */
struct MergedReply
{
    std::vector<std::string> signatures; ///< one for each part that is included
    std::size_t missingParts = 0;        ///< shards that did not contribute
    std::string records;                 ///< the greatest records, in descending order
};

/** Why the gateway itself ends a request without a usable answer of a backend server. */
enum class RefusalReason {
    NoConfiguration, ///< not run: no configuration was read yet
    NoRoute,         ///< no route for the host and path; no guarantee that the request has not run
    Unauthorized,    ///< no valid key of a tenant; no guarantee that the request has not run
    OverQuota,       ///< not run: the tenant has used up its quota
    NoBackend,       ///< not run: no backend server can take the request now
    Shed,            ///< not run: refused by the servers reached, or read after its deadline
    Quarantined,     ///< not run: requests with the same signature crashed backend servers
    Stopping,        ///< not run: this process ends before the request could be answered
    Failed,          ///< may have run: no usable answer
    TimedOut         ///< may have run: no answer before the deadline
};

/** A reply by which the gateway itself refuses a request. */
struct RefusedReply
{
    RefusalReason reason = RefusalReason::Failed;
    Duration retryAfter {}; ///< when to retry; 0 unless the request is known not to have run
};

/** The reply to a caller. */
using Reply = std::variant<ForwardedReply, MergedReply, RefusedReply>;

/** True if the reason guarantees that the request has not run and will not run. */
bool provesNotRun(RefusalReason reason);

/** Name of the reason in logs, in metrics and in the body of the reply. */
const char *toText(RefusalReason reason);
/** Name of the failure in logs and metrics. */
const char *toText(AttemptFailure failure);

} // namespace greengagestair
