#include "app/SeedReader.h"

#include "http/RawPeers.h"
#include "tests/BrokenResponses.h"
#include "tests/RecordingResponseObserver.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

using namespace greengagestair;

TEST_CASE("a snapshot is read as it was written", "[app]")
{
    const StoreChanges snapshot { {}, { { 40 }, { 2 } }, { "a", "{\"key\":\"b\"}" } };
    CHECK(parseSnapshot(formatSnapshot(snapshot)) == snapshot);
}

// Guards against hosts that cannot start from the entries of a host of an earlier version.
TEST_CASE("a snapshot without an era is of era 0", "[app]")
{
    const auto snapshot = parseSnapshot(R"({"revision":40,"entries":[]})");
    REQUIRE(snapshot);
    CHECK(snapshot->position == StorePosition { { 40 }, { 0 } });
}

// Guards against a process that ends, or takes an absurd position, because of another host's
// answer.
TEST_CASE("a snapshot with an odd position is rejected", "[app]")
{
    const std::string number = GENERATE(as<std::string> {}, "-1", "1.5", "1e300", "\"4\"", "null",
                                        "184467440737095516160", "[[]]");
    CHECK_FALSE(parseSnapshot(R"({"revision":)" + number + R"(,"era":1,"entries":[]})"));
    CHECK_FALSE(parseSnapshot(R"({"revision":40,"era":)" + number + R"(,"entries":[]})"));
}

// Guards against a broken answer of another host that is taken for its entries.
TEST_CASE("a broken answer of another host holds no entries", "[app][broken]")
{
    const std::string entries = formatSnapshot({ {}, { { 7 }, { 2 } }, { "{}" } });
    const std::string length = "Content-Length: " + std::to_string(entries.size()) + "\r\n";
    const bool isBroken = GENERATE(true, false);
    const std::string head = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\nA b: c",
                                      "HTTP/1.1 200 OK\r\nA: \x01", "HTTP/2.0 200 OK\r\nA: b");
    boost::asio::io_context context { 1 };
    RawServer server(context);
    RecordingResponseObserver observer;
    std::vector<bool> answers;
    SeedReader reader(
            { { "127.0.0.1", server.port() } },
            [&](std::function<void()> function) {
                boost::asio::post(context, std::move(function));
            },
            [&](const std::optional<StoreChanges> &snapshot) {
                answers.push_back(snapshot.has_value());
            },
            observer);
    reader.ask(steadyNow());
    runUntil(context, [&] { return !server.peers.empty() && !server.peers[0]->received.empty(); });
    server.peers[0]->write((isBroken ? head : "HTTP/1.1 200 OK\r\nA: b") + "\r\n" + length + "\r\n"
                           + entries);
    runUntil(context, [&] { return !answers.empty(); });
    CHECK(answers.front() != isBroken);
    CHECK(observer.responses().size() == (isBroken ? 1 : 0));
}
