#include "PoolFixture.h"

using namespace greengagestair;
using namespace std::chrono_literals;

TEST_CASE("a request carries the expected server and the remaining time", "[http]")
{
    PoolFixture fixture;
    fixture.start(1, "body");
    fixture.respond(1, response(1, "answer"));
    CHECK(fixture.answer(1).body == "answer");
    CHECK(fixture.answer(1).signature == "sig");
    const std::string &sent = fixture.peer().received;
    CHECK(sent.starts_with("POST /x?a=1&a=2 HTTP/1.1\r\nHost: h\r\n"));
    CHECK(sent.find("Expected-Server: s\r\n") != std::string::npos);
    CHECK(sent.find("Deadline: 500\r\n") != std::string::npos);
    CHECK(sent.ends_with("Content-Length: 4\r\n\r\nbody"));
}

// Guards against the first requests after a restart having to wait for TCP handshakes.
// Guards against a server that learns a caller's key, or believes the tenant that a caller names.
TEST_CASE("a server gets the verified tenant and not the caller's key", "[http]")
{
    PoolFixture fixture;
    fixture.extraFields = { { "AUTHORIZATION", "Bearer secret" }, { "tenant", "other" } };
    fixture.caller = VerifiedCaller { TenantId { "builders" } };
    fixture.start(1);
    fixture.respond(1, response(1, "x"));
    fixture.answer(1);
    CHECK(fixture.peer().received.find("secret") == std::string::npos);
    CHECK(fixture.peer().received.find("other") == std::string::npos);
    CHECK(fixture.peer().received.find("Tenant: builders\r\n") != std::string::npos);
}

TEST_CASE("without tenants a caller's own fields are passed on", "[http]")
{
    PoolFixture fixture;
    fixture.extraFields = { { "Authorization", "Bearer secret" }, { "Tenant", "other" } };
    fixture.start(1);
    fixture.respond(1, response(1, "x"));
    fixture.answer(1);
    CHECK(fixture.peer().received.find("Bearer secret") != std::string::npos);
    CHECK(fixture.peer().received.find("Tenant: other\r\n") != std::string::npos);
}

TEST_CASE("a connection opened in advance is used for the next request", "[http]")
{
    PoolFixture fixture;
    fixture.pool.openIdleConnection({ { "s" }, { "127.0.0.1", fixture.server.port() } });
    CHECK(fixture.connectionAttempts.empty());
    runUntil(fixture.context, [&] { return !fixture.connectionAttempts.empty(); });
    CHECK(fixture.connectionAttempts.front() == std::pair<std::string, bool>("s", true));
    CHECK(fixture.pool.idleConnections() == 1);
    fixture.start(1);
    fixture.respond(1, response(1, "a"));
    CHECK(fixture.answer(1).body == "a");
    CHECK(fixture.server.peers.size() == 1);
}

// Guards against a failure domain that stays marked as unreachable because the end of a connection
// attempt is never reported.
TEST_CASE("servers that refuse or have an invalid address are reported as not connected", "[http]")
{
    PoolFixture fixture;
    std::uint16_t closedPort = 0;
    {
        RawServer other(fixture.context);
        closedPort = other.port();
    }
    fixture.pool.openIdleConnection({ { "closed" }, { "127.0.0.1", closedPort } });
    fixture.pool.openIdleConnection({ { "nowhere" }, { "nowhere", 80 } });
    runUntil(fixture.context, [&] { return fixture.connectionAttempts.size() == 2; });
    for (const auto &[server, isConnected] : fixture.connectionAttempts)
        CHECK_FALSE(isConnected);
    CHECK(fixture.pool.idleConnections() == 0);
}

TEST_CASE("a connection is reused for the next request", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, response(1, "a"));
    fixture.answer(1);
    fixture.start(2);
    fixture.respond(2, response(2, "b"));
    CHECK(fixture.answer(2).body == "b");
    CHECK(fixture.pool.counters().opened == 1);
}

// Guards against passing an answer to a request that it does not belong to.
TEST_CASE("a duplicate answer to an earlier request is dropped", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, response(1, "a"));
    fixture.answer(1);
    SECTION("the duplicate arrives before the expected answer")
    {
        fixture.start(2);
        fixture.respond(2, response(1, "again") + response(2, "b"));
        CHECK(fixture.answer(2).body == "b");
    }
    SECTION("the duplicate arrives while the connection is idle")
    {
        fixture.peer().write(response(1, "again"));
        runUntil(fixture.context, [&] { return fixture.pool.idleConnections() == 0; });
        fixture.start(2);
        fixture.respond(2, response(2, "b"), 1);
        CHECK(fixture.answer(2).body == "b");
    }
}

