#include "codec/FrameCodec.h"
#include "codec/FrameDecoder.h"
#include "codec/Peer_generated.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace greengagestair;
namespace leaf = boost::leaf;

static PeerEnvelope envelopeOf(PeerMessage message)
{
    return { { "shubra-1" }, { 42 }, { "127.0.1.1", 7400 }, std::move(message) };
}

/** One message of each kind, with no field at its default. */
static std::vector<PeerMessage> allMessages()
{
    const std::vector<DocumentVersion> documents { { { "configuration" }, { 7 } },
                                                   { { "snapshots/cut-lists" }, { 9 } } };
    const std::vector<MemberReport> reports { { { "shubra-2" }, GrantState::Failed },
                                              { { "shubra-3" }, GrantState::Granting } };
    using std::chrono::milliseconds;
    return {
        Heartbeat { 3, { "shubra" }, { 4 }, true, true, documents },
        HeartbeatAck { 3, { 41 }, { 4 }, GrantState::Granting, reports, documents },
        JoinRequest { { "bulaq" }, { "127.0.2.1", 7401 } },
        DocumentRequest { { "hosts" } },
        DocumentPush { { "hosts" }, { 5 }, std::string("a\0b", 3) },
        PartRequest { { 8 },
                      { "counter-lookup-0-shubra" },
                      { "counter-lookup" },
                      { "lookup" },
                      { "g0" },
                      { 6 },
                      { 0x00c0ffee },
                      Priority::Urgent,
                      milliseconds(3),
                      milliseconds(297),
                      false,
                      true,
                      true,
                      "body" },
        PartCancel { { 8 } },
        PartAnswer { { 8 },
                     PartOutcome::VersionNotHeld,
                     PartReason::VersionNotHeld,
                     { 6 },
                     { { 7 }, { 8 } },
                     milliseconds(2),
                     "answer" },
        SignatureLoss { { 0x00c0ffee }, { "counter-lookup-0-shubra" } },
        StoreChanges { { 11 }, { 13 }, { "{\"key\":\"a\"}", "" } },
        UnreachableDomain { { "bulaq" } },
    };
}

namespace {

enum class Read { Envelope, Incomplete, TooLarge, Invalid, Unknown, Unsupported };

} // namespace

static Read readNext(FrameDecoder &decoder, PeerEnvelope *out = nullptr)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<Read> {
                BOOST_LEAF_AUTO(envelope, decoder.next());
                if (envelope && out)
                    *out = *envelope;
                return envelope ? Read::Envelope : Read::Incomplete;
            },
            [](const FrameTooLarge &) { return Read::TooLarge; },
            [](const FrameVerificationFailed &) { return Read::Invalid; },
            [](const UnknownPayload &) { return Read::Unknown; },
            [](const UnsupportedProtocolVersion &) { return Read::Unsupported; },
            [] { return Read::Invalid; });
}

/** A frame whose envelope is built by hand. */
static FrameBytes frameOf(std::uint32_t version, wire::Payload type)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto cancel = wire::CreatePartCancel(builder, 8);
    const auto sender = builder.CreateString("shubra-1");
    builder.Finish(
            wire::CreateEnvelope(builder, version, sender, 1, sender, 1, type, cancel.Union()));
    FrameBytes frame(kFramePrefixBytes + builder.GetSize());
    frame[0] = static_cast<std::uint8_t>(builder.GetSize());
    std::copy_n(builder.GetBufferPointer(), builder.GetSize(), frame.data() + kFramePrefixBytes);
    return frame;
}

// Guards against a field that one side does not write or the other does not read.
TEST_CASE("every message survives encoding, cut at any byte", "[codec]")
{
    for (const PeerMessage &message : allMessages()) {
        const PeerEnvelope sent = envelopeOf(message);
        const FrameBytes frame = FrameCodec::encode(sent).value();
        FrameDecoder decoder;
        for (const std::uint8_t byte : frame) {
            REQUIRE(readNext(decoder) == Read::Incomplete);
            decoder.append({ &byte, 1 });
        }
        PeerEnvelope received;
        REQUIRE(readNext(decoder, &received) == Read::Envelope);
        REQUIRE(received == sent);
        REQUIRE(decoder.bufferedBytes() == 0);
    }
}

// Guards against frames that a peer must refuse, and against a sender that asks for much memory.
TEST_CASE("frames above the bound are neither written nor awaited", "[codec]")
{
    FrameBytes out { 1 };
    const DocumentPush push { { "hosts" }, { 5 }, std::string(kMaxFrameBytes, 'x') };
    const auto appended = leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(FrameCodec::append({ "a" }, { 1 }, {}, push, out));
                return true;
            },
            [](const FrameTooLarge &error) { return error.bytes <= kMaxFrameBytes; },
            [] { return true; });
    REQUIRE_FALSE(appended);
    REQUIRE(out.size() == 1);

    FrameDecoder decoder;
    const FrameBytes prefix { 0xff, 0xff, 0xff, 0xff };
    decoder.append(prefix);
    REQUIRE(readNext(decoder) == Read::TooLarge);
}

// Guards against a newer build that breaks the connections to an older one.
TEST_CASE("an unknown payload is skipped and the next frame is read", "[codec]")
{
    FrameDecoder decoder;
    decoder.append(frameOf(2, static_cast<wire::Payload>(200)));
    decoder.append(frameOf(2, wire::Payload::PartCancel));
    REQUIRE(readNext(decoder) == Read::Unknown);
    REQUIRE(readNext(decoder) == Read::Envelope);
    decoder.append(frameOf(0, wire::Payload::PartCancel));
    REQUIRE(readNext(decoder) == Read::Unsupported);
}

// Guards against list entries that share one long string: 1 MB on the wire, many GB decoded.
TEST_CASE("long names are refused", "[codec]")
{
    const DocumentRequest request { { std::string(10'000, 'k') } };
    FrameDecoder decoder;
    decoder.append(FrameCodec::encode(envelopeOf(request)).value());
    REQUIRE(readNext(decoder) == Read::Invalid);
}

// Guards against reads outside of the frame; the sanitizer build makes them visible.
TEST_CASE("mutated frames are decoded or refused", "[codec][fuzz]")
{
    std::mt19937_64 random(20261204);
    const std::vector<PeerMessage> messages = allMessages();
    int refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        FrameBytes frame =
                FrameCodec::encode(envelopeOf(messages[random() % messages.size()])).value();
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes; ++i)
            frame[random() % frame.size()] = static_cast<std::uint8_t>(random());
        if (random() % 8 == 0)
            frame.resize(random() % frame.size());
        FrameDecoder decoder;
        decoder.append(frame);
        Read read = readNext(decoder);
        while (read == Read::Envelope || read == Read::Unknown)
            read = readNext(decoder);
        refused += read == Read::Invalid ? 1 : 0;
    }
    REQUIRE(refused > 1000);
}
