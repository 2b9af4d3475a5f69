#include "net/TcpPeerTransport.h"
#include "codec/FrameCodec.h"
#include "net/RecordingEventQueue.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <iostream>
#include <vector>

using namespace greengagestair;
namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** The transport of one entry host and the events that it posts. */
struct TestHost
{
    TestHost(asio::io_context &context, const std::string &name, Endpoint listen)
        : transport(context, { name }, { 1 }, std::move(listen), queue)
    {
    }

    RecordingEventQueue queue;
    TcpPeerTransport transport;
};

} // namespace

/** Runs the io_context until the condition holds; returns false after kTestTimeout. */
static bool runUntil(asio::io_context &context, const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        context.restart();
        context.run_one_for(milliseconds(10));
    }
    return true;
}

static tcp::endpoint tcpEndpoint(const TestHost &host)
{
    const Endpoint &endpoint = host.transport.listenEndpoint();
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

static PartCancel makeCancel(std::uint64_t part)
{
    return { { part } };
}

static std::uint64_t partNumber(const PeerReceived &received)
{
    return std::get<PartCancel>(received.envelope.message).part.value;
}

// Guards against lost, duplicated or reordered frames, and against one system call per frame.
TEST_CASE("frames arrive in order in both directions and are sent in batches", "[peer]")
{
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    TestHost b(context, "b", { "127.0.0.2", 0 });
    constexpr std::uint64_t kFrames = 2000;
    const std::string large(1'000'000, 'x');
    for (std::uint64_t i = 0; i < kFrames; ++i) {
        a.transport.send({ "b" }, b.transport.listenEndpoint(), makeCancel(i));
        b.transport.send({ "a" }, a.transport.listenEndpoint(), makeCancel(i));
    }
    a.transport.send({ "b" }, b.transport.listenEndpoint(), DocumentPush { { "k" }, { 1 }, large });
    REQUIRE(runUntil(context,
                     [&] { return b.queue.size() == kFrames + 1 && a.queue.size() == kFrames; }));
    for (std::uint64_t i = 0; i < kFrames; ++i) {
        const auto received = b.queue.take<PeerReceived>().value();
        REQUIRE(received.envelope.sender == HostId { "a" });
        REQUIRE(received.envelope.endpoint == a.transport.listenEndpoint());
        REQUIRE(partNumber(received) == i);
        REQUIRE(partNumber(a.queue.take<PeerReceived>().value()) == i);
    }
    const auto pushed = b.queue.take<PeerReceived>().value();
    REQUIRE(std::get<DocumentPush>(pushed.envelope.message).content == large);
    REQUIRE(a.transport.counters().writes < kFrames / 10);
    REQUIRE(a.transport.counters().droppedFrames == 0);
}

// Guards against hosts that wait to be accepted, one for each pass of a busy loop.
TEST_CASE("hosts that connect at the same time are accepted in one pass", "[peer]")
{
    constexpr std::size_t kHosts = 32;
    constexpr int kPasses = 8;
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    FrameBytes frame;
    REQUIRE(FrameCodec::append({ "x" }, { 1 }, {}, makeCancel(1), frame));
    asio::io_context other;
    std::vector<tcp::socket> sockets;
    for (std::size_t index = 0; index < kHosts; ++index) {
        sockets.emplace_back(other).connect(tcpEndpoint(a));
        asio::write(sockets.back(), asio::buffer(frame));
    }
    int passes = 0;
    std::function<void()> pass = [&] {
        ++passes;
        asio::post(context, pass);
    };
    pass();
    REQUIRE(runUntil(context, [&] { return a.queue.size() == kHosts; }));
    CHECK(passes <= kPasses);
}

// Guards against reading on in a damaged stream, and against effects of it on other peers.
TEST_CASE("a malformed frame closes its connection", "[peer]")
{
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    asio::io_context other;
    tcp::socket socket(other);
    socket.connect(tcpEndpoint(a));
    FrameBytes bytes;
    REQUIRE(FrameCodec::append({ "x" }, { 1 }, {}, makeCancel(1), bytes));
    bytes.insert(bytes.end(), { 4, 0, 0, 0, 255, 255, 255, 255 });
    REQUIRE(FrameCodec::append({ "x" }, { 1 }, {}, makeCancel(2), bytes));
    asio::write(socket, asio::buffer(bytes));
    REQUIRE(runUntil(context, [&] { return a.transport.counters().malformedFrames == 1; }));
    boost::system::error_code error;
    char byte = 0;
    asio::read(socket, asio::buffer(&byte, 1), error);
    REQUIRE(error);
    REQUIRE(partNumber(a.queue.take<PeerReceived>().value()) == 1);
    REQUIRE(a.queue.size() == 0);
}

// Guards against bytes without end on a connection of another host, which this process would keep.
TEST_CASE("bytes that are no frame close their connection", "[peer][endless]")
{
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    const unsigned char byte = GENERATE(0xff, 'A', 0x01);
    // A length prefix of these bytes is beyond the bound of a frame, or the frame is malformed.
    const std::string block(65'536, static_cast<char>(byte));
    asio::io_context other;
    tcp::socket socket(other);
    socket.connect(tcpEndpoint(a));
    socket.non_blocking(true);
    std::size_t written = 0;
    boost::system::error_code error;
    REQUIRE(runUntil(context, [&] {
        written += socket.write_some(asio::buffer(block), error);
        return a.transport.counters().malformedFrames == 1;
    }));
    // One frame and what the buffers of two sockets may hold.
    REQUIRE(written < kMaxFrameBytes + 16'000'000);
    REQUIRE(a.queue.size() == 0);
}

// Guards against frames that are dropped without a PeerLost, and against one PeerLost per frame.
TEST_CASE("PeerLost is posted once per failed connection attempt", "[peer]")
{
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    Endpoint unreachable;
    {
        const TestHost gone(context, "b", { "127.0.0.2", 0 });
        unreachable = gone.transport.listenEndpoint();
    }
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
        for (std::uint64_t i = 0; i < 5; ++i)
            a.transport.send({ "b" }, unreachable, makeCancel(i));
        REQUIRE(runUntil(context, [&] { return a.queue.size() == 1; }));
        const PeerLost lost = a.queue.take<PeerLost>().value();
        REQUIRE(lost.host == HostId { "b" });
        REQUIRE(lost.isRefused);
        REQUIRE(a.transport.counters().droppedFrames == 5 * attempt);
    }
    a.transport.send({ "c" }, { "not an address", 1 }, makeCancel(1));
    REQUIRE(a.queue.size() == 0);
    REQUIRE(runUntil(context, [&] { return a.queue.size() == 1; }));
    REQUIRE_FALSE(a.queue.take<PeerLost>().value().isRefused);
}

// Guards against a peer that remains unreachable after its restart.
TEST_CASE("the transport reconnects to a restarted peer", "[peer]")
{
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    auto b = std::make_unique<TestHost>(context, "b", Endpoint { "127.0.0.2", 0 });
    const Endpoint endpoint = b->transport.listenEndpoint();
    a.transport.send({ "b" }, endpoint, makeCancel(1));
    REQUIRE(runUntil(context, [&] { return b->queue.size() == 1; }));
    b.reset();
    REQUIRE(runUntil(context, [&] { return a.queue.size() == 1; }));
    REQUIRE(a.queue.take<PeerLost>());
    TestHost restarted(context, "b", endpoint);
    a.transport.send({ "b" }, endpoint, makeCancel(2));
    REQUIRE(runUntil(context, [&] { return restarted.queue.size() == 1; }));
    REQUIRE(partNumber(restarted.queue.take<PeerReceived>().value()) == 2);
    REQUIRE(a.transport.counters().reconnects == 1);
}

// Guards against unbounded memory use for a peer that does not read.
TEST_CASE("the send queue of a peer is bounded", "[peer]")
{
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    asio::io_context other;
    tcp::acceptor silent(other, { asio::ip::make_address("127.0.0.2"), 0 });
    const Endpoint endpoint { "127.0.0.2", silent.local_endpoint().port() };
    const DocumentPush push { { "k" }, { 1 }, std::string(1'000'000, 'x') };
    for (int i = 0; i < 30; ++i)
        a.transport.send({ "b" }, endpoint, push);
    REQUIRE(a.transport.counters().droppedFrames == 21);
}

// Guards against losing the last messages (such as "released") in a planned stop, and against a
// stop that never ends.
TEST_CASE("stop() sends the queued frames and ends", "[peer]")
{
    asio::io_context context;
    TestHost b(context, "b", { "127.0.0.2", 0 });
    asio::io_context stopping;
    TestHost a(stopping, "a", { "127.0.0.1", 0 });
    for (std::uint64_t i = 0; i < 100; ++i)
        a.transport.send({ "b" }, b.transport.listenEndpoint(), makeCancel(i));
    a.transport.send({ "c" }, { "127.0.0.3", 1 }, makeCancel(1));
    a.transport.stop();
    a.transport.send({ "b" }, b.transport.listenEndpoint(), makeCancel(100));
    stopping.run_for(kTestTimeout);
    REQUIRE(stopping.stopped());
    REQUIRE(runUntil(context, [&] { return b.queue.size() == 100; }));
    REQUIRE(a.transport.counters().framesSent == 100);
    REQUIRE(a.transport.counters().droppedFrames == 2);
}

// Benchmark: prints the time per frame of the transport; run with [.latency]. Both hosts run on
// this thread.
TEST_CASE("time per frame over loopback", "[.latency]")
{
    asio::io_context context;
    TestHost a(context, "a", { "127.0.0.1", 0 });
    TestHost b(context, "b", { "127.0.0.2", 0 });
    PartRequest request;
    request.server = { "counter-lookup-0-shubra" };
    request.service = { "counter-lookup" };
    request.body = std::string(200, 'x');
    const auto sendAndReceive = [&](std::uint64_t frames) {
        for (std::uint64_t i = 0; i < frames; ++i)
            a.transport.send({ "b" }, b.transport.listenEndpoint(), request);
        while (b.queue.size() < frames)
            context.run_one();
        for (std::uint64_t i = 0; i < frames; ++i)
            b.queue.take<PeerReceived>();
    };
    sendAndReceive(1);
    constexpr int kRounds = 5000;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds; ++i)
        sendAndReceive(1);
    const auto single = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds / 100; ++i)
        sendAndReceive(1000);
    const auto batched = std::chrono::steady_clock::now();
    const auto nanoseconds = [](auto time) { return std::chrono::nanoseconds(time).count(); };
    std::cout << "one at a time: " << nanoseconds(single - start) / kRounds << " ns per frame\n"
              << "1000 at a time: " << nanoseconds(batched - single) / (kRounds * 10)
              << " ns per frame\n";
}
