#include "gateway/GatewayFixture.h"

#include "core/quarantine/Signature.h"

#include <catch2/catch.hpp>

namespace greengagestair {

static const char *const kFatalHost = "fatal.example";
static const char *const kFatalTarget = "/fatal/7";

/** A fixture with a repeatable route to one service of six servers. */
static std::unique_ptr<GatewayFixture> fixtureWithFatalRoute()
{
    auto fixture = std::make_unique<GatewayFixture>();
    GatewayRoute route = GatewayFixture::orderRoute();
    route.name = "fatal";
    route.host = kFatalHost;
    route.prefix = "/fatal/";
    route.repeatable = true;
    route.targets = { { { "ledger" }, 1 } };
    fixture->configuration.routes.push_back(route);
    fixture->addService("ledger");
    fixture->start();
    for (int i = 0; i < 6; ++i) {
        BackendRegistration server = GatewayFixture::registration("ledger", "shubra");
        server.server = { "ledger-" + std::to_string(i) };
        server.endpoint.address = "ledger" + std::to_string(i);
        fixture->send(RegistrationWritten { server });
    }
    return fixture;
}

/** Sends the request `count` times; each caller leaves, and the servers are lost afterwards. */
static void loseServersAfterCallersLeft(GatewayFixture &fixture, int count)
{
    for (int i = 0; i < count; ++i) {
        const ExchangeId exchange = fixture.request(kFatalHost, kFatalTarget);
        const auto attempts = fixture.takeAttempts();
        REQUIRE(attempts.size() == 1);
        fixture.send(CallerDisconnected { exchange });
        fixture.wait(100ms);
        fixture.fail(attempts.front(), AttemptFailure::Lost);
        fixture.wait(2s);
    }
}

// Guards against a request that crashes servers for ever because its caller leaves before the
// crash.
TEST_CASE("servers lost after the caller has left count towards the quarantine", "[gateway]")
{
    const auto fixture = fixtureWithFatalRoute();
    loseServersAfterCallersLeft(*fixture, 3);
    CHECK(fixture->lossReports.size() == 3);
    fixture->request(kFatalHost, kFatalTarget);
    CHECK(fixture->takeAttempts().empty());
    CHECK(fixture->refusal() == RefusalReason::Quarantined);
}

// Guards against the same loss of knowledge at a request that was answered at its timeout.
TEST_CASE("servers lost after the request timed out count towards the quarantine", "[gateway]")
{
    const auto fixture = fixtureWithFatalRoute();
    for (int i = 0; i < 2; ++i) {
        fixture->request(kFatalHost, kFatalTarget);
        fixture->wait(2600ms);
        const auto attempts = fixture->takeAttempts();
        REQUIRE(attempts.size() == 2);
        for (const StartAttempt &attempt : attempts)
            fixture->fail(attempt, AttemptFailure::Lost);
    }
    CHECK(fixture->lossReports.size() == 4);
    fixture->replies.clear();
    fixture->request(kFatalHost, kFatalTarget);
    CHECK(fixture->refusal() == RefusalReason::Quarantined);
}

// Guards against second attempts and waiting requests that crash further servers although other
// hosts have told of the crashes by then.
TEST_CASE("a request in progress is not sent again once its signature is blocked", "[gateway]")
{
    const auto fixture = fixtureWithFatalRoute();
    fixture->request(kFatalHost, kFatalTarget);
    REQUIRE(fixture->takeAttempts().size() == 1);
    const Signature signature =
            computeSignature({ kFatalHost }, { std::string("GET") + kFatalTarget }, "");
    for (const char *server : { "ledger-7", "ledger-8", "ledger-9" }) {
        for (const char *host : { "h1", "h2" })
            fixture->send(ServerLossReported { { host }, { signature, { server } } });
    }
    fixture->wait(2s);
    CHECK(fixture->takeAttempts().empty());
}

// Guards against a block of requests that servers answer: the loss of a slower second attempt, or
// of an attempt to another server, doesn't show that the request crashes servers.
TEST_CASE("an attempt that is lost after its request was answered does not count", "[gateway]")
{
    const auto fixture = fixtureWithFatalRoute();
    for (int i = 0; i < 4; ++i) {
        fixture->request(kFatalHost, kFatalTarget);
        fixture->wait(100ms);
        const auto attempts = fixture->takeAttempts();
        REQUIRE(attempts.size() == 2);
        fixture->answer(attempts.back());
        fixture->fail(attempts.front(), AttemptFailure::Lost);
        fixture->wait(1s);
    }
    CHECK(fixture->lossReports.empty());
}

// Guards against a block that a server's late answer has refuted.
TEST_CASE("an answer after the caller has left ends the suspicion", "[gateway]")
{
    const auto fixture = fixtureWithFatalRoute();
    loseServersAfterCallersLeft(*fixture, 2);
    const ExchangeId exchange = fixture->request(kFatalHost, kFatalTarget);
    const auto attempts = fixture->takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture->send(CallerDisconnected { exchange });
    fixture->answer(attempts.front());
    loseServersAfterCallersLeft(*fixture, 2);
    fixture->request(kFatalHost, kFatalTarget);
    CHECK(fixture->takeAttempts().size() == 1);
}

} // namespace greengagestair
