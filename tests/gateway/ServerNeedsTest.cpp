#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace greengagestair;
using namespace std::chrono_literals;

/** Ends an attempt with a success in which the server says that it is leaving. */
static void answerLeaving(GatewayFixture &fixture, const StartAttempt &attempt)
{
    BackendAnswer answer;
    answer.status = 200;
    answer.signature = "signature of " + attempt.server.value;
    answer.statement.isLeaving = true;
    fixture.send(AttemptEnded { attempt.attempt, answer });
}

static std::size_t countTo(const std::vector<StartAttempt> &attempts, const std::string &server)
{
    return static_cast<std::size_t>(
            std::count_if(attempts.begin(), attempts.end(), [&server](const StartAttempt &attempt) {
                return attempt.server.value == server;
            }));
}

/** Sends lookups and returns the number of their parts that went to the server. */
static std::size_t lookupsTo(GatewayFixture &fixture, const std::string &server)
{
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i) {
        fixture.lookup();
        const auto attempts = fixture.takeAttempts();
        sent += countTo(attempts, server);
        for (const StartAttempt &attempt : attempts)
            fixture.answer(attempt);
        fixture.wait(20ms);
    }
    return sent;
}

// Guards against requests to a server that says in its answers that it is leaving, while the store
// still lists it as ready.
TEST_CASE("a server that says it is leaving gets no new requests", "[gateway][needs]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    const auto leaving =
            std::find_if(attempts.begin(), attempts.end(), [](const StartAttempt &attempt) {
                return attempt.server.value.starts_with("shard-0-");
            });
    REQUIRE(leaving != attempts.end());
    const std::string server = leaving->server.value;
    answerLeaving(fixture, *leaving);
    CHECK(lookupsTo(fixture, server) == 0);
    // A registration that was written before the server decided to leave changes nothing.
    BackendRegistration registration =
            GatewayFixture::registration("shard-0", server.substr(std::string("shard-0-").size()));
    fixture.send(RegistrationWritten { registration });
    CHECK(lookupsTo(fixture, server) == 0);
    // Another process under the same identifier starts with nothing.
    registration.startedAt = 2;
    fixture.send(RegistrationWritten { registration });
    CHECK(lookupsTo(fixture, server) > 0);
}

// Guards against a retry or a waiting part that still goes to a server that is leaving.
TEST_CASE("a part is not sent again to a server that says it is leaving", "[gateway][needs]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    const StartAttempt first = fixture.takeAttempts().at(0);
    BackendAnswer refusal;
    refusal.status = 503;
    refusal.notExecuted = true;
    refusal.statement.isLeaving = true;
    fixture.send(AttemptEnded { first.attempt, refusal });
    const StartAttempt second = fixture.takeAttempts().at(0);
    CHECK(second.server != first.server);
    // The other server leaves, too: nothing can be served any more, so the caller is told at once.
    fixture.send(AttemptEnded { second.attempt, refusal });
    CHECK(fixture.takeAttempts().empty());
    CHECK(fixture.refusal() == RefusalReason::Shed);
}
