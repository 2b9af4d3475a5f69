#include "ServerFixture.h"

#include "http/CallerAccount.h"

#include <boost/asio/post.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

// Guards against requests that are altered while they are parsed.
TEST_CASE("method, target, headers and body arrive unchanged", "[http]")
{
    ServerFixture fixture;
    const auto peer = fixture.connect();
    peer->write("PROPFIND /a%2Fb//c?x=1&x=2&y HTTP/1.1\r\nHost: h\r\nX-One: a\r\nx-one:  b \r\n"
                "Content-Length: 5\r\n\r\nhello");
    fixture.awaitRequests(1);
    const HttpServerRequest &request = fixture.handler.requests.front();
    CHECK(request.method == "PROPFIND");
    CHECK(request.target == "/a%2Fb//c?x=1&x=2&y");
    CHECK(request.body == "hello");
    REQUIRE(request.headers.size() == 4);
    CHECK(request.headers[1].name == "X-One");
    CHECK(request.headers[2].value == "b");
}

TEST_CASE("a chunked body is decoded completely", "[http]")
{
    ServerFixture fixture;
    const auto peer = fixture.connect();
    peer->write("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    fixture.context.run_for(5ms);
    CHECK(fixture.handler.requests.empty());
    peer->write("2;x=y\r\nde\r\n0\r\n\r\n");
    fixture.awaitRequests(1);
    CHECK(fixture.handler.requests.front().body == "abcde");
}

// Guards against answers that are sent in the wrong order on one connection.
TEST_CASE("pipelined requests are handled one after the other", "[http]")
{
    ServerFixture fixture;
    const auto peer = fixture.connect();
    peer->write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.awaitRequests(1);
    fixture.context.run_for(5ms);
    CHECK(fixture.handler.requests.size() == 1);
    fixture.reply(0, "first");
    fixture.awaitRequests(2);
    fixture.reply(1, "second");
    fixture.awaitBytes(*peer, "second");
    CHECK(peer->received.find("first") < peer->received.find("second"));
}

// Guards against request smuggling: a second request hidden in the framing of the first one.
TEST_CASE("ambiguous framing is rejected and the connection is closed", "[http]")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string request = GENERATE_COPY(
            head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
            head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
            head + "Content-Length: -1\r\n\r\n", head + "Content-Length: 1x\r\n\r\na",
            head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", head + "Host: other\r\n\r\n",
            "GET / HTTP/1.1\r\n broken\r\n\r\n", "\x16\x03\x01 garbage\r\n\r\n");
    ServerFixture fixture;
    const auto peer = fixture.connect();
    peer->write(request);
    fixture.awaitBytes(*peer, "HTTP/1.1 400");
    runUntil(fixture.context, [&] { return peer->isClosed; });
    CHECK(fixture.handler.requests.empty());
    CHECK(fixture.handler.badRequests == std::vector { 400 });
}

