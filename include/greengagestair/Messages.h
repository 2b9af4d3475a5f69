#pragma once

#include "greengagestair/Types.h"

#include <string>
#include <variant>
#include <vector>

namespace greengagestair {

/** Version of one document as held by the sender. */
struct DocumentVersion
{
    PlatformKey key;
    Revision version;

    auto operator<=>(const DocumentVersion &) const = default;
};

/** What a cell member says of another member in its acks. */
enum class GrantState { Granting, Clearing, Failed };

/** One member's state as seen by the sender of an ack. */
struct MemberReport
{
    HostId member;
    GrantState state = GrantState::Clearing;

    auto operator<=>(const MemberReport &) const = default;
};

/** Sent to each cell member at a fixed interval, and to a few hosts of other cells. */
struct Heartbeat
{
    std::uint64_t sequence = 0;
    FailureDomainId failureDomain;
    Revision memberListVersion;
    bool leaving = false;  ///< the sender takes no new work and gives up its servers
    bool released = false; ///< the sender has nothing in flight and never acts again
    std::vector<DocumentVersion> documents;

    bool operator==(const Heartbeat &) const = default;
};

/** Answer to a heartbeat. */
struct HeartbeatAck
{
    std::uint64_t sequence = 0; ///< of the heartbeat
    Incarnation incarnation;    ///< of the sender of the heartbeat, as acked
    Revision memberListVersion;
    GrantState grant = GrantState::Clearing; ///< for the receiver of this ack
    std::vector<MemberReport> reports;       ///< on all other members of the cell
    std::vector<DocumentVersion> documents;

    bool operator==(const HeartbeatAck &) const = default;
};

/** Asks a member to add the sender to the member list. */
struct JoinRequest
{
    FailureDomainId failureDomain;
    Endpoint endpoint;

    bool operator==(const JoinRequest &) const = default;
};

/** Asks for a document that the receiver holds in a newer version. */
struct DocumentRequest
{
    PlatformKey key;

    bool operator==(const DocumentRequest &) const = default;
};

/** A document in the version that the sender holds. */
struct DocumentPush
{
    PlatformKey key;
    Revision version;
    std::string content;

    bool operator==(const DocumentPush &) const = default;
};

/** One part of a query, sent by the entry host to the owner of a backend server. */
struct PartRequest
{
    PartId part;
    ServerId server;
    ServiceId service;
    OperationId operation;
    GroupId group;
    IndexVersion version; ///< the pinned snapshot
    Signature signature;
    Priority priority = Priority::Routine;
    Duration age {};      ///< since the query arrived at its entry host
    Duration deadline {}; ///< remaining
    bool repeatable = true;
    bool canary = false;   ///< first attempt of an unknown signature: one at a time at its owner
    bool isolated = false; ///< run only while nothing else is in flight on the server
    std::string body;

    bool operator==(const PartRequest &) const = default;
};

/** The entry host no longer wants a part. */
struct PartCancel
{
    PartId part;

    bool operator==(const PartCancel &) const = default;
};

/** How one attempt of a part ended. */
enum class PartOutcome {
    Answered,       ///< the backend server answered from the pinned version
    NotSent,        ///< proved from the owner's state: no byte went to the backend server
    VersionNotHeld, ///< the backend server lacks the pinned version and ran nothing
    Refused,        ///< the backend server refused (shed, draining, cold) and ran nothing
    ServerLost,     ///< the connection was lost with the part in flight; it may have run
    MayHaveRun      ///< any other ending after a byte may have been sent
};

/** Why an attempt did not produce an answer. */
enum class PartReason {
    None,
    NotOwner,
    OutOfService,
    Draining,
    Overloaded,
    Expired,
    Unreachable, ///< no connection to the backend server or to the owner
    VersionNotHeld,
    Shed,
    Cold,
    Quarantined,
    Cancelled,
    ConnectionLost,
    TimedOut,
    Mismatch ///< the answer did not belong to the request
};

/** The end of one attempt of a part, sent by the owner to the entry host. */
struct PartAnswer
{
    PartId part;
    PartOutcome outcome = PartOutcome::NotSent;
    PartReason reason = PartReason::None;
    IndexVersion version;                   ///< that the backend server answered from
    std::vector<IndexVersion> heldVersions; ///< with VersionNotHeld
    Duration expectedWait {};               ///< for the next part sent to this server
    std::string body;

    bool operator==(const PartAnswer &) const = default;
};

/** A backend server was lost with a part of this signature in flight, as its owner saw it. */
struct SignatureLoss
{
    Signature signature;
    ServerId server;

    bool operator==(const SignatureLoss &) const = default;
};

/** The sender cannot reach the servers of a failure domain. */
struct UnreachableDomain
{
    FailureDomainId failureDomain;

    bool operator==(const UnreachableDomain &) const = default;
};

/** Changes of the platform's store that one gateway has read for others. */
struct StoreChanges
{
    Revision after;                   ///< the changes begin after this revision
    Revision revision;                ///< and are complete up to this one
    std::vector<std::string> entries; ///< as the store encodes them, in their order

    bool operator==(const StoreChanges &) const = default;
};

/** Any message between entry hosts. */
using PeerMessage = std::variant<Heartbeat, HeartbeatAck, JoinRequest, DocumentRequest,
                                 DocumentPush, PartRequest, PartCancel, PartAnswer, SignatureLoss,
                                 StoreChanges, UnreachableDomain>;

/** A message with its sender. */
struct PeerEnvelope
{
    HostId sender;
    Incarnation incarnation;
    Endpoint endpoint; ///< where the sender accepts peers
    PeerMessage message;

    bool operator==(const PeerEnvelope &) const = default;
};

} // namespace greengagestair
