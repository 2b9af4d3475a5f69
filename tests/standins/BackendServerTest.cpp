#include "standins/BackendServer.h"
#include "tests/standins/LocalCalls.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace greengagestair::standins {

namespace asio = boost::asio;
using std::chrono::milliseconds;

struct BackendFixture
{
    static ServerOptions defaults()
    {
        ServerOptions options;
        options.slots = 2;
        options.waitingPlaces = 1;
        options.connectionLimit = 8;
        options.connectionCost = {};
        options.serviceTime = milliseconds(20);
        options.serviceSigma = 0.001;
        options.warmAnswers = 1;
        options.downTime = milliseconds(20);
        return options;
    }

    explicit BackendFixture(ServerOptions options = defaults())
        : server(std::make_shared<BackendServer>(
                context,
                ServerIdentity { "s", "lookup", "g0", "shubra", parseEndpoint("127.0.0.1:0") },
                options, 1, executions, std::make_shared<const KeyRanges>()))
    {
        server->open();
    }

    static HttpRequest part(const std::string &id, std::string body = "{}",
                            const std::string &deadlineMs = "5000")
    {
        return {
            "POST",
            "/parts/lookup",
            { { "X-Request-Id", id }, { "X-Index-Version", "1" }, { "X-Deadline-Ms", deadlineMs } },
            std::move(body)
        };
    }

    std::shared_ptr<PendingCall> start(HttpRequest request)
    {
        auto call = startCall(context, server->endpoint(), std::move(request));
        const auto before = counter("requests");
        while (counter("requests") == before && !call->finished)
            context.run_one();
        return call;
    }

    int finish(const std::shared_ptr<PendingCall> &call)
    {
        while (!call->finished)
            context.run_one();
        return call->response ? call->response->status : 0;
    }

    std::int64_t counter(const char *name) const
    {
        return server->report().at(name).to_number<std::int64_t>();
    }

    asio::io_context context { 1 };
    std::shared_ptr<ExecutionLog> executions = std::make_shared<ExecutionLog>();
    std::shared_ptr<BackendServer> server;
};

// Guards against a stand-in that runs more than its slots or hides that it was asked to.
TEST_CASE_METHOD(BackendFixture, "work above the slots waits, then is shed and counted")
{
    const auto first = start(part("1"));
    const auto second = start(part("2"));
    CHECK(counter("aboveSlots") == 0);
    const auto third = start(part("3"));
    const auto fourth = start(part("4"));
    CHECK(finish(fourth) == 503);
    CHECK(finish(third) == 200);
    CHECK(finish(first) + finish(second) == 400);
    CHECK(counter("aboveSlots") == 2);
    CHECK(counter("shed") == 1);
}

// Guards against cold servers that bear any load, which would hide a broken ramp.
TEST_CASE_METHOD(BackendFixture, "a restarted server falls over above its cold limit")
{
    server->kill();
    server->restart();
    const auto first = start(part("1"));
    const auto second = start(part("2"));
    CHECK(finish(first) == 0);
    CHECK(finish(second) == 0);
    CHECK(counter("aboveColdLimit") == 1);
    CHECK(finish(startCall(context, server->endpoint(), part("3"))) == 0);
    while (finish(startCall(context, server->endpoint(), part("4"))) == 0)
        context.run_one_for(milliseconds(5));
    CHECK_FALSE(server->report().at("cold").as_bool());
}

// Guards against counting a violation that no client could have avoided.
TEST_CASE_METHOD(BackendFixture, "a server that turns cold by itself first refuses excess work")
{
    server->turnCold();
    const auto first = start(part("1"));
    const auto second = start(part("2"));
    CHECK(finish(second) == 503);
    CHECK(finish(first) == 200);
    CHECK(counter("aboveColdLimit") == 0);
}

// Guards against cancellations and deadlines that leave the slot taken.
TEST_CASE_METHOD(BackendFixture, "cancelled and expired work frees its slot")
{
    const auto cancelled = start(part("1"));
    const auto expired = start(part("2", "{}", "5"));
    CHECK(callNow(context, server->endpoint(), { "POST", "/cancel/1", {}, {} })->status == 204);
    CHECK(finish(cancelled) == 503);
    CHECK(finish(expired) == 504);
    CHECK(counter("inFlight") == 0);
}

// Guards against a crashing body that spares the server, and one that stays down for ever.
TEST_CASE_METHOD(BackendFixture, "a crashing body takes all work down with it")
{
    const auto innocent = start(part("1"));
    const auto crashing = start(part("2", R"({"crash": true})"));
    CHECK(finish(crashing) == 0);
    CHECK(finish(innocent) == 0);
    CHECK(counter("crashes") == 1);
}

// Guards against late work that goes unnoticed after a server was told to leave.
TEST_CASE_METHOD(BackendFixture, "work after the grace of a leaving server is counted")
{
    server->options().leaveGrace = milliseconds(-1);
    server->setDraining(true);
    CHECK(finish(start(part("1"))) == 503);
    CHECK(counter("workAfterLeaving") == 1);
    server->setDraining(false);
    CHECK(finish(start(part("2"))) == 200);
    CHECK(counter("workAfterLeaving") == 1);
}

// Guards against a stand-in that answers from an index version that it does not hold.
TEST_CASE_METHOD(BackendFixture, "a version that is not held is refused with the held ones")
{
    server->setVersions({ 7, 8 });
    const auto call = start(part("1"));
    CHECK(finish(call) == 409);
    CHECK(call->response->headers.front().second == "7,8");
}

// Guards against lost count of repeated executions.
TEST_CASE_METHOD(BackendFixture, "executions of a marked body are counted")
{
    CHECK(finish(start(part("1", R"({"once": "order-1"})"))) == 200);
    CHECK(finish(start(part("2", R"({"once": "order-1"})"))) == 200);
    CHECK(executions->at("order-1") == 2);
}

// Guards against a server that accepts any number of connections.
TEST_CASE("connections above the limit are refused and counted")
{
    auto options = BackendFixture::defaults();
    options.connectionLimit = 1;
    BackendFixture fixture(options);
    const auto first = fixture.start(BackendFixture::part("1"));
    const auto second =
            startCall(fixture.context, fixture.server->endpoint(), BackendFixture::part("2"));
    CHECK(fixture.finish(second) == 0);
    CHECK(fixture.finish(first) == 200);
    CHECK(fixture.counter("aboveConnectionLimit") == 1);
}

} // namespace greengagestair::standins
