#include "net/CurlPlatformClient.h"
#include "net/RecordingEventQueue.h"
#include "net/ScriptedHttpServer.h"
#include "tests/BrokenResponses.h"
#include "tests/RecordingResponseObserver.h"

#include <catch2/catch.hpp>

using namespace greengagestair;
using std::chrono::milliseconds;
using std::chrono::seconds;

using Request = decltype(CallPlatform::request);

/** Makes one call and returns its result, which must be a `Result`. */
template <typename Result>
static Result callAndWait(CurlPlatformClient &client, RecordingEventQueue &queue, Request request,
                          Duration timeout = seconds(10))
{
    client.call({ { 3 }, timeout, std::move(request) });
    const auto finished = queue.take<PlatformFinished>().value();
    REQUIRE(finished.call == CallId { 3 });
    REQUIRE(std::holds_alternative<Result>(finished.result));
    return std::get<Result>(finished.result);
}

/** Makes one call to a server that gives this reply, and returns the result. The request that the
 * server received is stored in `seen`. */
template <typename Result>
static Result callWithReply(const ScriptedReply &reply, Request request,
                            ScriptedRequest *seen = nullptr)
{
    ScriptedHttpServer server([&](const ScriptedRequest &received) {
        if (seen)
            *seen = received;
        return reply;
    });
    RecordingEventQueue queue;
    CurlPlatformClient client({ server.endpoint() }, queue);
    return callAndWait<Result>(client, queue, std::move(request));
}

/** An endpoint on which no server listens any more. */
static Endpoint closedEndpoint()
{
    const ScriptedHttpServer server([](const ScriptedRequest &) { return ScriptedReply(); });
    return server.endpoint();
}

// Guards against interpreting a response of the platform as a different result.
TEST_CASE("each call maps to its HTTP request and its result", "[platform]")
{
    const PlatformKey key { "ledger/order ledger/7" };
    ScriptedRequest seen;
    const auto value = callWithReply<KeyValue>(
            { httpResponse("200 OK", "X-Revision: 9\r\n", "{}") }, ReadKey { key }, &seen);
    REQUIRE(seen.head.starts_with("GET /kv/ledger/order%20ledger/7 HTTP/1.1\r\n"));
    REQUIRE(value.revision.value == 9);
    REQUIRE(value.value == "{}");
    REQUIRE(callWithReply<KeyAbsent>({ httpResponse("404 X") }, ReadKey { key }).key == key);

    const WriteKey write { key, { 4 }, "content" };
    const auto accepted = callWithReply<WriteAccepted>(
            { httpResponse("200 OK", "X-Revision: 5\r\n") }, write, &seen);
    REQUIRE(seen.head.starts_with("PUT /kv/ledger/order%20ledger/7 HTTP/1.1\r\n"));
    REQUIRE(seen.head.find("If-Revision: 4\r\n") != std::string::npos);
    REQUIRE(seen.body == "content");
    REQUIRE(accepted.revision.value == 5);
    const ScriptedReply conflict { httpResponse("409 X", "X-Revision: 6\r\n") };
    REQUIRE(callWithReply<RevisionConflict>(conflict, write).current.value == 6);

    const WatchKey watch { key, { 9 }, milliseconds(1500) };
    const ScriptedReply unchanged { "HTTP/1.1 304 Not Modified\r\n\r\n" };
    REQUIRE(callWithReply<WatchExpired>(unchanged, watch, &seen).key == key);
    REQUIRE(seen.head.starts_with("GET /watch/ledger/order%20ledger/7?after=9&timeout-ms=1500 "));

    const ScriptedReply hosts { httpResponse("200 OK", "X-Revision: 2\r\n", "{\"hosts\":[]}") };
    REQUIRE(callWithReply<HostListAnswer>(hosts, ListHosts {}).value == "{\"hosts\":[]}");
}

