#include "codec/FrameCodec.h"

#include "codec/Peer_generated.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace leaf = boost::leaf;

namespace greengagestair {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/** Initial buffer size that fits a frame with a small body, so that most need one allocation. */
static constexpr std::size_t kInitialBuilderBytes = 1024;

/** Maximum length of names and keys in bytes. Entries of a list may share one string in the buffer,
 * so the limit on the frame alone does not limit the memory that a decoded message takes. */
static constexpr std::size_t kMaxNameBytes = 512;

/** Maximum number of elements of each list in a message, for the same reason as kMaxNameBytes. */
static constexpr std::size_t kMaxListItems = 8192;

/** Limit of decoded durations, so that sums with event times cannot overflow. */
static constexpr Duration kMaxDuration = std::chrono::hours(24);

/** Converts between enumerations that have the same enumerators in the same order. */
template <typename To, typename From>
static To convertEnum(From value)
{
    return static_cast<To>(value);
}

// Encoding

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

static Offset<void> writePayload(FlatBufferBuilder &builder, const Heartbeat &message)
{
    const auto domain = writeString(builder, message.failureDomain);
    const auto documents = writeDocuments(builder, message.documents);
    return wire::CreateHeartbeat(builder, message.sequence, domain, message.memberListVersion.value,
                                 message.leaving, message.released, documents)
            .Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const HeartbeatAck &message)
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

static Offset<void> writePayload(FlatBufferBuilder &builder, const JoinRequest &message)
{
    const auto domain = writeString(builder, message.failureDomain);
    const auto address = builder.CreateString(message.endpoint.address);
    return wire::CreateJoinRequest(builder, domain, address, message.endpoint.port).Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const DocumentRequest &message)
{
    return wire::CreateDocumentRequest(builder, writeString(builder, message.key)).Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const DocumentPush &message)
{
    const auto key = writeString(builder, message.key);
    const auto content = builder.CreateString(message.content);
    return wire::CreateDocumentPush(builder, key, message.version.value, content).Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const PartRequest &message)
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

static Offset<void> writePayload(FlatBufferBuilder &builder, const StoreChanges &message)
{
    const auto entries = builder.CreateVectorOfStrings(message.entries);
    const StorePosition &after = message.after;
    const StorePosition &position = message.position;
    return wire::CreateStoreChanges(builder, after.revision.value, position.revision.value, entries,
                                    after.era.value, position.era.value)
            .Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const UnreachableDomain &message)
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

static Offset<void> writePayload(FlatBufferBuilder &builder, const PermitRequest &message)
{
    const auto server = writeString(builder, message.server);
    const auto statement = writeStatement(builder, message.statement);
    return wire::CreatePermitRequest(builder, message.id, server, message.serverStartedAt,
                                     message.permits, statement)
            .Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const PermitGrant &message)
{
    const auto server = writeString(builder, message.server);
    const auto statement = writeStatement(builder, message.statement);
    return wire::CreatePermitGrant(builder, message.id, server, message.serverStartedAt,
                                   message.permits, message.pause.count(), statement)
            .Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const SignatureLoss &message)
{
    const auto server = writeString(builder, message.server);
    return wire::CreateSignatureLoss(builder, message.signature.value, server).Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const PartCancel &message)
{
    return wire::CreatePartCancel(builder, message.part.value).Union();
}

static Offset<void> writePayload(FlatBufferBuilder &builder, const PartAnswer &message)
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

/** Returns the payload type; the union numbers its members from 1 in the order of the variant. */
static wire::Payload payloadType(const PeerMessage &message)
{
    static_assert(std::variant_size_v<PeerMessage> == static_cast<std::size_t>(wire::Payload::MAX));
    return static_cast<wire::Payload>(message.index() + 1);
}

static void appendFrame(std::span<const std::uint8_t> body, FrameBytes &out)
{
    for (std::size_t i = 0; i < kFramePrefixBytes; ++i)
        out.push_back(static_cast<std::uint8_t>(body.size() >> (8 * i)));
    out.insert(out.end(), body.begin(), body.end());
}

leaf::result<void> FrameCodec::append(const HostId &sender, Incarnation incarnation,
                                      const Endpoint &endpoint, const PeerMessage &message,
                                      FrameBytes &out)
{
    FlatBufferBuilder builder(kInitialBuilderBytes);
    const auto payload = std::visit(
            [&](const auto &alternative) { return writePayload(builder, alternative); }, message);
    const auto senderOffset = writeString(builder, sender);
    const auto address = builder.CreateString(endpoint.address);
    builder.Finish(wire::CreateEnvelope(builder, kProtocolVersion, senderOffset, incarnation.value,
                                        address, endpoint.port, payloadType(message), payload));
    if (builder.GetSize() > kMaxFrameBytes)
        return leaf::new_error(FrameTooLarge { builder.GetSize() });
    appendFrame({ builder.GetBufferPointer(), builder.GetSize() }, out);
    return {};
}

leaf::result<FrameBytes> FrameCodec::encode(const PeerEnvelope &envelope)
{
    FrameBytes frame;
    auto appended = append(envelope.sender, envelope.incarnation, envelope.endpoint,
                           envelope.message, frame);
    if (!appended)
        return appended.error();
    return frame;
}

// Decoding

namespace {

/**
 * Converts the fields of one message. Records whether a field exceeded a limit or had an enumerator
 * that this build does not know; the converted message must then be dropped.
 */
class FieldReader
{
public:
    template <typename NameType>
    NameType name(const flatbuffers::String *text)
    {
        return { boundedString(text) };
    }

