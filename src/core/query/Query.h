#pragma once

#include "core/Interfaces.h"
#include "core/query/QueryId.h"
#include "core/query/SnapshotSelector.h"
#include "greengagestair/Event.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** One attempt of a part that has not ended. */
struct Attempt
{
    PartId id;
    ServerId server;
    Member owner;
    MonotonicTime sentAt;
    bool hedge = false;
};

/** The piece of a query that goes to one group. */
struct QueryPart
{
    enum class State {
        Unsent,   ///< waits for the canary, or has not been sent yet
        Open,     ///< has open attempts
        Held,     ///< its server was lost; waits until the loss is in the document
        Answered, ///< settled with an answer
        Missing   ///< settled without one
    };

    State state = State::Unsent;
    PartReason reason = PartReason::None; ///< why the last attempt failed
    std::vector<Attempt> attempts;        ///< open ones
    std::vector<ServerId> tried;          ///< servers that had an attempt
    bool replicaLackedVersion = false;    ///< some replica lacked the pinned version
    MonotonicTime hedgeAt = kNever;
    IndexVersion answeredVersion;
    std::string body;

    bool isSettled() const { return state == State::Answered || state == State::Missing; }
};

/** One caller's request in progress. */
struct Query
{
    enum class Phase { Waiting, Claiming, Running, Recording };
    /** What the parts other than the probe wait for. */
    enum class FanOutGate { Open, Canary, Isolated };

    QueryId id;
    CallerId caller;
    ServiceId service;
    OperationId operation;
    std::optional<IdempotencyKey> idempotencyKey; ///< set if the request is not repeatable
    std::string routingKey;
    std::string body;
    Signature signature;
    Priority priority = Priority::Routine;
    MonotonicTime arrivedAt;
    MonotonicTime admittedAt;
    MonotonicTime deadline;
    MonotonicTime wakeUpAt = kNever; ///< registered timer

    Phase phase = Phase::Waiting;
    FanOutGate fanOutGate = FanOutGate::Open;
    std::size_t probePart = 0; ///< part that the gate waits for
    std::size_t probeRefusals = 0;
    bool claimed = false; ///< this host holds the claim of a request that may not be repeated
    bool admitted = false;
    bool callerGone = false;
    bool restarted = false;
    bool mayHaveRun = false; ///< some attempt ended without proof that nothing ran
    std::size_t unsettledParts = 0;
    std::shared_ptr<const PinnedSnapshot> snapshot;
    std::optional<std::size_t> routedRange; ///< the range of a routed request
    std::vector<std::size_t> partOfGroup;   ///< index into `parts` for each group of the snapshot
    std::vector<GroupId> groups;            ///< for each part
    std::vector<QueryPart> parts;

    bool isRepeatable() const { return !idempotencyKey.has_value(); }
};

} // namespace greengagestair