// Guards against reporting a write that took effect as not sent.
TEST_CASE("a failure reports whether the call may have been received", "[platform]")
{
    const WriteKey write { { "configuration" }, { 4 }, "content" };
    REQUIRE(callWithReply<PlatformFailure>({ "", true }, write).sent);
    REQUIRE(callWithReply<PlatformFailure>({ "", false, true }, write).sent);
    REQUIRE(callWithReply<PlatformFailure>({ httpResponse("500 X") }, write).sent);
    REQUIRE(callWithReply<PlatformFailure>({ httpResponse("200 OK") }, write).sent);
    // The response ends within its head; without its body it would look like an empty value.
    const ScriptedReply cut { "HTTP/1.1 200 OK\r\nX-Revision: 9\r\n", true };
    REQUIRE(callWithReply<PlatformFailure>(cut, write).sent);
    REQUIRE(callWithReply<PlatformFailure>(cut, ReadKey { write.key }).key == write.key);
    RecordingEventQueue queue;
    CurlPlatformClient client({ closedEndpoint() }, queue);
    const auto failure = callAndWait<PlatformFailure>(client, queue, write);
    REQUIRE_FALSE(failure.sent);
    REQUIRE(failure.key == write.key);
}

// Guards against a client that gives up when the first platform server is down, and against one
// that keeps trying that server first.
TEST_CASE("the next server is tried if one cannot be reached", "[platform]")
{
    ScriptedHttpServer server([](const ScriptedRequest &) {
        return ScriptedReply { httpResponse("200 OK", "X-Revision: 5\r\n") };
    });
    RecordingEventQueue queue;
    CurlPlatformClient client({ closedEndpoint(), closedEndpoint(), server.endpoint() }, queue);
    for (int i = 0; i < 3; ++i)
        callAndWait<WriteAccepted>(client, queue, WriteKey { { "k" }, { 4 }, "v" });
    REQUIRE(server.requests() == 3);
}

// Guards against repeating a write whose answer was lost.
TEST_CASE("a call that may have been received is not repeated", "[platform]")
{
    const auto close = [](const ScriptedRequest &request) {
        return request.indexOnConnection == 0
                ? ScriptedReply { httpResponse("200 OK", "X-Revision: 5\r\n") }
                : ScriptedReply { "", true };
    };
    ScriptedHttpServer first(close);
    ScriptedHttpServer second(close);
    RecordingEventQueue queue;
    CurlPlatformClient client({ first.endpoint(), second.endpoint() }, queue);
    const WriteKey write { { "k" }, { 4 }, "v" };
    callAndWait<WriteAccepted>(client, queue, write);
    REQUIRE(callAndWait<PlatformFailure>(client, queue, write).sent);
    REQUIRE(first.requests() == 2);
    REQUIRE(second.requests() == 0);
    callAndWait<WriteAccepted>(client, queue, write);
    REQUIRE(second.requests() == 1);
}

// Guards against a call whose result is never reported.
TEST_CASE("a call ends at its timeout and at stop()", "[platform]")
{
    ScriptedHttpServer server([](const ScriptedRequest &) { return ScriptedReply(); });
    RecordingEventQueue queue;
    CurlPlatformClient client({ server.endpoint() }, queue);
    REQUIRE(callAndWait<PlatformFailure>(client, queue, ListHosts {}, milliseconds(100)).sent);
    client.call({ { 4 }, seconds(100), ReadKey { { "k" } } });
    client.stop();
    client.call({ { 5 }, seconds(100), ReadKey { { "k" } } });
    REQUIRE(queue.take<PlatformFinished>());
    REQUIRE(queue.take<PlatformFinished>());
    REQUIRE(queue.size() == 0);
}

// Guards against a broken response that is taken for a value, an accepted write or a host list, and
// against a write that is called not sent after it.
TEST_CASE("a broken response of the platform has an unknown outcome", "[platform][broken]")
{
    const PlatformKey key { "k" };
    for (const BrokenResponse &broken : brokenResponses()) {
        INFO(broken.name);
        ScriptedHttpServer server(
                [&](const ScriptedRequest &) { return ScriptedReply { broken.bytes }; });
        RecordingEventQueue queue;
        RecordingResponseObserver observer;
        CurlPlatformClient client({ server.endpoint() }, queue, &observer);
        CHECK(callAndWait<PlatformFailure>(client, queue, ReadKey { key }).key == key);
        CHECK(callAndWait<PlatformFailure>(client, queue, WriteKey { key, { 4 }, "v" }).sent);
        callAndWait<PlatformFailure>(client, queue, WatchKey { key, { 4 }, milliseconds(100) });
        callAndWait<PlatformFailure>(client, queue, ListHosts {});
        CHECK(server.connections() == 4);
        CHECK(server.requests() == 4);
        CHECK(observer.responses().size() == 4);
    }
}
