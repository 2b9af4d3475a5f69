#include "codec/PayloadReader.h"

#include <cmath>

namespace greengagestair {

template <typename Vector>
static std::vector<DocumentVersion> readDocuments(FieldReader &reader, const Vector *documents)
{
    return reader.list<DocumentVersion>(documents, [&](const wire::DocumentVersion *document) {
        return DocumentVersion { reader.name<PlatformKey>(document->key()),
                                 Revision { document->version() } };
    });
}

static PeerMessage readPayload(FieldReader &reader, const wire::Heartbeat &wire)
{
    Heartbeat message;
    message.sequence = wire.sequence();
    message.failureDomain = reader.name<FailureDomainId>(wire.failure_domain());
    message.memberListVersion = { wire.member_list_version() };
    message.leaving = wire.leaving();
    message.released = wire.released();
    message.documents = readDocuments(reader, wire.documents());
    return message;
}

static PeerMessage readPayload(FieldReader &reader, const wire::HeartbeatAck &wire)
{
    HeartbeatAck message;
    message.sequence = wire.sequence();
    message.incarnation = { wire.incarnation() };
    message.memberListVersion = { wire.member_list_version() };
    message.grant = reader.enumerator<GrantState>(wire.grant());
    message.reports =
            reader.list<MemberReport>(wire.reports(), [&](const wire::MemberReport *report) {
                return MemberReport { reader.name<HostId>(report->member()),
                                      reader.enumerator<GrantState>(report->state()) };
            });
    message.documents = readDocuments(reader, wire.documents());
    return message;
}

static PeerMessage readPayload(FieldReader &reader, const wire::JoinRequest &wire)
{
    JoinRequest message;
    message.failureDomain = reader.name<FailureDomainId>(wire.failure_domain());
    message.endpoint = reader.endpoint(wire.address(), wire.port());
    return message;
}

static PeerMessage readPayload(FieldReader &reader, const wire::DocumentRequest &wire)
{
    return DocumentRequest { reader.name<PlatformKey>(wire.key()) };
}

static PeerMessage readPayload(FieldReader &reader, const wire::DocumentPush &wire)
{
    return DocumentPush { reader.name<PlatformKey>(wire.key()), Revision { wire.version() },
                          reader.unboundedString(wire.content()) };
}

static PeerMessage readPayload(FieldReader &reader, const wire::PartRequest &wire)
{
    PartRequest message;
    message.part = { wire.part() };
    message.server = reader.name<ServerId>(wire.server());
    message.service = reader.name<ServiceId>(wire.service());
    message.operation = reader.name<OperationId>(wire.operation());
    message.group = reader.name<GroupId>(wire.group());
    message.version = { wire.version() };
    message.signature = { wire.signature() };
    message.priority = reader.enumerator<Priority>(wire.priority());
    message.age = reader.duration(wire.age());
    message.deadline = reader.duration(wire.deadline());
    message.repeatable = wire.repeatable();
    message.isolated = wire.isolated();
    message.canary = wire.canary();
    message.body = reader.unboundedString(wire.body());
    return message;
}

static PeerMessage readPayload(FieldReader &reader, const wire::StoreChanges &wire)
{
    return StoreChanges { { { wire.after() }, { wire.after_era() } },
                          { { wire.revision() }, { wire.era() } },
                          reader.strings(wire.entries()) };
}

static PeerMessage readPayload(FieldReader &reader, const wire::UnreachableDomain &wire)
{
    return UnreachableDomain { reader.name<FailureDomainId>(wire.failure_domain()) };
}

/** Reads a statement; a rate that is no finite number of requests counts as no statement. */
static LimitStatement readStatement(FieldReader &reader, const wire::LimitStatement *wire)
{
    if (!wire || !std::isfinite(wire->per_second()) || wire->per_second() < 0)
        return {};
    return { wire->limited(), wire->per_second(), reader.duration(wire->age()) };
}

static PeerMessage readPayload(FieldReader &reader, const wire::PermitRequest &wire)
{
    return PermitRequest { wire.id(), reader.name<ServerId>(wire.server()),
                           wire.server_started_at(), wire.permits(),
                           readStatement(reader, wire.statement()) };
}

static PeerMessage readPayload(FieldReader &reader, const wire::PermitGrant &wire)
{
    return PermitGrant { wire.id(),
                         reader.name<ServerId>(wire.server()),
                         wire.server_started_at(),
                         wire.permits(),
                         reader.duration(wire.pause()),
                         readStatement(reader, wire.statement()) };
}

static PeerMessage readPayload(FieldReader &reader, const wire::SignatureLoss &wire)
{
    return SignatureLoss { Signature { wire.signature() }, reader.name<ServerId>(wire.server()) };
}

static PeerMessage readPayload(FieldReader &, const wire::PartCancel &wire)
{
    return PartCancel { PartId { wire.part() } };
}

static PeerMessage readPayload(FieldReader &reader, const wire::PartAnswer &wire)
{
    PartAnswer message;
    message.part = { wire.part() };
    message.outcome = reader.enumerator<PartOutcome>(wire.outcome());
    message.reason = reader.enumerator<PartReason>(wire.reason());
    message.version = { wire.version() };
    message.heldVersions = reader.list<IndexVersion>(
            wire.held_versions(), [](std::uint64_t version) { return IndexVersion { version }; });
    message.expectedWait = reader.duration(wire.expected_wait());
    message.body = reader.unboundedString(wire.body());
    return message;
}

static PeerMessage readPayload(FieldReader &reader, const wire::QuotaRequest &wire)
{
    return QuotaRequest { wire.id(),          reader.name<TenantId>(wire.tenant()),
                          wire.wanted(),      wire.used(),
                          wire.issuer_gone(), wire.copy() };
}

static PeerMessage readPayload(FieldReader &reader, const wire::QuotaGrant &wire)
{
    return QuotaGrant { wire.id(), reader.name<TenantId>(wire.tenant()), wire.permits(),
                        reader.duration(wire.pause()), reader.enumerator<QuotaMode>(wire.mode()) };
}

static PeerMessage readPayload(FieldReader &reader, const wire::RolloutReport &wire)
{
    RolloutReport message;
    message.service = reader.name<ServiceId>(wire.service());
    message.orderRevision = { wire.order_revision() };
    message.stateRevision = { wire.state_revision() };
    message.oldInProgress = wire.old_in_progress();
    message.counts =
            reader.list<RolloutCounts>(wire.counts(), [&](const wire::RolloutCounts *counts) {
                return RolloutCounts { reader.boundedString(counts->route()), counts->target(),
                                       counts->answers(), counts->failures(),
                                       reader.duration(counts->total_time()) };
            });
    return message;
}

static PeerMessage readPayload(FieldReader &reader, const wire::RolloutNotice &wire)
{
    return RolloutNotice { reader.name<ServiceId>(wire.service()),
                           { wire.order_revision() },
                           reader.boundedString(wire.software_version()) };
}

/** A count of results; one that is no number of results counts as none. */
static double resultCount(float count)
{
    return std::isfinite(count) && count >= 0 ? count : 0;
}

static PeerMessage readPayload(FieldReader &reader, const wire::ServerObservations &wire)
{
    ServerObservations message;
    message.isSummary = wire.summary();
    message.observations = reader.list<ServerObservation>(
            wire.observations(), [&](const wire::ServerObservation *seen) {
                return ServerObservation {
                    reader.name<ServerId>(seen->server()), seen->started_at(),
                    resultCount(seen->answers()),          resultCount(seen->refusals()),
                    resultCount(seen->failures()),         reader.duration(seen->total_time()),
                    reader.duration(seen->age())
                };
            });
    return message;
}

static PeerMessage readPayload(FieldReader &, const wire::LossesRequest &wire)
{
    return LossesRequest { wire.id() };
}

/** Converts a list of names. */
template <typename NameType, typename Vector>
static std::vector<NameType> readNames(FieldReader &reader, const Vector *names)
{
    return reader.list<NameType>(
            names, [&](const flatbuffers::String *text) { return reader.name<NameType>(text); });
}

static PeerMessage readPayload(FieldReader &reader, const wire::RecordedLosses &wire)
{
    return RecordedLosses { wire.id(),
                            reader.list<RecordedLoss>(
                                    wire.losses(), [&](const wire::RecordedLoss *loss) {
                                        return RecordedLoss {
                                            Signature { loss->signature() },
                                            readNames<ServerId>(reader, loss->servers()),
                                            readNames<HostId>(reader, loss->hosts()),
                                            loss->several_requests(), reader.duration(loss->age())
                                        };
                                    }) };
}

template <typename Payload>
static std::optional<PeerMessage> readIfPresent(FieldReader &reader, const Payload *payload)
{
    if (!payload)
        return std::nullopt;
    return readPayload(reader, *payload);
}

std::optional<PeerMessage> readMessage(FieldReader &reader, const wire::Envelope &envelope)
{
    switch (envelope.payload_type()) {
    case wire::Payload::Heartbeat:
        return readIfPresent(reader, envelope.payload_as_Heartbeat());
    case wire::Payload::HeartbeatAck:
        return readIfPresent(reader, envelope.payload_as_HeartbeatAck());
    case wire::Payload::JoinRequest:
        return readIfPresent(reader, envelope.payload_as_JoinRequest());
    case wire::Payload::DocumentRequest:
        return readIfPresent(reader, envelope.payload_as_DocumentRequest());
    case wire::Payload::DocumentPush:
        return readIfPresent(reader, envelope.payload_as_DocumentPush());
    case wire::Payload::PartRequest:
        return readIfPresent(reader, envelope.payload_as_PartRequest());
    case wire::Payload::SignatureLoss:
        return readIfPresent(reader, envelope.payload_as_SignatureLoss());
    case wire::Payload::StoreChanges:
        return readIfPresent(reader, envelope.payload_as_StoreChanges());
    case wire::Payload::UnreachableDomain:
        return readIfPresent(reader, envelope.payload_as_UnreachableDomain());
    case wire::Payload::PermitRequest:
        return readIfPresent(reader, envelope.payload_as_PermitRequest());
    case wire::Payload::PermitGrant:
        return readIfPresent(reader, envelope.payload_as_PermitGrant());
    case wire::Payload::PartCancel:
        return readIfPresent(reader, envelope.payload_as_PartCancel());
    case wire::Payload::PartAnswer:
        return readIfPresent(reader, envelope.payload_as_PartAnswer());
    case wire::Payload::QuotaRequest:
        return readIfPresent(reader, envelope.payload_as_QuotaRequest());
    case wire::Payload::QuotaGrant:
        return readIfPresent(reader, envelope.payload_as_QuotaGrant());
    case wire::Payload::RolloutReport:
        return readIfPresent(reader, envelope.payload_as_RolloutReport());
    case wire::Payload::RolloutNotice:
        return readIfPresent(reader, envelope.payload_as_RolloutNotice());
    case wire::Payload::ServerObservations:
        return readIfPresent(reader, envelope.payload_as_ServerObservations());
    case wire::Payload::LossesRequest:
        return readIfPresent(reader, envelope.payload_as_LossesRequest());
    case wire::Payload::RecordedLosses:
        return readIfPresent(reader, envelope.payload_as_RecordedLosses());
    case wire::Payload::NONE:
        break;
    }
    return std::nullopt;
}

} // namespace greengagestair