TEST_CASE("a connection is closed if more bytes follow the answer", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, response(1, "a") + "more");
    CHECK(fixture.answer(1).body == "a");
    CHECK(fixture.pool.idleConnections() == 0);
}

// Guards against a truncated answer that is taken for a complete one.
TEST_CASE("a truncated answer ends the attempt as lost", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    SECTION("before the end of its Content-Length")
    {
        fixture.respond(1, "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 9\r\n\r\nabc");
        fixture.peer().close();
    }
    SECTION("by a reset, without a Content-Length")
    {
        fixture.respond(1, "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\nabc");
        fixture.context.run_for(5ms);
        fixture.peer().reset();
    }
    SECTION("within a chunk")
    {
        fixture.respond(1, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab");
        fixture.peer().close();
    }
    SECTION("before its first byte")
    {
        fixture.respond(1, "");
        fixture.peer().close();
    }
    CHECK(fixture.failure(1) == AttemptFailure::Lost);
}

TEST_CASE("an answer without a Content-Length ends when the server closes the connection", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\nabc");
    fixture.peer().close();
    CHECK(fixture.answer(1).body == "abc");
    CHECK(fixture.pool.idleConnections() == 0);
}

TEST_CASE("bytes that are not an HTTP response end the attempt as corrupt", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, "\x01\x02 nonsense\r\n\r\n");
    CHECK(fixture.failure(1) == AttemptFailure::Corrupt);
}

// Guards against treating a refused request as executed, and an executed one as refused.
TEST_CASE("only a Not-Executed field or status 421 marks an answer as not executed", "[http]")
{
    const auto [head, expected] =
            GENERATE(table<std::string, bool>({ { "503 Busy\r\nNot-Executed: 1", true },
                                                { "421 Misdirected Request", true },
                                                { "503 Busy", false },
                                                { "500 Error\r\nSignature: s", false } }));
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n");
    CHECK(fixture.answer(1).notExecuted == expected);
}

// Guards against idle connections that use up a server's connection limit while hosts restart.
TEST_CASE("idle connections are limited in number and time", "[http]")
{
    PoolFixture fixture;
    fixture.idleLimits = { 1, 100ms };
    fixture.start(1);
    fixture.start(2);
    runUntil(fixture.context, [&] { return fixture.server.peers.size() == 2; });
    fixture.respond(1, response(1, "a"), 0);
    fixture.respond(2, response(2, "b"), 1);
    CHECK(fixture.answer(1).body == "a");
    CHECK(fixture.answer(2).body == "b");
    CHECK(fixture.pool.idleConnections() == 1);
    runUntil(fixture.context, [&] { return fixture.pool.idleConnections() == 0; });
}

TEST_CASE("an attempt to connect to a closed port ends as not sent", "[http]")
{
    PoolFixture fixture;
    auto request = std::make_shared<GatewayRequest>();
    request->method = "GET";
    fixture.pool.start({ { 1 }, { "s" }, { "127.0.0.1", 1 }, request, 500ms, {} });
    CHECK(fixture.failure(1) == AttemptFailure::NotSent);
}

TEST_CASE("a released attempt ends with its answer, or when its linger time is over", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.peer();
    fixture.context.run_for(5ms);
    SECTION("no answer")
    {
        fixture.pool.release({ { 1 }, 20ms });
        CHECK(fixture.failure(1) == AttemptFailure::Expired);
        runUntil(fixture.context, [&] { return fixture.peer().isClosed; });
    }
    SECTION("an answer")
    {
        fixture.pool.release({ { 1 }, 5s });
        fixture.respond(1, response(1, "a"));
        CHECK(fixture.answer(1).body == "a");
        CHECK(fixture.pool.idleConnections() == 1);
    }
}

// Guards against requests on connections that the server has closed or is about to close.
TEST_CASE("closed and expired connections are not reused", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    SECTION("the server closes the idle connection")
    {
        fixture.respond(1, response(1, "a"));
        fixture.answer(1);
        fixture.peer().close();
    }
    SECTION("the server announces the close with Connection: close")
    {
        fixture.respond(1, response(1, "a", "Connection: close\r\n"));
        fixture.answer(1);
    }
    SECTION("the idle timeout stated by the server is short")
    {
        fixture.respond(1, response(1, "a", "Keep-Alive: timeout=1\r\n"));
        fixture.answer(1);
    }
    runUntil(fixture.context, [&] { return fixture.pool.idleConnections() == 0; });
}

