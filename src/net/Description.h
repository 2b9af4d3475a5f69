#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"
#include "greengagestair/Reducer.h"

#include <boost/describe.hpp>

/**
 * Boost.Describe reflection data of all events, effects and reducer options. It defines the names
 * that appear in their JSON forms, so a renamed member or enumerator changes what is written.
 */
namespace greengagestair {

BOOST_DESCRIBE_ENUM(Priority, Urgent, Routine)
BOOST_DESCRIBE_ENUM(GrantState, Granting, Clearing, Failed)
BOOST_DESCRIBE_ENUM(PartOutcome, Answered, NotSent, VersionNotHeld, Refused, ServerLost, MayHaveRun)
BOOST_DESCRIBE_ENUM(PartReason, None, NotOwner, OutOfService, Draining, Overloaded, Expired,
                    Unreachable, VersionNotHeld, Shed, Cold, Quarantined, Cancelled, ConnectionLost,
                    TimedOut, Mismatch)
BOOST_DESCRIBE_ENUM(BackendStatus, Answered, VersionNotHeld, Shed, Draining, Cold, DeadlinePassed,
                    Unexpected, NotConnected, ConnectionLost, TimedOut)
BOOST_DESCRIBE_ENUM(QueryOutcome, Complete, Partial, NotRun, MayHaveRun, Failed)
BOOST_DESCRIBE_ENUM(QueryReason, None, BadRequest, UnknownService, UnknownOperation,
                    MissingIdempotencyKey, IdentifierExpired, IdentifierInFuture, NotReady,
                    Stopping, Overloaded, DeadlinePassed, Quarantined, NoSnapshot, NoReplica,
                    PlatformUnavailable, ClaimedElsewhere, ConnectionLost, MissingParts)
BOOST_DESCRIBE_ENUM(StateChangeKind, DocumentAdopted, DocumentRejected, GrantsHeld, GrantsLost,
                    MemberFailed, MemberRecovered, ServerCold, ServerWarm, ServerDraining,
                    ServerLost, SignatureSuspect, SignatureQuarantined, SignatureCleared,
                    PlatformUnreachable, PlatformReachable, Ready, Stopping, Stopped)

BOOST_DESCRIBE_STRUCT(Endpoint, (), (address, port))

BOOST_DESCRIBE_STRUCT(DocumentVersion, (), (key, version))
BOOST_DESCRIBE_STRUCT(MemberReport, (), (member, state))
BOOST_DESCRIBE_STRUCT(Heartbeat, (),
                      (sequence, failureDomain, memberListVersion, leaving, released, documents))
BOOST_DESCRIBE_STRUCT(HeartbeatAck, (),
                      (sequence, incarnation, memberListVersion, grant, reports, documents))
BOOST_DESCRIBE_STRUCT(JoinRequest, (), (failureDomain, endpoint))
BOOST_DESCRIBE_STRUCT(DocumentRequest, (), (key))
BOOST_DESCRIBE_STRUCT(DocumentPush, (), (key, version, content))
BOOST_DESCRIBE_STRUCT(PartRequest, (),
                      (part, server, service, operation, group, version, signature, priority, age,
                       deadline, repeatable, canary, isolated, body))
BOOST_DESCRIBE_STRUCT(PartCancel, (), (part))
BOOST_DESCRIBE_STRUCT(SignatureLoss, (), (signature, server))
BOOST_DESCRIBE_STRUCT(StorePosition, (), (revision, era))
BOOST_DESCRIBE_STRUCT(StoreChanges, (), (after, position, entries))
BOOST_DESCRIBE_STRUCT(UnreachableDomain, (), (failureDomain))
BOOST_DESCRIBE_STRUCT(LimitStatement, (), (isLimited, perSecond, age))
BOOST_DESCRIBE_STRUCT(PermitRequest, (), (id, server, serverStartedAt, permits, statement))
BOOST_DESCRIBE_STRUCT(PermitGrant, (), (id, server, serverStartedAt, permits, pause, statement))
BOOST_DESCRIBE_ENUM(QuotaMode, Free, Controlled, Reduced, Referred)
BOOST_DESCRIBE_STRUCT(QuotaRequest, (), (id, tenant, wanted, used, isIssuerGone, isCopy))
BOOST_DESCRIBE_STRUCT(QuotaGrant, (), (id, tenant, permits, pause, mode))
BOOST_DESCRIBE_STRUCT(RolloutCounts, (), (route, isTarget, answers, failures, totalTime))
BOOST_DESCRIBE_STRUCT(RolloutReport, (),
                      (service, orderRevision, stateRevision, oldInProgress, counts))
BOOST_DESCRIBE_STRUCT(RolloutNotice, (), (service, orderRevision, targetVersion))
BOOST_DESCRIBE_STRUCT(ServerObservation, (),
                      (server, startedAt, answers, refusals, failures, totalTime, age))
BOOST_DESCRIBE_STRUCT(ServerObservations, (), (isSummary, observations))
BOOST_DESCRIBE_STRUCT(LossesRequest, (), (id))
BOOST_DESCRIBE_STRUCT(RecordedLoss, (), (signature, servers, hosts, hasSeveralRequests, age))
BOOST_DESCRIBE_STRUCT(RecordedLosses, (), (id, losses))
BOOST_DESCRIBE_STRUCT(PartAnswer, (),
                      (part, outcome, reason, version, heldVersions, expectedWait, body))
BOOST_DESCRIBE_STRUCT(PeerEnvelope, (), (sender, incarnation, endpoint, message))

BOOST_DESCRIBE_STRUCT(CallerRequest, (),
                      (caller, service, operation, deadline, idempotencyKey, routingKey, body))
BOOST_DESCRIBE_STRUCT(OutcomeQuery, (), (caller, service, idempotencyKey))
BOOST_DESCRIBE_STRUCT(CallerGone, (), (caller))
BOOST_DESCRIBE_STRUCT(PeerReceived, (), (envelope))
BOOST_DESCRIBE_STRUCT(PeerLost, (), (host, isRefused))
BOOST_DESCRIBE_STRUCT(BackendFinished, (), (send, status, echoed, version, heldVersions, body))
BOOST_DESCRIBE_STRUCT(KeyValue, (), (key, revision, value))
BOOST_DESCRIBE_STRUCT(KeyAbsent, (), (key))
BOOST_DESCRIBE_STRUCT(WriteAccepted, (), (key, revision))
BOOST_DESCRIBE_STRUCT(RevisionConflict, (), (key, current))
BOOST_DESCRIBE_STRUCT(WatchExpired, (), (key))
BOOST_DESCRIBE_STRUCT(HostListAnswer, (), (revision, value))
BOOST_DESCRIBE_STRUCT(PlatformFailure, (), (key, sent))
BOOST_DESCRIBE_STRUCT(PlatformFinished, (), (call, result))
BOOST_DESCRIBE_STRUCT(Tick, (), ())
BOOST_DESCRIBE_STRUCT(StopRequested, (), ())

BOOST_DESCRIBE_STRUCT(AnsweredRange, (), (from, to, body))
BOOST_DESCRIBE_STRUCT(MissingRange, (), (from, to, reason))
BOOST_DESCRIBE_STRUCT(CallerAnswer, (),
                      (outcome, reason, service, snapshot, parts, missing, notSent))
BOOST_DESCRIBE_STRUCT(AnswerCaller, (), (caller, answer))
BOOST_DESCRIBE_STRUCT(SendToPeer, (), (host, endpoint, message))
BOOST_DESCRIBE_STRUCT(SendToBackend, (),
                      (send, server, endpoint, service, group, version, deadline, notAfter, body))
BOOST_DESCRIBE_STRUCT(CancelBackend, (), (send, server, endpoint))
BOOST_DESCRIBE_STRUCT(ReadKey, (), (key))
BOOST_DESCRIBE_STRUCT(WriteKey, (), (key, expected, value))
BOOST_DESCRIBE_STRUCT(WatchKey, (), (key, after, timeout))
BOOST_DESCRIBE_STRUCT(ListHosts, (), ())
BOOST_DESCRIBE_STRUCT(CallPlatform, (), (call, timeout, request))
BOOST_DESCRIBE_STRUCT(LogStateChange, (), (kind, subject, number))
BOOST_DESCRIBE_STRUCT(FinishStop, (), ())

BOOST_DESCRIBE_STRUCT(MechanismSwitches, (),
                      (snapshotPinning, coverageAccounting, coldRamp, ownershipGrants,
                       failureDomainState, answerMatching, refusalProof, ledgerClaims, drainState,
                       stopDraining, versionOrder, quarantine))
BOOST_DESCRIBE_STRUCT(ReducerOptions, (),
                      (host, incarnation, failureDomain, peerEndpoint, seeds, randomSeed,
                       stopTimeout, mechanisms))

} // namespace greengagestair
