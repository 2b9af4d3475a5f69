#pragma once

#include "greengagestair/StorePosition.h"
#include "greengagestair/Types.h"

#include <string>
#include <variant>
#include <vector>

namespace greengagestair {

/** Key and version of a document that the sender holds. */
struct DocumentVersion
{
    PlatformKey key;
    Revision version;

    auto operator<=>(const DocumentVersion &) const = default;
};

/**
 * Statement about a cell member, sent by another member of the cell in its acks. A member may send
 * to the backend servers that it owns while it holds the grants of a majority of the cell.
 */
enum class GrantState {
    Granting, ///< grants the member the right to act as an owner
    Clearing, ///< neither of the two, while an earlier statement of the opposite kind may still be
              ///< valid
    Failed    ///< reports the member as failed, or as having released its servers
};

/** State of one member as seen by the sender of an ack. */
struct MemberReport
{
    HostId member;
    GrantState state = GrantState::Clearing;

    auto operator<=>(const MemberReport &) const = default;
};

/** Message sent at a fixed interval to each member of the own cell and to a few hosts of other
 * cells. */
struct Heartbeat
{
    std::uint64_t sequence = 0;
    FailureDomainId failureDomain;
    Revision memberListVersion;
    bool leaving = false;  ///< the sender accepts no new work and hands over its servers
    bool released = false; ///< the sender has nothing in flight and will not act as an owner again
    std::vector<DocumentVersion> documents; ///< held by the sender; empty in most heartbeats

    bool operator==(const Heartbeat &) const = default;
};

/** Acknowledgement of a heartbeat, with the statements of its sender about the cell's members. */
struct HeartbeatAck
{
    std::uint64_t sequence = 0; ///< sequence of the acknowledged heartbeat
    Incarnation incarnation;    ///< incarnation of the sender of the acknowledged heartbeat
    Revision memberListVersion; ///< version of the member list that the sender of the ack holds
    GrantState grant = GrantState::Clearing; ///< statement about the receiver of this ack
    std::vector<MemberReport> reports;       ///< statements about all other members of the cell
    std::vector<DocumentVersion> documents;  ///< held by the sender of the ack

    bool operator==(const HeartbeatAck &) const = default;
};

/** Request to a cell member to add the sender to the cell's member list. */
struct JoinRequest
{
    FailureDomainId failureDomain;
    Endpoint endpoint;

    bool operator==(const JoinRequest &) const = default;
};

/** Request for a document that the receiver holds in a newer version than the sender. */
struct DocumentRequest
{
    PlatformKey key;

    bool operator==(const DocumentRequest &) const = default;
};

/** Content of a document in the version that the sender holds. */
struct DocumentPush
{
    PlatformKey key;
    Revision version;
    std::string content;

    bool operator==(const DocumentPush &) const = default;
};

/** One attempt of a part of a query, sent by the entry host to the owner of a backend server. */
struct PartRequest
{
    PartId part;
    ServerId server;
    ServiceId service;
    OperationId operation;
    GroupId group;
    IndexVersion version; ///< index version that all parts of the query use
    Signature signature;
    Priority priority = Priority::Routine;
    Duration age {};        ///< time since the query arrived at its entry host
    Duration deadline {};   ///< remaining time until the query's deadline
    bool repeatable = true; ///< whether the part may be executed more than once
    bool canary = false;    ///< first attempt with an unknown signature; the owner runs one per
                            ///< signature at a time
    bool isolated = false;  ///< to be run only while nothing else is in flight on the server
    std::string body;

    bool operator==(const PartRequest &) const = default;
};

/** Notice to the owner that the entry host no longer needs the result of a part. */
struct PartCancel
{
    PartId part;