// Guards against a server that takes the rest of a long request body for the next request.
TEST_CASE("a connection is closed if its request is answered before it is fully sent", "[http]")
{
    PoolFixture fixture;
    fixture.start(1, std::string(64 * 1024 * 1024, 'x'));
    fixture.respond(1, "HTTP/1.1 413 Too Large\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
    CHECK(fixture.answer(1).status == 413);
    CHECK(fixture.pool.idleConnections() == 0);
}

TEST_CASE("the idle connections to a removed server are closed", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, response(1, "a"));
    fixture.answer(1);
    fixture.pool.closeIdleConnections({ "s" });
    CHECK(fixture.pool.idleConnections() == 0);
    runUntil(fixture.context, [&] { return fixture.peer().isClosed; });
}

/** Writes `pattern` until the attempt has ended; returns the number of bytes that were taken. */
static std::size_t flood(PoolFixture &fixture, std::uint64_t attempt, const std::string &beginning,
                         const std::string &pattern, std::size_t limit)
{
    fixture.respond(attempt, beginning, fixture.server.peers.size() - 1);
    return writeWithoutEnd(fixture.context, *fixture.server.peers.back(), pattern, limit,
                           [&] { return fixture.ended.contains(attempt); });
}

// Guards against a server in trouble that sends bytes without end, which would fill the memory of
// this host (160 MB on the smallest ones) until the request's deadline.
TEST_CASE("a response without end is ended at a bound", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.peer();
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t kHeaderBound = 2'000'000;
    // Kernel buffers hold some megabytes beyond the bound of 16 MiB.
    constexpr std::size_t kBodyBound = 40'000'000;
    std::size_t bound = kHeaderBound;
    std::size_t written = 0;
    SECTION("status line")
    {
        written = flood(fixture, 1, "HTTP/1.1 200 ", "a", bound);
    }
    SECTION("bytes that are no HTTP")
    {
        written = flood(fixture, 1, "x", "x", bound);
    }
    SECTION("header line")
    {
        written = flood(fixture, 1, "HTTP/1.1 200 OK\r\nA: ", "a", bound);
    }
    SECTION("header fields")
    {
        written = flood(fixture, 1, "HTTP/1.1 200 OK\r\n", "A: b\r\n", bound);
    }
    SECTION("chunk extension")
    {
        written = flood(fixture, 1, chunked + "1;a=", "a", bound);
    }
    SECTION("chunk size")
    {
        written = flood(fixture, 1, chunked, "0", bound);
    }
    SECTION("trailer")
    {
        written = flood(fixture, 1, chunked + "0\r\n", "A: b\r\n", bound);
    }
    SECTION("interim responses")
    {
        written = flood(fixture, 1, "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", bound);
    }
    SECTION("answers to other requests")
    {
        written =
                flood(fixture, 1, "",
                      "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\na", bound);
    }
    SECTION("chunked body")
    {
        bound = kBodyBound;
        written = flood(fixture, 1, chunked, "4\r\nabcd\r\n", bound);
    }
    SECTION("body without a length")
    {
        bound = kBodyBound;
        written = flood(fixture, 1, "HTTP/1.1 200 OK\r\n\r\n", "a", bound);
    }
    REQUIRE(fixture.ended.contains(1));
    CHECK(written < bound);
    CHECK(fixture.failure(1) == AttemptFailure::Corrupt);
}

// Guards against many servers that send bodies without end at the same time: each response alone
// stays below its bound, but together they would take more memory than a small host has.
TEST_CASE("responses in progress share a bound on their memory", "[http]")
{
    constexpr std::uint64_t kResponses = 40;
    constexpr std::size_t kBytesEach = 4'000'000;
    PoolFixture fixture;
    for (std::uint64_t attempt = 1; attempt <= kResponses; ++attempt) {
        fixture.start(attempt);
        fixture.peer(attempt - 1);
        flood(fixture, attempt, "HTTP/1.1 200 OK\r\n\r\n", "a", kBytesEach);
        runUntil(fixture.context, [&] {
            return fixture.ended.contains(attempt)
                    || fixture.pool.bufferedBytes()
                    >= kBytesEach * std::min<std::uint64_t>(attempt, 4);
        });
        REQUIRE(fixture.pool.bufferedBytes() <= 34'000'000);
    }
    CHECK(fixture.ended.size() >= kResponses / 2);
    // A short answer is still taken.
    fixture.start(99);
    fixture.respond(99, response(99, "short"), kResponses);
    CHECK(fixture.answer(99).body == "short");
}

