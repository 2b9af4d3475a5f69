#pragma once

#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <string>
#include <variant>
#include <vector>

namespace greengagestair {

/** Outcome of a request as reported to its caller. */
enum class QueryOutcome {
    Complete,   ///< the answer covers every key range of the snapshot
    Partial,    ///< the answer lacks some key ranges and lists them
    NotRun,     ///< refused; no backend server has executed or will execute the request
    MayHaveRun, ///< non-repeatable request that may or may not have been executed
    Failed      ///< repeatable request without an answer for any key range
};

/** Reason why a request got no complete answer. */
enum class QueryReason {
    None,
    BadRequest,
    UnknownService,
    UnknownOperation,
    MissingIdempotencyKey, ///< the operation is not repeatable and needs a key
    IdentifierExpired,     ///< the idempotency key is too old
    IdentifierInFuture,    ///< the time in the idempotency key lies in the future
    NotReady,              ///< the host does not serve callers yet, see Reducer::isReady
    Stopping,              ///< the host is being stopped
    Overloaded,
    DeadlinePassed,
    Quarantined,         ///< the signature of the request is quarantined
    NoSnapshot,          ///< no usable snapshot of the service's index is held
    NoReplica,           ///< no backend server could take the parts
    PlatformUnavailable, ///< the platform, which a non-repeatable request needs, did not answer
    ClaimedElsewhere,    ///< another claim of the same identifier exists
    ConnectionLost,
    MissingParts
};

/** The answer for one key range [from, to). */
struct AnsweredRange
{
    std::string from;
    std::string to;
    std::string body;
};

/** A key range [from, to) without an answer. */
struct MissingRange
{
    std::string from;
    std::string to;
    PartReason reason = PartReason::None;
};

/** The complete answer to one caller's request. */
struct CallerAnswer
{
    QueryOutcome outcome = QueryOutcome::NotRun;
    QueryReason reason = QueryReason::None;
    ServiceId service;
    IndexVersion snapshot; ///< index version that all parts were answered from
    std::vector<AnsweredRange> parts;
    std::vector<MissingRange> missing;
    /**
     * This attempt of a non-repeatable request was not sent. With MayHaveRun, an earlier attempt
     * under the same identifier may have run.
     */
    bool notSent = false;
};

/** Sends the only answer to a caller's request. */
struct AnswerCaller
{
    CallerId caller;
    CallerAnswer answer;
};

/** Sends a message to another entry host and connects to it first if necessary. */
struct SendToPeer
{
    HostId host;
    Endpoint endpoint;
    PeerMessage message;
};

/** Sends one request to a backend server. The adapter reports exactly one BackendFinished. */
struct SendToBackend
{
    SendId send;
    ServerId server;
    Endpoint endpoint;
    ServiceId service;
    GroupId group;
    IndexVersion version;
    Duration deadline {};   ///< remaining time, after which the adapter reports TimedOut
    MonotonicTime notAfter; ///< latest start; afterwards the adapter reports NotConnected
    std::string body;
};

/** Cancels a request on a backend server. The adapter still reports its BackendFinished. */
struct CancelBackend
{
    SendId send;
    ServerId server;
    Endpoint endpoint;
};

/** Platform call that reads a key. */
struct ReadKey
{
    PlatformKey key;
};

/** Platform call that sets a key by compare-and-swap. */
struct WriteKey
{
    PlatformKey key;
    Revision expected; ///< the write fails at any other revision; 0 if the key must not exist
    std::string value;
};

/** Platform call that waits until the revision of a key is above `after` or the timeout has passed.
 */
struct WatchKey
{
    PlatformKey key;
    Revision after;
    Duration timeout {};
};

/** Platform call that reads the host list. */
struct ListHosts
{
};

/** Makes a call to the platform. The adapter reports exactly one PlatformFinished. */
struct CallPlatform
{
    CallId call;
    Duration timeout {};
    std::variant<ReadKey, WriteKey, WatchKey, ListHosts> request;
};

/** Kinds of state change that are logged. */
enum class StateChangeKind {
    DocumentAdopted,
    DocumentRejected,
    GrantsHeld,
    GrantsLost,
    MemberFailed,
    MemberRecovered,
    ServerCold,
    ServerWarm,
    ServerDraining,
    ServerLost,
    SignatureSuspect,
    SignatureQuarantined,
    SignatureCleared,
    PlatformUnreachable,
    PlatformReachable,
    Ready,
    Stopping,
    Stopped
};

/** Writes one structured log line. */
struct LogStateChange
{
    StateChangeKind kind = StateChangeKind::Ready;
    std::string subject;      ///< name of the document, host or server, or the signature
    std::uint64_t number = 0; ///< version or count, for the kinds that have one
};

/** Ends the process, which closes its connections and exits. It is emitted once all accepted
 * requests have ended or the time limit of the stop has passed. */
struct FinishStop
{
};

/** Any output of the reducer: an action that the process carries out. */
using Effect = std::variant<AnswerCaller, SendToPeer, SendToBackend, CancelBackend, CallPlatform,
                            LogStateChange, FinishStop>;

/** Effects of one event, in the order in which they were emitted. */
using Effects = std::vector<Effect>;

} // namespace greengagestair