    bool operator==(const PartCancel &) const = default;
};

/** How one attempt of a part ended. */
enum class PartOutcome {
    Answered,       ///< the backend server answered from the pinned version
    NotSent,        ///< the owner's state proves that no byte was sent to the backend server
    VersionNotHeld, ///< the backend server lacks the pinned version and executed nothing
    Refused,        ///< the backend server refused (shed, draining, cold) and executed nothing
    ServerLost,     ///< the connection was lost with the part in flight; it may have been executed
    MayHaveRun      ///< ended in any other way; at least one byte may have been sent
};

/** Why an attempt did not produce an answer. */
enum class PartReason {
    None,
    NotOwner,     ///< the receiver of the part may not send to the backend server at this time
    OutOfService, ///< the server or its failure domain is out of service, or the server is leaving
    Draining,
    Overloaded,     ///< the part would wait beyond its deadline
    Expired,        ///< the deadline passed before the part was sent
    Unreachable,    ///< no connection to the backend server or to the owner
    VersionNotHeld, ///< the backend server does not hold the pinned version
    Shed,           ///< the backend server refused because of its load
    Cold,           ///< the backend server refused because it is cold
    Quarantined,    ///< the signature may not be sent
    Cancelled,
    ConnectionLost,
    TimedOut,
    Mismatch ///< the answer was unexpected or did not belong to the request
};

/** Result of one attempt of a part, sent by the owner to the entry host. */
struct PartAnswer
{
    PartId part;
    PartOutcome outcome = PartOutcome::NotSent;
    PartReason reason = PartReason::None;
    IndexVersion version;                   ///< index version that the backend server answered from
    std::vector<IndexVersion> heldVersions; ///< versions that the server holds, if VersionNotHeld
    Duration expectedWait {};               ///< queueing time of the next part for this server
    std::string body;

    bool operator==(const PartAnswer &) const = default;
};

/** Report by the owner of a backend server that the server was lost with a part of this signature
 * in flight. */
struct SignatureLoss
{
    Signature signature;
    ServerId server;

    bool operator==(const SignatureLoss &) const = default;
};

/** Report that the sender cannot reach the servers of a failure domain. */
struct UnreachableDomain
{
    FailureDomainId failureDomain;

    bool operator==(const UnreachableDomain &) const = default;
};

/** What a host knows of a backend server's request limit from the server's own responses. */
struct LimitStatement
{
    bool isLimited = false; ///< false if the server has named no limit, or names it no more
    double perSecond = 0;   ///< requests per second from all entry hosts together
    Duration age {};        ///< time since the response that says so

    bool operator==(const LimitStatement &) const = default;
};

/**
 * Asks the host that issues the permits of a backend server with a request limit for some of them,
 * or only tells it that the limit has ended.
 */
struct PermitRequest
{
    std::uint64_t id = 0; ///< returned in the answer
    ServerId server;
    std::uint64_t serverStartedAt = 0; ///< start of its process, milliseconds since the Unix epoch
    std::uint32_t permits = 0;         ///< permits that the sender can use soon
    LimitStatement statement;          ///< as far as the sender knows

    bool operator==(const PermitRequest &) const = default;
};

/** Answer to a PermitRequest. A permit allows one request to the server and expires soon. */
struct PermitGrant
{
    std::uint64_t id = 0;
    ServerId server;
    std::uint64_t serverStartedAt = 0;
    std::uint32_t permits = 0;
    Duration pause {};        ///< time until more permits can be had, if none was granted
    LimitStatement statement; ///< the newest one that reached the issuing host

    bool operator==(const PermitGrant &) const = default;
};

/** Changes of the platform's key-value store that one gateway has read and passes on to others. */
struct StoreChanges
{
    StorePosition after;              ///< position after which the changes begin
    StorePosition position;           ///< position up to which the changes are complete
    std::vector<std::string> entries; ///< changes in the encoding and order of the store

    bool operator==(const StoreChanges &) const = default;
};

/** How a host may use the quota of a tenant, as the answering host states it. */
enum class QuotaMode {
    Free,       ///< requests may be sent at once and are reported afterwards
    Controlled, ///< each request needs a permit
    Reduced,    ///< permits of the standby while the issuing host may be alive elsewhere
    Referred    ///< the sender does not issue now; the standby has to be asked
};

/** Asks the host that issues the permits of a tenant for some, or reports requests sent. */
struct QuotaRequest
{
    std::uint64_t id = 0; ///< returned in the answer
    TenantId tenant;
    std::uint32_t wanted = 0;  ///< permits for requests that wait or are expected soon
    std::uint32_t used = 0;    ///< requests sent without a permit since the last report
    bool isIssuerGone = false; ///< to the standby: the issuing host has stopped or crashed
    bool isCopy = false;       ///< to the standby: a report only, which gets no answer