    std::string boundedString(const flatbuffers::String *text)
    {
        if (text && text->size() > kMaxNameBytes) {
            m_exceedsLimits = true;
            return {};
        }
        return unboundedString(text);
    }

    std::string unboundedString(const flatbuffers::String *text)
    {
        return text ? text->str() : std::string();
    }

    /**
     * Converts strings with a total length of at most kMaxFrameBytes. The length of each string
     * counts, also if several share bytes of the buffer.
     */
    std::vector<std::string>
    strings(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>> *vector)
    {
        std::size_t bytes = 0;
        return list<std::string>(vector, [&](const flatbuffers::String *text) {
            bytes += text->size();
            m_exceedsLimits = m_exceedsLimits || bytes > kMaxFrameBytes;
            return m_exceedsLimits ? std::string() : text->str();
        });
    }

    /** Converts an enumerator; the order is the same in the schema and in Messages.h. */
    template <typename To, typename From>
    To enumerator(From value)
    {
        if (value > From::MAX) {
            m_hasUnknownEnumerator = true;
            return To {};
        }
        return static_cast<To>(value);
    }

    Duration duration(std::int64_t microseconds)
    {
        return std::clamp(Duration(microseconds), -kMaxDuration, kMaxDuration);
    }

    Endpoint endpoint(const flatbuffers::String *address, std::uint16_t port)
    {
        return { boundedString(address), port };
    }

    /** Converts each element of `vector`, which is null if the field is absent. */
    template <typename Item, typename Vector, typename Convert>
    std::vector<Item> list(const Vector *vector, Convert convert)
    {
        std::vector<Item> items;
        if (!vector)
            return items;
        if (vector->size() > kMaxListItems) {
            m_exceedsLimits = true;
            return items;
        }
        items.reserve(vector->size());
        for (const auto element : *vector)
            items.push_back(convert(element));
        return items;
    }

    bool exceedsLimits() const { return m_exceedsLimits; }
    bool hasUnknownEnumerator() const { return m_hasUnknownEnumerator; }

private:
    bool m_exceedsLimits = false;
    bool m_hasUnknownEnumerator = false;
};

} // namespace

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

template <typename Payload>
static std::optional<PeerMessage> readIfPresent(FieldReader &reader, const Payload *payload)
{
    if (!payload)
        return std::nullopt;
    return readPayload(reader, *payload);
}

/** Returns the message of an envelope, or nothing if its payload is missing. */
static std::optional<PeerMessage> readMessage(FieldReader &reader, const wire::Envelope &envelope)
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
    case wire::Payload::NONE:
        break;
    }
    return std::nullopt;
}

static leaf::result<PeerEnvelope> readEnvelope(const wire::Envelope &wire)
{
    if (wire.protocol_version() < kOldestProtocolVersion)
        return leaf::new_error(UnsupportedProtocolVersion { wire.protocol_version() });
    if (wire.payload_type() > wire::Payload::MAX)
        return leaf::new_error(UnknownPayload { static_cast<unsigned>(wire.payload_type()) });
    FieldReader reader;
    auto message = readMessage(reader, wire);
    PeerEnvelope envelope;
    envelope.sender = reader.name<HostId>(wire.sender());
    envelope.incarnation = { wire.incarnation() };
    envelope.endpoint = reader.endpoint(wire.address(), wire.port());
    if (!message || reader.exceedsLimits() || envelope.sender.empty())
        return leaf::new_error(FrameVerificationFailed {});
    if (reader.hasUnknownEnumerator() && wire.protocol_version() <= kProtocolVersion)
        return leaf::new_error(FrameVerificationFailed {});
    if (reader.hasUnknownEnumerator())
        return leaf::new_error(UnknownPayload { static_cast<unsigned>(wire.payload_type()) });
    envelope.message = std::move(*message);
    return envelope;
}

namespace {

/** An aligned copy of a frame body: FlatBuffers reads numbers in place and needs alignment, which
 * a body within a stream does not have. */
class AlignedCopy
{
public:
    explicit AlignedCopy(std::span<const std::uint8_t> bytes)
        : m_words((bytes.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t))
    {
        std::copy(bytes.begin(), bytes.end(), data());
    }

    std::uint8_t *data() { return reinterpret_cast<std::uint8_t *>(m_words.data()); }

private:
    std::vector<std::uint64_t> m_words;
};

} // namespace

leaf::result<PeerEnvelope> FrameCodec::decodeBody(std::span<const std::uint8_t> body)
{
    AlignedCopy copy(body);
    flatbuffers::Verifier verifier(copy.data(), body.size());
    if (body.empty() || !wire::VerifyEnvelopeBuffer(verifier))
        return leaf::new_error(FrameVerificationFailed {});
    return readEnvelope(*wire::GetEnvelope(copy.data()));
}

} // namespace greengagestair
