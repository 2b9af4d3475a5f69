#include "codec/PayloadWriter.h"

#include <vector>

namespace greengagestair {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/** Converts between enumerations that have the same enumerators in the same order. */
template <typename To, typename From>
static To convertEnum(From value)
{
    return static_cast<To>(value);
}

template <typename Tag>
static Offset<flatbuffers::String> writeString(FlatBufferBuilder &builder, const Name<Tag> &name)
{
    return builder.CreateString(name.value);
}

using DocumentVersionOffsets =
        Offset<flatbuffers::Vector<Offset<greengagestair::wire::DocumentVersion>>>;

static DocumentVersionOffsets writeDocuments(FlatBufferBuilder &builder,
                                             const std::vector<DocumentVersion> &documents)
{
    std::vector<Offset<wire::DocumentVersion>> offsets;
    offsets.reserve(documents.size());
    for (const DocumentVersion &document : documents) {
        const auto key = writeString(builder, document.key);
        offsets.push_back(wire::CreateDocumentVersion(builder, key, document.version.value));
    }
    return builder.CreateVector(offsets);
}

Offset<void> writePayload(FlatBufferBuilder &builder, const Heartbeat &message)
{
    const auto domain = writeString(builder, message.failureDomain);
    const auto documents = writeDocuments(builder, message.documents);
    return wire::CreateHeartbeat(builder, message.sequence, domain, message.memberListVersion.value,
                                 message.leaving, message.released, documents)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const HeartbeatAck &message)
{
    std::vector<Offset<wire::MemberReport>> offsets;
    offsets.reserve(message.reports.size());
    for (const MemberReport &report : message.reports) {
        const auto member = writeString(builder, report.member);
        const auto state = convertEnum<wire::GrantState>(report.state);
        offsets.push_back(wire::CreateMemberReport(builder, member, state));
    }
    const auto reports = builder.CreateVector(offsets);
    const auto documents = writeDocuments(builder, message.documents);
    return wire::CreateHeartbeatAck(builder, message.sequence, message.incarnation.value,
                                    message.memberListVersion.value,
                                    convertEnum<wire::GrantState>(message.grant), reports,
                                    documents)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const JoinRequest &message)
{
    const auto domain = writeString(builder, message.failureDomain);
    const auto address = builder.CreateString(message.endpoint.address);
    return wire::CreateJoinRequest(builder, domain, address, message.endpoint.port).Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const DocumentRequest &message)
{
    return wire::CreateDocumentRequest(builder, writeString(builder, message.key)).Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const DocumentPush &message)
{
    const auto key = writeString(builder, message.key);
    const auto content = builder.CreateString(message.content);
    return wire::CreateDocumentPush(builder, key, message.version.value, content).Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const PartRequest &message)
{
    const auto server = writeString(builder, message.server);
    const auto service = writeString(builder, message.service);
    const auto operation = writeString(builder, message.operation);
    const auto group = writeString(builder, message.group);
    const auto body = builder.CreateString(message.body);
    return wire::CreatePartRequest(builder, message.part.value, server, service, operation, group,
                                   message.version.value, message.signature.value,
                                   convertEnum<wire::Priority>(message.priority),
                                   message.age.count(), message.deadline.count(),
                                   message.repeatable, message.isolated, body, message.canary)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const StoreChanges &message)
{
    const auto entries = builder.CreateVectorOfStrings(message.entries);
    const StorePosition &after = message.after;
    const StorePosition &position = message.position;
    return wire::CreateStoreChanges(builder, after.revision.value, position.revision.value, entries,
                                    after.era.value, position.era.value)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const UnreachableDomain &message)
{
    const auto failureDomain = writeString(builder, message.failureDomain);
    return wire::CreateUnreachableDomain(builder, failureDomain).Union();
}

static Offset<wire::LimitStatement> writeStatement(FlatBufferBuilder &builder,
                                                   const LimitStatement &statement)
{
    return wire::CreateLimitStatement(builder, statement.isLimited, statement.perSecond,
                                      statement.age.count());
}

Offset<void> writePayload(FlatBufferBuilder &builder, const PermitRequest &message)
{
    const auto server = writeString(builder, message.server);
    const auto statement = writeStatement(builder, message.statement);
    return wire::CreatePermitRequest(builder, message.id, server, message.serverStartedAt,
                                     message.permits, statement)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const PermitGrant &message)
{
    const auto server = writeString(builder, message.server);
    const auto statement = writeStatement(builder, message.statement);
    return wire::CreatePermitGrant(builder, message.id, server, message.serverStartedAt,
                                   message.permits, message.pause.count(), statement)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const SignatureLoss &message)
{
    const auto server = writeString(builder, message.server);
    return wire::CreateSignatureLoss(builder, message.signature.value, server).Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const PartCancel &message)
{
    return wire::CreatePartCancel(builder, message.part.value).Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const PartAnswer &message)
{
    std::vector<std::uint64_t> versions;
    versions.reserve(message.heldVersions.size());
    for (const IndexVersion version : message.heldVersions)
        versions.push_back(version.value);
    const auto heldVersions = builder.CreateVector(versions);
    const auto body = builder.CreateString(message.body);
    return wire::CreatePartAnswer(
                   builder, message.part.value, convertEnum<wire::PartOutcome>(message.outcome),
                   convertEnum<wire::PartReason>(message.reason), message.version.value,
                   heldVersions, message.expectedWait.count(), body)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const QuotaRequest &message)
{
    const auto tenant = writeString(builder, message.tenant);
    return wire::CreateQuotaRequest(builder, message.id, tenant, message.wanted, message.used,
                                    message.isIssuerGone, message.isCopy)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const QuotaGrant &message)
{
    const auto tenant = writeString(builder, message.tenant);
    return wire::CreateQuotaGrant(builder, message.id, tenant, message.permits,
                                  message.pause.count(), convertEnum<wire::QuotaMode>(message.mode))
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const RolloutReport &message)
{
    const auto service = writeString(builder, message.service);
    std::vector<Offset<wire::RolloutCounts>> offsets;
    offsets.reserve(message.counts.size());
    for (const RolloutCounts &counts : message.counts) {
        const auto route = builder.CreateString(counts.route);
        offsets.push_back(wire::CreateRolloutCounts(builder, route, counts.isTarget, counts.answers,
                                                    counts.failures, counts.totalTime.count()));
    }
    return wire::CreateRolloutReport(builder, service, message.orderRevision.value,
                                     message.stateRevision.value, message.oldInProgress,
                                     builder.CreateVector(offsets))
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const RolloutNotice &message)
{
    const auto service = writeString(builder, message.service);
    const auto version = builder.CreateString(message.targetVersion);
    return wire::CreateRolloutNotice(builder, service, message.orderRevision.value, version)
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const ServerObservations &message)
{
    std::vector<Offset<wire::ServerObservation>> offsets;
    offsets.reserve(message.observations.size());
    for (const ServerObservation &seen : message.observations) {
        const auto server = writeString(builder, seen.server);
        offsets.push_back(wire::CreateServerObservation(
                builder, server, seen.startedAt, static_cast<float>(seen.answers),
                static_cast<float>(seen.refusals), static_cast<float>(seen.failures),
                seen.totalTime.count(), seen.age.count()));
    }
    return wire::CreateServerObservations(builder, message.isSummary, builder.CreateVector(offsets))
            .Union();
}

Offset<void> writePayload(FlatBufferBuilder &builder, const LossesRequest &message)
{
    return wire::CreateLossesRequest(builder, message.id).Union();
}

template <typename Tag>
static auto writeNames(FlatBufferBuilder &builder, const std::vector<Name<Tag>> &names)
{
    std::vector<Offset<flatbuffers::String>> offsets;
    offsets.reserve(names.size());
    for (const Name<Tag> &name : names)
        offsets.push_back(writeString(builder, name));
    return builder.CreateVector(offsets);
}

Offset<void> writePayload(FlatBufferBuilder &builder, const RecordedLosses &message)
{
    std::vector<Offset<wire::RecordedLoss>> offsets;
    offsets.reserve(message.losses.size());
    for (const RecordedLoss &loss : message.losses) {
        const auto servers = writeNames(builder, loss.servers);
        const auto hosts = writeNames(builder, loss.hosts);
        offsets.push_back(wire::CreateRecordedLoss(builder, loss.signature.value, servers, hosts,
                                                   loss.hasSeveralRequests, loss.age.count()));
    }
    return wire::CreateRecordedLosses(builder, message.id, builder.CreateVector(offsets)).Union();
}

} // namespace greengagestair