// Guards against a limit that is misread, so that a server gets far more or far fewer requests than
// it bears.
TEST_CASE("a server's request limit is read from its responses", "[http]")
{
    PoolFixture fixture;
    std::uint64_t attempt = 0;
    const auto statementOf = [&](const std::string &fields) {
        fixture.start(++attempt);
        fixture.respond(attempt, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 0\r\n\r\n");
        return fixture.answer(attempt).statement;
    };
    CHECK_FALSE(statementOf("").requestLimit);
    CHECK(statementOf("request-limit: 26.5\r\n").requestLimit == 26.5);
    CHECK(statementOf("Request-Limit: 0\r\n").requestLimit == 0);
    for (const char *invalid :
         { "-1", "nan", "inf", "1e3", "26.5 a second", "", "1e400", "99999999" }) {
        const ServerStatement statement =
                statementOf("Request-Limit: " + std::string(invalid) + "\r\n");
        CHECK_FALSE(statement.requestLimit);
        CHECK(statement.invalid == "Request-Limit: " + std::string(invalid));
    }
    CHECK_FALSE(statementOf("Request-Limit: 5\r\nRequest-Limit: 6\r\n").requestLimit);
    const auto pauseOf = [&](const std::string &status, const std::string &value) {
        fixture.start(++attempt);
        fixture.respond(attempt,
                        "HTTP/1.1 " + status + "\r\nRetry-After: " + value
                                + "\r\nContent-Length: 0\r\n\r\n");
        return fixture.answer(attempt).statement.pause;
    };
    CHECK(pauseOf("503 X", "1.25") == Duration(1250ms));
    CHECK_FALSE(pauseOf("429 X", "1"));
    CHECK_FALSE(pauseOf("503 X", "-1"));
    CHECK_FALSE(pauseOf("503 X", "999999"));
    CHECK_FALSE(pauseOf("503 X", "Fri, 04 Dec 2026 00:00:00 GMT"));
    CHECK(statementOf("leaving: 1\r\n").isLeaving);
    CHECK_FALSE(statementOf("Leaving: 0\r\n").isLeaving);
    CHECK(statementOf("Leaving: true\r\n").invalid == "Leaving: true");
    // An interim response is no statement.
    fixture.start(++attempt);
    fixture.respond(attempt,
                    "HTTP/1.1 100 Continue\r\nRequest-Limit: 5\r\n\r\n"
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE(fixture.answer(attempt).statement.requestLimit);
}

// Guards against an answer that looks complete although its server stopped in the middle of the
// head: the caller would get an empty or short body framed as whole.
TEST_CASE("a response that ends within its head is no answer", "[http]")
{
    PoolFixture fixture;
    std::uint64_t attempt = 0;
    const auto failureOf = [&](const std::string &bytes) {
        fixture.start(++attempt);
        fixture.respond(attempt, bytes, attempt - 1);
        fixture.peer(attempt - 1).close();
        return fixture.failure(attempt);
    };
    const bool hasLength = GENERATE(true, false);
    const std::string head = "HTTP/1.1 200 OK\r\nSignature: sig\r\n"
            + std::string(hasLength ? "Content-Length: 12\r\n" : "Server: s\r\n") + "\r\n";
    for (std::size_t length = 1; length < head.size(); ++length) {
        INFO(length << " bytes of the head");
        CHECK(failureOf(head.substr(0, length)) == AttemptFailure::Lost);
    }
    // A line break within the head that a lenient parser takes for its end.
    CHECK(failureOf("HTTP/1.1 200 OK\r\nSignature: sig\r\n\r") != AttemptFailure::NotSent);
}

// Guards against a server that starts again unnoticed while none of this host's requests is in
// progress.
TEST_CASE("the loss of the last connection to a server is reported", "[http]")
{
    PoolFixture fixture;
    fixture.start(1);
    fixture.start(2);
    runUntil(fixture.context, [&] { return fixture.server.peers.size() == 2; });
    const auto answer = [&](RawPeer &peer) {
        runUntil(fixture.context, [&] { return !peer.received.empty(); });
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        runUntil(fixture.context, [&] { return fixture.pool.idleConnections() == 1; });
    };
    // The other connection still carries a request.
    answer(*fixture.server.peers[0]);
    fixture.server.peers[0]->reset();
    runUntil(fixture.context, [&] { return fixture.pool.idleConnections() == 0; });
    CHECK(fixture.lostServers.empty());
    answer(*fixture.server.peers[1]);
    fixture.server.peers[1]->reset();
    runUntil(fixture.context, [&] { return fixture.pool.idleConnections() == 0; });
    CHECK(fixture.lostServers.size() == 1);
}