TEST_CASE("oversized requests are rejected before they are read completely", "[http]")
{
    ServerFixture fixture;
    CallerLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 500;
    fixture.server.setLimits(limits);
    const auto peer = fixture.connect();
    SECTION("body with a Content-Length")
    {
        peer->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n");
        fixture.awaitBytes(*peer, "HTTP/1.1 413");
    }
    SECTION("header")
    {
        peer->write("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x'));
        fixture.awaitBytes(*peer, "HTTP/1.1 431");
    }
    CHECK(fixture.handler.requests.empty());
}

// Guards against connections that stay open because the caller never completes a request.
TEST_CASE("a slow header and an idle connection time out", "[http]")
{
    ServerFixture fixture;
    CallerLimits limits;
    limits.headerTimeout = 100ms;
    limits.idleTimeout = 100ms;
    fixture.server.setLimits(limits);
    const auto slow = fixture.connect();
    const auto idle = fixture.connect();
    slow->write("GET / HT");
    fixture.awaitBytes(*slow, "HTTP/1.1 408");
    runUntil(fixture.context, [&] { return idle->isClosed && fixture.server.connections() == 0; });
}

// Guards against backend servers that keep working for a caller that has disconnected.
TEST_CASE("a caller that disconnects before its answer is reported", "[http]")
{
    ServerFixture fixture;
    const auto peer = fixture.connect();
    peer->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.awaitRequests(1);
    peer->close();
    runUntil(fixture.context, [&] { return !fixture.handler.disconnected.empty(); });
    CHECK(fixture.handler.disconnected == fixture.handler.exchanges);
    fixture.reply(0, "late");
}

// Guards against answers that are cut off when the process stops.
TEST_CASE("during shutdown, answers are sent completely and then close their connection", "[http]")
{
    ServerFixture fixture;
    const auto busy = fixture.connect();
    const auto idle = fixture.connect();
    busy->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.awaitRequests(1);
    runUntil(fixture.context, [&] { return fixture.server.connections() == 2; });
    fixture.server.setCloseAfterResponse(true);
    fixture.server.closeListenerAndIdleConnections();
    runUntil(fixture.context, [&] { return idle->isClosed; });
    fixture.reply(0, "whole");
    fixture.awaitBytes(*busy, "whole");
    CHECK(busy->received.find("Connection: close") != std::string::npos);
    runUntil(fixture.context, [&] { return busy->isClosed; });
}

TEST_CASE("the answer to HEAD has a Content-Length and no body", "[http]")
{
    ServerFixture fixture;
    const auto peer = fixture.connect();
    peer->write("HEAD / HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.awaitRequests(1);
    fixture.reply(0, "12345");
    fixture.awaitRequests(2);
    fixture.awaitBytes(*peer, "Content-Length: 5");
    CHECK(peer->received.find("12345") == std::string::npos);
}

TEST_CASE("a request with Expect: 100-continue gets 100 Continue", "[http]")
{
    ServerFixture fixture;
    const auto peer = fixture.connect();
    peer->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    fixture.awaitBytes(*peer, "HTTP/1.1 100 Continue");
    peer->write("ok");
    fixture.awaitRequests(1);
}

// Guards against callers that wait to be accepted, one for each pass of a loop that open
// connections keep busy.
TEST_CASE("connections that wait are accepted in one pass of a busy loop", "[http]")
{
    constexpr std::size_t kWaiting = 32;
    constexpr int kPasses = 8;
    ServerFixture fixture;
    std::vector<std::shared_ptr<RawPeer>> waiting;
    for (std::size_t index = 0; index < kWaiting; ++index)
        waiting.push_back(fixture.connect());
    int passes = 0;
    std::function<void()> pass = [&] {
        if (fixture.server.connections() < kWaiting)
            ++passes;
        boost::asio::post(fixture.context, pass);
    };
    pass();
    runUntil(fixture.context, [&] { return fixture.server.connections() == kWaiting; });
    CHECK(passes <= kPasses);
}

// Guards against requests that are cut off because they arrive in the same instant as the stop: on
// a connection that the process has not accepted yet, or on one whose bytes it has not read yet.
TEST_CASE("requests that the kernel holds when the listener closes are answered", "[http]")
{
    ServerFixture fixture;
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto kept = fixture.connect();
    runUntil(fixture.context, [&] { return fixture.server.connections() == 1; });
    SECTION("the connection was not accepted")
    {
        const auto pending = fixture.connect();
        pending->write(request);
        fixture.server.setCloseAfterResponse(true);
        fixture.server.closeListenerAndIdleConnections();
        fixture.awaitRequests(1);
        fixture.reply(0, "whole");
        fixture.awaitBytes(*pending, "whole");
    }
    SECTION("the bytes were not read")
    {
        kept->write(request);
        fixture.server.setCloseAfterResponse(true);
        fixture.server.closeListenerAndIdleConnections();
        fixture.awaitRequests(1);
        fixture.reply(0, "whole");
        fixture.awaitBytes(*kept, "whole");
    }
    runUntil(fixture.context, [&] { return fixture.server.connections() <= 1; });
}

// Guards against callers that send bytes without end inside a body that itself stays short.
TEST_CASE("a chunked body without end is rejected at a bound", "[http]")
{
    ServerFixture fixture;
    const auto peer = fixture.connect();
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string pattern;
    SECTION("chunk extension")
    {
        peer->write(head + "1;a=");
        pattern = "a";
    }
    SECTION("chunk size")
    {
        peer->write(head);
        pattern = "0";
    }
    SECTION("trailer")
    {
        peer->write(head + "0\r\n");
        pattern = "A: b\r\n";
    }
    SECTION("body")
    {
        peer->write(head);
        pattern = "4\r\nabcd\r\n";
    }
    constexpr std::size_t kBound = 12'000'000; // the body limit and what the kernel holds
    const std::size_t written = writeWithoutEnd(fixture.context, *peer, pattern, kBound, [&] {
        return !fixture.handler.badRequests.empty();
    });
    CHECK(written < kBound);
    REQUIRE(fixture.handler.badRequests.size() == 1);
    CHECK(fixture.handler.requests.empty());
}

namespace {

/** A caller that reads its response only when the test asks for it. */
class SlowCaller
{
public:
    static constexpr std::size_t kBodyBytes = 24'000'000; ///< more than the kernel buffers

    explicit SlowCaller(ServerFixture &fixture)
        : m_fixture(fixture)
        , m_socket(fixture.context)
    {
        m_socket.connect(
                { boost::asio::ip::make_address("127.0.0.1"), fixture.server.endpoint().port });
        boost::asio::write(m_socket,
                           boost::asio::buffer(std::string("GET /x HTTP/1.1\r\n"
                                                           "Host: h\r\n\r\n")));
        fixture.awaitRequests(1);
        fixture.reply(0, std::string(kBodyBytes, 'r'));
    }

    /** Reads until the end of the body or of the connection; returns the number of bytes. */
    std::size_t readAll()
    {
        std::size_t received = 0;
        std::vector<char> buffer(1'000'000);
        boost::system::error_code error;
        m_socket.non_blocking(true);
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (received < kBodyBytes && std::chrono::steady_clock::now() < end) {
            received += m_socket.read_some(boost::asio::buffer(buffer), error);
            if (error && error != boost::asio::error::would_block)
                break;
            m_fixture.context.restart();
            m_fixture.context.run_for(1ms);
        }
        return received;
    }

private:
    ServerFixture &m_fixture;
    RawPeer::Socket m_socket;
};

} // namespace

// Guards against answers that are cut off at a planned stop while they are on their way.
TEST_CASE("a connection whose response is not sent yet is not closed as idle", "[http]")
{
    ServerFixture fixture;
    SlowCaller caller(fixture);
    fixture.server.closeListenerAndIdleConnections();
    fixture.context.restart();
    fixture.context.run_for(100ms);
    CHECK(fixture.server.connections() == 1);
    CHECK(caller.readAll() >= SlowCaller::kBodyBytes);
}

// Guards against the last response of a connection that is cut off after the time to close it.
TEST_CASE("the last response of a connection is sent in full to a slow caller", "[http]")
{
    ServerFixture fixture;
    fixture.server.setCloseAfterResponse(true);
    SlowCaller caller(fixture);
    fixture.context.restart();
    fixture.context.run_for(2500ms);
    CHECK(caller.readAll() >= SlowCaller::kBodyBytes);
}

// Guards against callers that keep a response in memory for ever.
TEST_CASE("a caller that reads nothing of its response is closed", "[http]")
{
    ServerFixture fixture;
    CallerLimits limits;
    limits.idleTimeout = 1s;
    fixture.server.setLimits(limits);
    const SlowCaller caller(fixture);
    fixture.context.restart();
    fixture.context.run_for(2500ms);
    CHECK(fixture.server.connections() == 0);
}

// Guards against answers that pile up for a caller which sends requests and reads nothing.
TEST_CASE("a pipelined request waits until the answer before it was taken", "[http]")
{
    ServerFixture fixture;
    RawPeer::Socket socket(fixture.context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.server.endpoint().port });
    const auto peer = std::make_shared<RawPeer>(std::move(socket));
    peer->write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.awaitRequests(1);
    constexpr std::size_t kMoreThanSocketsTake = 32'000'000;
    fixture.reply(0, std::string(kMoreThanSocketsTake, 'x'));
    fixture.context.restart();
    fixture.context.run_for(50ms);
    CHECK(fixture.handler.requests.size() == 1);
    peer->start();
    fixture.awaitRequests(2);
    runUntil(fixture.context, [&] { return peer->received.size() > kMoreThanSocketsTake; });
}

// Guards against pipelined bytes that grow with each answer.
TEST_CASE("reading stops while many pipelined requests wait", "[http]")
{
    CallerAccount account;
    boost::asio::io_context context { 1 };
    RecordingHandler handler;
    HttpServer server(context, handler, &account);
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    RawPeer::Socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.endpoint().port });
    const auto peer = std::make_shared<RawPeer>(std::move(socket));
    peer->start();
    const std::string request = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    std::size_t answered = 0;
    writeWithoutEnd(context, *peer, request, 3'000'000, [&] {
        while (answered < handler.exchanges.size())
            server.reply(handler.exchanges.at(answered++), {});
        return answered > 200;
    });
    CHECK(answered > 200);
    CHECK(account.heldBytes(HeldKind::Incomplete) < 32'768);
}

