#pragma once

#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengagestair {

/** A caller's request has been received by the HTTP front end. */
struct CallerRequest
{
    CallerId caller;
    ServiceId service;
    OperationId operation;
    std::optional<Duration> deadline; ///< Service::defaultDeadline applies if absent
    std::optional<IdempotencyKey> idempotencyKey;
    std::string routingKey;
    std::string body;
};

/** A caller asks for the outcome of an earlier non-repeatable request. */
struct OutcomeQuery
{
    CallerId caller;
    ServiceId service;
    IdempotencyKey idempotencyKey;
};

/** A caller closed its connection. */
struct CallerGone
{
    CallerId caller;
};

/** A message from another entry host has been received. */
struct PeerReceived
{
    PeerEnvelope envelope;
};

/** The connection to another entry host was lost or could not be established. */
struct PeerLost
{
    HostId host;
    /** The host's machine refused or reset the connection, so the process there has ended. */
    bool isRefused = false;
};

/** How one request to a backend server ended. */
enum class BackendStatus {
    Answered,       ///< HTTP 200
    VersionNotHeld, ///< HTTP 409
    Shed,           ///< HTTP 503, reason shed
    Draining,       ///< HTTP 503, reason draining
    Cold,           ///< HTTP 503, reason cold
    DeadlinePassed, ///< HTTP 504
    Unexpected,     ///< any other answer
    NotConnected,   ///< no connection could be established, so no byte was sent
    ConnectionLost, ///< the connection was lost after at least one byte may have been sent
    TimedOut        ///< no answer before the deadline; at least one byte may have been sent
};

/** A request to a backend server has ended. Each SendToBackend leads to exactly one
 * BackendFinished. */
struct BackendFinished
{
    SendId send;
    BackendStatus status = BackendStatus::Unexpected;
    SendId echoed;                          ///< request identifier that the answer contains
    IndexVersion version;                   ///< index version that the server answered from
    std::vector<IndexVersion> heldVersions; ///< index versions that the server holds
    std::string body;
};

/** Result of a read or watch: a platform key with its value. */
struct KeyValue
{
    PlatformKey key;
    Revision revision;
    std::string value;
};

/** Result of a read or watch: the platform key does not exist. */
struct KeyAbsent
{
    PlatformKey key;
};

/** Result of a compare-and-swap that took effect. */
struct WriteAccepted
{
    PlatformKey key;
    Revision revision; ///< new revision of the key
};

/** Result of a compare-and-swap that had no effect because the key has another revision. */
struct RevisionConflict
{
    PlatformKey key;
    Revision current; ///< revision of the key in the platform
};

/** Result of a watch whose timeout passed without a change of the key. */
struct WatchExpired
{
    PlatformKey key;
};

/** Result of a ListHosts call: the platform's host list. */
struct HostListAnswer
{
    Revision revision;
    std::string value; ///< JSON text as received
};

/** Result of a call that got no usable answer. If `sent` is true, a write may have taken effect. */
struct PlatformFailure
{
    PlatformKey key;
    bool sent = true; ///< false if no byte of the request was sent
};

/** A call to the platform has ended. Each CallPlatform leads to exactly one PlatformFinished. */
struct PlatformFinished
{
    CallId call;
    std::variant<KeyValue, KeyAbsent, WriteAccepted, RevisionConflict, WatchExpired, HostListAnswer,
                 PlatformFailure>
            result;
};

/** The time returned by Reducer::nextWakeUp has been reached. */
struct Tick
{
};

/** A planned stop of the process was requested. */
struct StopRequested
{
};

/** Any input of the reducer. */
using Event = std::variant<CallerRequest, OutcomeQuery, CallerGone, PeerReceived, PeerLost,
                           BackendFinished, PlatformFinished, Tick, StopRequested>;

} // namespace greengagestair
