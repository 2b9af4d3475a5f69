#include "standins/PlatformStandIn.h"
#include "tests/standins/LocalCalls.h"

#include <catch2/catch.hpp>

namespace greengagestair::standins {

namespace asio = boost::asio;

struct PlatformFixture
{
    std::optional<HttpResponse> call(const char *method, const std::string &target,
                                     HttpHeaders headers = {}, std::string body = {})
    {
        return callNow(context, platform.endpoint(),
                       { method, target, std::move(headers), std::move(body) });
    }

    std::optional<HttpResponse> write(int revision, std::string body)
    {
        return call("PUT", "/kv/members/shubra", { { "If-Revision", std::to_string(revision) } },
                    std::move(body));
    }

    void control(const std::string &command, const std::string &body)
    {
        callNow(context, platform.controlEndpoint(), { "POST", "/control/" + command, {}, body });
    }

    asio::io_context context { 1 };
    PlatformStandIn platform { context, parseEndpoint("127.0.0.1:0"), parseEndpoint("127.0.0.1:0"),
                               R"({"hosts": []})" };
};

// Guards against a stand-in that lets a racing writer overwrite a value.
TEST_CASE_METHOD(PlatformFixture, "a write at another revision changes nothing")
{
    REQUIRE(write(0, "first")->status == 200);
    const auto lost = write(0, "second");
    CHECK(lost->status == 409);
    CHECK(lost->headers.front().second == "1");
    CHECK(call("GET", "/kv/members/shubra")->body == "first");
    CHECK(write(1, std::string((1U << 20U) + 1, 'x'))->status == 413);
}

// Guards against a lost answer that also loses the write: the fault must be the ambiguous one.
TEST_CASE_METHOD(PlatformFixture, "a write whose answer is lost took effect")
{
    control("faults", R"({"loseWrites": 1})");
    CHECK_FALSE(write(0, "value"));
    CHECK(call("GET", "/kv/members/shubra")->body == "value");
    CHECK(write(1, "next")->status == 200);
}

// Guards against watches that wait for ever, miss a write, or make an absent key appear.
TEST_CASE_METHOD(PlatformFixture, "a watch ends at a write or at its time-out")
{
    CHECK(call("GET", "/watch/members/shubra?after=0&timeout-ms=5")->status == 304);
    CHECK(call("GET", "/kv/members/shubra")->status == 404);
    const auto watch = startCall(context, platform.endpoint(),
                                 { "GET", "/watch/members/shubra?after=0", {}, {} });
    REQUIRE(write(0, "value")->status == 200);
    while (!watch->finished)
        context.run_one();
    CHECK(watch->response->body == "value");
}

// Guards against a lease that is renewed after it lapsed.
TEST_CASE_METHOD(PlatformFixture, "a lapsed lease cannot be renewed")
{
    REQUIRE(call("POST", "/leases?ttl-ms=60000")->status == 200);
    CHECK(call("POST", "/leases/1/renew")->status == 200);
    REQUIRE(call("POST", "/leases?ttl-ms=-1")->status == 200);
    CHECK(call("POST", "/leases/2/renew")->status == 404);
}

// Guards against an outage that still serves calls or watches that wait.
TEST_CASE_METHOD(PlatformFixture, "an outage refuses connections and ends waiting watches")
{
    const auto watch =
            startCall(context, platform.endpoint(), { "GET", "/watch/configuration", {}, {} });
    REQUIRE(call("GET", "/hosts")->status == 200);
    control("faults", R"({"mode": "refuse"})");
    CHECK_FALSE(call("GET", "/hosts"));
    while (!watch->finished)
        context.run_one();
    CHECK_FALSE(watch->response);
    control("faults", R"({"mode": "up"})");
    CHECK(call("GET", "/hosts")->status == 200);
}

// Guards against a host list without lag, and against one that never changes.
TEST_CASE_METHOD(PlatformFixture, "a new host list is shown after the lag")
{
    control("lag", R"({"lagMs": 50})");
    control("hosts", R"({"hosts": [{"name": "shubra-1", "state": "live"}]})");
    CHECK(call("GET", "/hosts")->body == R"({"hosts": []})");
    while (call("GET", "/hosts")->headers.front().second == "1")
        context.run_one_for(std::chrono::milliseconds(5));
    CHECK(call("GET", "/hosts")->body.find("shubra-1") != std::string::npos);
}

} // namespace greengagestair::standins
