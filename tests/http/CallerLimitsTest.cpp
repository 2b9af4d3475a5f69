#include "ServerFixture.h"

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** A server whose limits the test changes while connections are open. */
class LimitsFixture : public ServerFixture
{
public:
    static constexpr std::size_t kLow = 1000;
    static constexpr std::size_t kHigh = 3000;
    static constexpr std::size_t kBetween = 2000;

    explicit LimitsFixture(std::size_t bytes) { setSizes(bytes); }

    void setSizes(std::size_t bytes)
    {
        CallerLimits limits;
        limits.maxHeaderBytes = bytes;
        limits.maxBodyBytes = bytes;
        server.setLimits(limits);
    }
    /** Sends a request without a body and answers it. */
    void serveOne(RawPeer &peer)
    {
        const std::size_t index = handler.requests.size();
        peer.write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
        awaitRequests(index + 1);
        reply(index, "answered");
        awaitBytes(peer, "answered");
    }
};

/** A request that the high limits allow and the low ones do not, in two parts. */
struct LargeRequest
{
    std::string name;
    std::string begin;
    std::string rest;
    int refusal = 413; ///< status under the low limits
};

} // namespace

static std::vector<LargeRequest> largeRequests()
{
    const std::string head = "POST /large HTTP/1.1\r\nHost: h\r\n";
    const std::string length = std::to_string(LimitsFixture::kBetween);
    const std::string body(LimitsFixture::kBetween, 'x');
    const std::string half(LimitsFixture::kBetween / 2, 'x');
    return { { "half a line", "POST /la",
               "rge HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\n" + body },
             { "half a head", head, "Content-Length: " + length + "\r\n\r\n" + body },
             { "large head", head, "X: " + body + "\r\nContent-Length: 0\r\n\r\n", 431 },
             { "one chunk", head + "Transfer-Encoding: chunked\r\n\r\n",
               "7d0\r\n" + body + "\r\n0\r\n\r\n" },
             { "two chunks", head + "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + half + "\r\n",
               "3e8\r\n" + half + "\r\n0\r\n\r\n" },
             { "half a chunk", head + "Transfer-Encoding: chunked\r\n\r\n3e8\r\n" + half.substr(1),
               half.substr(0, 1) + "\r\n3e8\r\n" + half + "\r\n0\r\n\r\n" } };
}

// Guards against requests that a kept connection refuses by the limits of an earlier configuration.
TEST_CASE("raised size limits apply to open connections", "[http]")
{
    const LargeRequest request = GENERATE(from_range(largeRequests()));
    CAPTURE(request.name);
    LimitsFixture fixture(LimitsFixture::kLow);
    const auto peer = fixture.connect();
    std::size_t index = 0;
    SECTION("a connection without a request")
    {
        fixture.handleEvents();
        fixture.setSizes(LimitsFixture::kHigh);
        peer->write(request.begin);
    }
    SECTION("an idle connection")
    {
        fixture.serveOne(*peer);
        index = 1;
        fixture.setSizes(LimitsFixture::kHigh);
        peer->write(request.begin);
    }
    SECTION("a request that is being received")
    {
        peer->write(request.begin);
        fixture.handleEvents();
        fixture.setSizes(LimitsFixture::kHigh);
    }
    SECTION("a pipelined request")
    {
        peer->write("GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + request.begin);
        fixture.awaitRequests(1);
        index = 1;
        fixture.handleEvents();
        fixture.setSizes(LimitsFixture::kHigh);
        fixture.reply(0, "answered");
        fixture.handleEvents();
    }
    peer->write(request.rest);
    fixture.awaitRequests(index + 1);
    CHECK(fixture.handler.requests.at(index).target == "/large");
    CHECK(fixture.handler.badRequests.empty());
}

// Guards against requests that are refused midway although the limits at their beginning allowed
// them, and against connections that keep higher limits for ever.
TEST_CASE("lowered size limits apply to the next request", "[http]")
{
    const LargeRequest request = GENERATE(from_range(largeRequests()));
    CAPTURE(request.name);
    LimitsFixture fixture(LimitsFixture::kHigh);
    const auto peer = fixture.connect();
    peer->write(request.begin);
    fixture.handleEvents();
    fixture.setSizes(LimitsFixture::kLow);
    peer->write(request.rest);
    fixture.awaitRequests(1);
    fixture.reply(0, "answered");
    fixture.awaitBytes(*peer, "answered");
    peer->write(request.begin + request.rest);
    fixture.awaitBytes(*peer, "HTTP/1.1 " + std::to_string(request.refusal));
    CHECK(fixture.handler.requests.size() == 1);
}

// Guards against connections that are cut off although their callers keep to the timeouts that were
// in force when the connection became idle, or when the request began.
TEST_CASE("lowered timeouts do not apply to what has begun before", "[http]")
{
    ServerFixture fixture;
    CallerLimits limits;
    limits.headerTimeout = 60s;
    limits.idleTimeout = 60s;
    fixture.server.setLimits(limits);
    const auto slow = fixture.connect();
    const auto idle = fixture.connect();
    slow->write("GET /slow HT");
    fixture.handleEvents();
    limits.headerTimeout = 50ms;
    limits.idleTimeout = 50ms;
    fixture.server.setLimits(limits);
    fixture.context.run_for(1200ms);
    CHECK(fixture.handler.badRequests.empty());
    CHECK(fixture.server.connections() == 2);
    slow->write("TP/1.1\r\nHost: h\r\n\r\n");
    fixture.awaitRequests(1);
    fixture.reply(0, "whole");
    fixture.awaitBytes(*slow, "whole");
    runUntil(fixture.context, [&] { return slow->isClosed; });
    CHECK_FALSE(idle->isClosed);
}

TEST_CASE("raised timeouts apply to open connections", "[http]")
{
    ServerFixture fixture;
    CallerLimits limits;
    limits.headerTimeout = 2s;
    limits.idleTimeout = 2s;
    fixture.server.setLimits(limits);
    const auto slow = fixture.connect();
    const auto idle = fixture.connect();
    slow->write("GET /slow HT");
    fixture.handleEvents();
    limits.headerTimeout = 60s;
    limits.idleTimeout = 60s;
    fixture.server.setLimits(limits);
    fixture.context.run_for(3200ms);
    CHECK(fixture.handler.badRequests.empty());
    CHECK(fixture.server.connections() == 2);
}
