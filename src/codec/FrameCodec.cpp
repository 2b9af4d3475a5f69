#include "codec/FrameCodec.h"

#include "codec/PayloadReader.h"
#include "codec/PayloadWriter.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace greengagestair {

using flatbuffers::FlatBufferBuilder;

/** Initial buffer size that fits a frame with a small body, so that most need one allocation. */
static constexpr std::size_t kInitialBuilderBytes = 1024;

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
    const auto senderOffset = builder.CreateString(sender.value);
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