// Guards against memory that incomplete bodies take without bound.
TEST_CASE("the body without progress is refused with 503 when memory is used up", "[http]")
{
    CallerAccount account({ 400'000, 100 });
    boost::asio::io_context context { 1 };
    RecordingHandler handler;
    HttpServer server(context, handler, &account);
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    std::vector<std::shared_ptr<RawPeer>> peers;
    for (int index = 0; index < 4; ++index) {
        RawPeer::Socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.endpoint().port });
        peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
        peers.back()->start();
        peers.back()->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"
                            + std::string(80'000, 'x'));
        context.restart();
        context.run_for(20ms);
    }
    runUntil(context, [&] { return peers.front()->isClosed; });
    CHECK(peers.front()->received.starts_with("HTTP/1.1 503 "));
    CHECK(account.heldBytes() <= 400'000);
    CHECK(handler.requests.empty());
    CHECK(handler.badRequests.empty());
    // Small requests are served meanwhile.
    RawPeer::Socket socket(context);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.endpoint().port });
    const auto small = std::make_shared<RawPeer>(std::move(socket));
    small->write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
    runUntil(context, [&] { return handler.requests.size() == 1; });
}

// Guards against descriptors that run out.
TEST_CASE("a new connection takes the place of one that sends nothing", "[http]")
{
    CallerAccount account({ 1'000'000, 3 });
    boost::asio::io_context context { 1 };
    RecordingHandler handler;
    HttpServer server(context, handler, &account);
    REQUIRE(server.listen({ "127.0.0.1", 0 }));
    std::vector<std::shared_ptr<RawPeer>> peers;
    for (int index = 0; index < 6; ++index) {
        RawPeer::Socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.endpoint().port });
        peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
        peers.back()->start();
    }
    peers.back()->write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(context, [&] {
        CHECK(server.connections() <= 3);
        return handler.requests.size() == 1;
    });
    CHECK(peers.front()->isClosed);
}
