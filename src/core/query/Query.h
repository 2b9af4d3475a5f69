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

/** An open attempt: one request for a part to one backend server, which has not ended yet. */
struct Attempt
{
    PartId id;       ///< identifies the attempt, not the part: a retry has another one
    ServerId server; ///< backend server that executes the part
    Member owner;    ///< entry host that sends to the backend server
    MonotonicTime sentAt;
    bool hedge = false; ///< sent while another attempt of the part was open
};

/** The part of a query that one group answers: its state, its attempts and its answer. */
struct QueryPart
{
    /** Progress of the part. A part is settled when it is answered or missing. */
    enum class State {
        Unsent,   ///< has no attempt now; may wait for the answer of the probe part
        Open,     ///< has open attempts
        Held,     ///< its server was lost; waits until the quarantine document shows the loss
        Answered, ///< settled with an answer
        Missing   ///< settled without an answer
    };

    State state = State::Unsent;
    PartReason reason = PartReason::None; ///< why the last attempt failed
    std::vector<Attempt> attempts;        ///< open attempts
    std::vector<ServerId> tried;          ///< servers that had an attempt
    bool replicaLackedVersion = false;    ///< some replica does not hold the pinned version
    MonotonicTime hedgeAt = kNever;       ///< time at which the part is checked for a hedge
    IndexVersion answeredVersion;         ///< index version of the answer
    std::string body;                     ///< body of the answer

    /** Returns whether the part needs no further attempt. */
    bool isSettled() const { return state == State::Answered || state == State::Missing; }
};

/** A request of a caller from its arrival to its answer, with its parts. QueryTable stores it. */
struct Query
{
    /** Progress of the query. */
    enum class Phase {
        Waiting,  ///< waits for admission
        Claiming, ///< waits for the claim of a non-repeatable request
        Running,  ///< its parts are being executed
        Recording ///< waits until the result of a non-repeatable request is recorded
    };
    /** Whether the parts other than the probe part may be sent. */
    enum class FanOutGate {
        Open,    ///< all parts may be sent
        Canary,  ///< the other parts wait for the answer of the probe part
        Isolated ///< like Canary, and the server executes nothing besides the probe part
    };

    QueryId id;
    CallerId caller;
    ServiceId service;
    OperationId operation;
    std::optional<IdempotencyKey> idempotencyKey; ///< set only for a non-repeatable request
    std::string routingKey; ///< key that selects the group if the service routes to one group
    std::string body;       ///< request body, which every part gets unchanged
    Signature signature;    ///< hash by which the quarantine recognises requests that crash servers
    Priority priority = Priority::Routine;
    MonotonicTime arrivedAt;
    MonotonicTime admittedAt;
    MonotonicTime deadline;          ///< time at which the query ends at the latest
    MonotonicTime wakeUpAt = kNever; ///< time of its current timer in QueryTable

    Phase phase = Phase::Waiting;
    FanOutGate fanOutGate = FanOutGate::Open;
    std::size_t probePart = 0;      ///< index of the part whose answer opens the gate
    std::size_t probeRefusals = 0;  ///< times that the probe part was refused because of load
    bool claimed = false;           ///< this host holds the claim of a non-repeatable request
    bool admitted = false;          ///< counts as in progress in AdmissionControl
    bool callerGone = false;        ///< the caller disconnected or has its answer already
    bool restarted = false;         ///< was moved to another snapshot; happens at most once
    bool mayHaveRun = false;        ///< a backend server may have executed an ended attempt
    std::size_t unsettledParts = 0; ///< parts that are neither answered nor missing
    std::shared_ptr<const PinnedSnapshot> snapshot; ///< null until the query starts
    std::optional<std::size_t> routedRange; ///< index of the range that holds the routing key
    std::vector<std::size_t> partOfGroup;   ///< index into `parts` for each group of the snapshot
    std::vector<GroupId> groups;            ///< group of each part
    std::vector<QueryPart> parts;

    /** Returns whether the request may be executed more than once. */
    bool isRepeatable() const { return !idempotencyKey.has_value(); }
};

} // namespace greengagestair
