#pragma once

#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace greengagestair {

/** A caller's request, as read by the HTTP front end. */
struct CallerRequest
{
    CallerId caller;
    ServiceId service;
    OperationId operation;
    std::optional<Duration> deadline; ///< the service's default if absent
    std::optional<IdempotencyKey> idempotencyKey;
    std::string routingKey;
    std::string body;
};

/** A caller asks what became of a non-repeatable request. */
struct OutcomeQuery
{
    CallerId caller;
    ServiceId service;
    IdempotencyKey idempotencyKey;
};

/** The caller closed its connection. */
struct CallerGone
{
    CallerId caller;
};

/** A message from another entry host. */
struct PeerReceived
{
    PeerEnvelope envelope;
};

/** The connection to another entry host was lost or could not be made. */
struct PeerLost
{
    HostId host;
};

/** What happened to one request to a backend server. */
enum class BackendStatus {
    Answered,       ///< HTTP 200
    VersionNotHeld, ///< HTTP 409
    Shed,           ///< HTTP 503, reason shed
    Draining,       ///< HTTP 503, reason draining
    Cold,           ///< HTTP 503, reason cold
    DeadlinePassed, ///< HTTP 504
    Unexpected,     ///< any other answer
    NotConnected,   ///< no connection could be made: no byte was sent
    ConnectionLost, ///< the connection was lost after a byte may have been sent
    TimedOut        ///< no answer in time; a byte may have been sent
};

/** The end of one request to a backend server. */
struct BackendFinished
{
    SendId send;
    BackendStatus status = BackendStatus::Unexpected;
    SendId echoed; ///< request identifier in the answer
    IndexVersion version;
    std::vector<IndexVersion> heldVersions;
    std::string body;
};

/** A platform key with its value. */
struct KeyValue
{
    PlatformKey key;
    Revision revision;
    std::string value;
};

/** A platform key that does not exist. */
struct KeyAbsent
{
    PlatformKey key;
};

/** A compare-and-swap that took effect. */
struct WriteAccepted
{
    PlatformKey key;
    Revision revision;
};

/** A compare-and-swap that found another revision. */
struct RevisionConflict
{
    PlatformKey key;
    Revision current;
};

/** A watch that ended without a change. */
struct WatchExpired
{
    PlatformKey key;
};

/** The platform's host list. */
struct HostListAnswer
{
    Revision revision;
    std::string value; ///< JSON, as received
};

/** No usable answer. Unless `sent` is false, a write may have taken effect. */
struct PlatformFailure
{
    PlatformKey key;
    bool sent = true;
};

/** The end of one call to the platform. */
struct PlatformFinished
{
    CallId call;
    std::variant<KeyValue, KeyAbsent, WriteAccepted, RevisionConflict, WatchExpired, HostListAnswer,
                 PlatformFailure>
            result;
};

/** The time asked for by Reducer::nextWakeUp has come. */
struct Tick
{
};

/** The process was asked to stop. */
struct StopRequested
{
};

/** Everything that the reducer reacts to. */
using Event = std::variant<CallerRequest, OutcomeQuery, CallerGone, PeerReceived, PeerLost,
                           BackendFinished, PlatformFinished, Tick, StopRequested>;

} // namespace greengagestair
