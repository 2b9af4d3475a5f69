#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

namespace greengagestair {

/** With one host, (5 requests per second * 1.5 + 5) may be sent to a cold server. */
static constexpr std::size_t kColdRequests = 12;

namespace {

/** A gateway with lookups to one service of two servers, which may get 12 requests while cold. */
class RestartFixture : public GatewayFixture
{
public:
    explicit RestartFixture(int hostCount = 1)
    {
        GatewayRoute route = orderRoute();
        route.name = "desk";
        route.host = "desk.example";
        route.prefix = "/desk/";
        route.repeatable = true;
        route.maxAttempts = 1;
        route.targets = { { { "desk" }, 1 } };
        configuration.routes.push_back(route);
        addService("desk");
        BackendService &desk = configuration.services.at({ "desk" });
        desk.connectionLimit = 1000;
        desk.coldRequestsPerSecond = 5;
        desk.coldTime = 3s;
        start();
        send(hosts(hostCount, 0));
        send(RegistrationRemoved { { "desk-bulaq" } });
        wait(5s);
        send(StoreCaughtUp {});
        takeAttempts();
    }

    /** Number of requests that reach the server in a second of 100 callers, all answered. */
    std::size_t requestsInOneSecond()
    {
        std::size_t sent = 0;
        for (int i = 0; i < 100; ++i) {
            request("desk.example", "/desk/" + std::to_string(i));
            for (const StartAttempt &attempt : takeAttempts()) {
                ++sent;
                answer(attempt);
            }
            wait(10ms);
        }
        return sent;
    }
    void loseAttempt(AttemptFailure failure)
    {
        request("desk.example", "/desk/7");
        const auto attempts = takeAttempts();
        REQUIRE(attempts.size() == 1);
        fail(attempts.front(), failure);
        takeAttempts();
    }
    /** The server writes its registration after a start. */
    void restart(Duration coldFor)
    {
        BackendRegistration server = registration("desk", "shubra");
        server.startedAt = 2;
        server.coldFor = coldFor;
        send(RegistrationWritten { server });
    }
};

} // namespace

// Guards against the whole load on a cold server that is back under its identifier and address,
// until its registration has been read.
TEST_CASE("a server gets no more than a cold one once a connection to it was lost", "[gateway]")
{
    RestartFixture fixture;
    CHECK(fixture.requestsInOneSecond() == 100);
    SECTION("during a request")
    {
        fixture.loseAttempt(AttemptFailure::Lost);
    }
    SECTION("before a request")
    {
        fixture.loseAttempt(AttemptFailure::NotSent);
    }
    SECTION("while it was idle")
    {
        fixture.send(LastConnectionLost { { "desk-shubra" } });
    }
    SECTION("as it was opened ahead")
    {
        fixture.send(ConnectionAttemptEnded { { "desk-shubra" }, false });
    }
    fixture.wait(1s);
    CHECK(fixture.requestsInOneSecond() <= kColdRequests);
}

// Guards against a second share of the limit for the same second once the registration is read.
TEST_CASE("requests sent before a restart was known count towards the limit", "[gateway]")
{
    RestartFixture fixture;
    fixture.loseAttempt(AttemptFailure::NotSent);
    fixture.wait(1s);
    std::size_t sent = 0;
    for (int i = 0; i < 40; ++i) {
        fixture.request("desk.example", "/desk/" + std::to_string(i));
        for (const StartAttempt &attempt : fixture.takeAttempts()) {
            ++sent;
            fixture.answer(attempt);
        }
        if (i == 20)
            fixture.restart(3s);
        fixture.wait(10ms);
    }
    CHECK(sent > 0);
    CHECK(sent <= kColdRequests);
}

// Guards against a shortage that outlasts its reason: the server has only lost a connection.
TEST_CASE("a suspicion of a restart ends once the store refutes it", "[gateway]")
{
    RestartFixture fixture;
    fixture.loseAttempt(AttemptFailure::Lost);
    SECTION("the server has answered, and would have registered since")
    {
        CHECK(fixture.requestsInOneSecond() <= kColdRequests);
        fixture.wait(300ms);
        fixture.send(StoreCaughtUp {});
    }
    SECTION("its registration has not expired")
    {
        fixture.wait(4s);
        fixture.send(StoreCaughtUp {});
    }
    SECTION("it would be warm by now, and the store cannot be read")
    {
        fixture.requestsInOneSecond();
        fixture.wait(2s);
    }
    SECTION("it has registered as warm")
    {
        fixture.restart(0s);
        fixture.wait(1s);
    }
    // Some of the requests had waited for the limit.
    CHECK(fixture.requestsInOneSecond() >= 100);
}

// Guards against a suspicion that ends before a server that is down can be back.
TEST_CASE("a suspicion of a restart lasts while the server has not been reached", "[gateway]")
{
    RestartFixture fixture;
    fixture.loseAttempt(AttemptFailure::Lost);
    fixture.wait(3s);
    fixture.send(StoreCaughtUp {});
    CHECK(fixture.requestsInOneSecond() <= kColdRequests);
}

// Guards against limits on servers that declare none.
TEST_CASE("a server without a limit for its cold time is not suspected", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    fixture.fail(fixture.takeAttempts().front(), AttemptFailure::Lost);
    for (const auto &[server, backend] : fixture.gateway().directory().servers())
        CHECK_FALSE(backend->mayHaveRestarted);
}

} // namespace greengagestair