    bool operator==(const QuotaRequest &) const = default;
};

/** Answer to a QuotaRequest, or a notice that the mode has changed. */
struct QuotaGrant
{
    std::uint64_t id = 0; ///< of the request; 0 for a notice
    TenantId tenant;
    std::uint32_t permits = 0; ///< each allows one request and expires soon
    Duration pause {};         ///< time until more permits can be had, if none was granted
    QuotaMode mode = QuotaMode::Controlled;

    bool operator==(const QuotaGrant &) const = default;
};

/** Results of the attempts of one route at servers of one kind during a step of a roll-out. */
struct RolloutCounts
{
    std::string route;
    bool isTarget = false; ///< at servers of the target version; otherwise at all others
    std::uint32_t answers = 0;
    std::uint32_t failures = 0;
    Duration totalTime {}; ///< sum of the response times of the answers

    bool operator==(const RolloutCounts &) const = default;
};

/** What a host has seen of a roll-out since its current step began. */
struct RolloutReport
{
    ServiceId service;
    Revision orderRevision;
    Revision stateRevision;          ///< the last state of the roll-out that the sender applies
    std::uint32_t oldInProgress = 0; ///< attempts in progress on servers of other versions
    std::vector<RolloutCounts> counts;

    bool operator==(const RolloutReport &) const = default;
};

/** Tells a host to send nothing more to the servers of a target version. */
struct RolloutNotice
{
    ServiceId service;
    Revision orderRevision;
    std::string targetVersion;

    bool operator==(const RolloutNotice &) const = default;
};

/** What one host or all hosts of a failure domain have seen of one process of a server. */
struct ServerObservation
{
    ServerId server;
    std::uint64_t startedAt = 0; ///< start of the process, milliseconds since the Unix epoch
    double answers = 0;          ///< a fraction if older results count less
    double refusals = 0;
    double failures = 0;
    Duration totalTime {}; ///< sum of the response times of the answers
    Duration age {};       ///< time since the last of these results

    bool operator==(const ServerObservation &) const = default;
};

/** Observations of one host, or the collected ones of a failure domain. */
struct ServerObservations
{
    bool isSummary = false; ///< collected from the hosts of the sender's failure domain
    std::vector<ServerObservation> observations;

    bool operator==(const ServerObservations &) const = default;
};

/** Asks for the losses of backend servers that the receiver has recorded; see RecordedLosses. */
struct LossesRequest
{
    std::uint64_t id = 0; ///< returned in the answer

    bool operator==(const LossesRequest &) const = default;
};

/** What a host has recorded of servers that were lost while they ran requests of a signature. */
struct RecordedLoss
{
    Signature signature;
    std::vector<ServerId> servers;   ///< lost servers, each once
    std::vector<HostId> hosts;       ///< hosts whose requests lost servers; may include the sender
    bool hasSeveralRequests = false; ///< one host alone has lost servers to several requests
    Duration age {};                 ///< time since the last loss

    bool operator==(const RecordedLoss &) const = default;
};

/** Answer to a LossesRequest: the recent losses, the last ones first. */
struct RecordedLosses
{
    std::uint64_t id = 0; ///< of the request
    std::vector<RecordedLoss> losses;

    bool operator==(const RecordedLosses &) const = default;
};

/** Any message between two entry hosts or two gateways. */
using PeerMessage = std::variant<Heartbeat, HeartbeatAck, JoinRequest, DocumentRequest,
                                 DocumentPush, PartRequest, PartCancel, PartAnswer, SignatureLoss,
                                 StoreChanges, UnreachableDomain, PermitRequest, PermitGrant,
                                 QuotaRequest, QuotaGrant, RolloutReport, RolloutNotice,
                                 ServerObservations, LossesRequest, RecordedLosses>;

/** A message between processes together with its sender. */
struct PeerEnvelope
{
    HostId sender;
    Incarnation incarnation;
    Endpoint endpoint; ///< endpoint on which the sender accepts peer connections
    PeerMessage message;

    bool operator==(const PeerEnvelope &) const = default;
};

} // namespace greengagestair
