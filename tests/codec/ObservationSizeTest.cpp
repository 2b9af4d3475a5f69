#include "codec/FrameCodec.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace greengagestair;

/** Size of the frame with a message between two gateways; 0 if it cannot be encoded. */
static std::size_t frameSize(PeerMessage message)
{
    const PeerEnvelope envelope {
        { "gateway-104" }, { 1 }, { "10.20.30.40", 7000 }, std::move(message)
    };
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::size_t> {
                BOOST_LEAF_AUTO(frame, FrameCodec::encode(envelope));
                return frame.size();
            },
            [] { return std::size_t(0); });
}

/** Size of the frame with observations of this number of servers, whose names have 16 letters. */
static std::size_t observationsSize(std::size_t servers)
{
    ServerObservations message { true, {} };
    for (std::size_t index = 0; index < servers; ++index) {
        message.observations.push_back({ { "lookup-12-b-" + std::to_string(1000 + index) },
                                         1700000000000,
                                         7.5,
                                         1.25,
                                         0.5,
                                         std::chrono::milliseconds(90),
                                         std::chrono::milliseconds(250) });
    }
    return frameSize(std::move(message));
}

// Guards against control traffic beyond 10 KB/s for a host of a failure domain with 400 hosts,
// which sends reports of 32 servers and gets summaries of 20, each twice a second.
TEST_CASE("reports and summaries stay within the bound on control traffic", "[codec]")
{
    const double bytesPerEntry =
            static_cast<double>(observationsSize(200) - observationsSize(0)) / 200;
    INFO("bytes for each entry: " << bytesPerEntry << ", empty: " << observationsSize(0)
                                  << ", report: " << observationsSize(32)
                                  << ", summary of 200: " << observationsSize(200));
    CHECK(observationsSize(0) > 0);
    CHECK(bytesPerEntry <= 100);
    CHECK(2 * (observationsSize(32) + observationsSize(20)) <= 10'000);
}

// Guards against answers to starting hosts that grow beyond the bound on control traffic.
TEST_CASE("a statement of losses has a bounded size", "[codec]")
{
    constexpr std::size_t kMaxSignatures = 64;
    const auto sizeOf = [](std::size_t signatures) {
        RecordedLosses message;
        for (std::size_t index = 0; index < signatures; ++index) {
            RecordedLoss loss { { index }, {}, {}, true, std::chrono::seconds(30) };
            for (std::size_t other = 0; other < 3; ++other)
                loss.servers.push_back(
                        { "lookup-12-b-" + std::to_string(1000 + 3 * index + other) });
            loss.hosts = { { "gateway-1041" }, { "gateway-1042" } };
            message.losses.push_back(loss);
        }
        return frameSize(std::move(message));
    };
    INFO("empty: " << sizeOf(0) << ", one: " << sizeOf(1) << ", full: " << sizeOf(kMaxSignatures));
    CHECK(sizeOf(0) > 0);
    CHECK(sizeOf(kMaxSignatures) < 15'000);
}
