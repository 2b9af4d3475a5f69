#include "codec/FrameCodec.h"
#include "codec/FrameDecoder.h"
#include "codec/Peer_generated.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace greengagestair;
namespace leaf = boost::leaf;

static PeerEnvelope makeEnvelope(PeerMessage message)
{
    return { { "shubra-1" }, { 42 }, { "127.0.1.1", 7400 }, std::move(message) };
}

/** Returns one message of each kind, whose fields differ from their default values. */
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
        StoreChanges { { { 11 }, { 2 } }, { { 13 }, { 3 } }, { "{\"key\":\"a\"}", "" } },
        UnreachableDomain { { "bulaq" } },
        PermitRequest { 3, { "s" }, 1700000000000, 2, { true, 26.5, milliseconds(4) } },
        PermitGrant {
                3, { "s" }, 1700000000000, 1, milliseconds(9), { false, 0, milliseconds(1) } },
        QuotaRequest { 4, { "builders" }, 2, 3, true, true },
        QuotaGrant { 4, { "builders" }, 2, milliseconds(5), QuotaMode::Reduced },
        RolloutReport { { "s1" },
                        { 11 },
                        { 12 },
                        3,
                        { { "lookup", true, 40, 2, milliseconds(400) },
                          { "lookup", false, 400, 0, milliseconds(3900) } } },
        RolloutNotice { { "s1" }, { 11 }, "v2" },
        ServerObservations { true,
                             { { { "s" },
                                 1700000000000,
                                 7.5,
                                 1.25,
                                 0.5,
                                 milliseconds(90),
                                 milliseconds(250) } } },
        LossesRequest { 5 },
        RecordedLosses {
                5,
                { { { 77 }, { { "s1" }, { "s2" } }, { { "h1" } }, true, milliseconds(1500) },
                  { { 78 }, {}, {}, false, milliseconds(0) } } },
    };
}

namespace {

enum class DecodeOutcome {
    Envelope,
    Incomplete,
    TooLarge,
    Invalid,
    UnknownContent,
    UnsupportedVersion
};

} // namespace

static DecodeOutcome decodeNext(FrameDecoder &decoder, PeerEnvelope *out = nullptr)
{
    return leaf::try_handle_all(
            [&]() -> leaf::result<DecodeOutcome> {
                BOOST_LEAF_AUTO(envelope, decoder.next());
                if (envelope && out)
                    *out = *envelope;
                return envelope ? DecodeOutcome::Envelope : DecodeOutcome::Incomplete;
            },
            [](const FrameTooLarge &) { return DecodeOutcome::TooLarge; },
            [](const FrameVerificationFailed &) { return DecodeOutcome::Invalid; },
            [](const UnknownPayload &) { return DecodeOutcome::UnknownContent; },
            [](const UnsupportedProtocolVersion &) { return DecodeOutcome::UnsupportedVersion; },
            [] { return DecodeOutcome::Invalid; });
}

/** Returns a frame with a PartCancel, stated as the given protocol version and payload type. */
static FrameBytes makeFrame(std::uint32_t version, wire::Payload type)
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

// Guards against a field that the encoder does not write or the decoder does not read.
TEST_CASE("every message is decoded as encoded, also if its bytes arrive one by one", "[codec]")
{
    for (const PeerMessage &message : allMessages()) {
        const PeerEnvelope sent = makeEnvelope(message);
        const FrameBytes frame = FrameCodec::encode(sent).value();
        FrameDecoder decoder;
        for (const std::uint8_t byte : frame) {
            REQUIRE(decodeNext(decoder) == DecodeOutcome::Incomplete);
            decoder.append({ &byte, 1 });
        }
        PeerEnvelope received;
        REQUIRE(decodeNext(decoder, &received) == DecodeOutcome::Envelope);
        REQUIRE(received == sent);
        REQUIRE(decoder.bufferedBytes() == 0);
    }
}

// Guards against sending frames that peers must reject, and against buffering for a sender that
// announces an oversized frame.
TEST_CASE("oversized frames are neither encoded nor buffered", "[codec]")
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
    REQUIRE(decodeNext(decoder) == DecodeOutcome::TooLarge);
}

// Guards against connections that an older build closes because a newer build sends new payloads.
TEST_CASE("a frame with an unknown payload is skipped and the next one is decoded", "[codec]")
{
    FrameDecoder decoder;
    decoder.append(makeFrame(2, static_cast<wire::Payload>(200)));
    decoder.append(makeFrame(2, wire::Payload::PartCancel));
    REQUIRE(decodeNext(decoder) == DecodeOutcome::UnknownContent);
    REQUIRE(decodeNext(decoder) == DecodeOutcome::Envelope);
    decoder.append(makeFrame(0, wire::Payload::PartCancel));
    REQUIRE(decodeNext(decoder) == DecodeOutcome::UnsupportedVersion);
}

// Guards against list entries that share one long string: 1 MB encoded, many GB decoded.
TEST_CASE("names above the maximum length are rejected", "[codec]")
{
    const DocumentRequest request { { std::string(10'000, 'k') } };
    FrameDecoder decoder;
    decoder.append(FrameCodec::encode(makeEnvelope(request)).value());
    REQUIRE(decodeNext(decoder) == DecodeOutcome::Invalid);
}

// Guards against reads beyond the frame, which the sanitizer build detects.
TEST_CASE("mutated frames are decoded or rejected", "[codec][fuzz]")
{
    std::mt19937_64 random(20261204);
    const std::vector<PeerMessage> messages = allMessages();
    int rejected = 0;
    for (int round = 0; round < 20'000; ++round) {
        FrameBytes frame =
                FrameCodec::encode(makeEnvelope(messages[random() % messages.size()])).value();
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes; ++i)
            frame[random() % frame.size()] = static_cast<std::uint8_t>(random());
        if (random() % 8 == 0)
            frame.resize(random() % frame.size());
        FrameDecoder decoder;
        decoder.append(frame);
        DecodeOutcome outcome = decodeNext(decoder);
        while (outcome == DecodeOutcome::Envelope || outcome == DecodeOutcome::UnknownContent)
            outcome = decodeNext(decoder);
        rejected += outcome == DecodeOutcome::Invalid ? 1 : 0;
    }
    REQUIRE(rejected > 1000);
}
