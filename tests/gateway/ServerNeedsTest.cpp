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

/** Ends an attempt with a refusal that asks for a pause. */
static void refuseWithPause(GatewayFixture &fixture, const StartAttempt &attempt, Duration pause)
{
    BackendAnswer answer;
    answer.status = 503;
    answer.notExecuted = true;
    answer.statement.pause = pause;
    fixture.send(AttemptEnded { attempt.attempt, answer });
}

// Guards against requests to a server that has asked for a pause when it refused one.
TEST_CASE("a server that asks for a pause gets nothing until its end", "[gateway][needs]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    const std::string server = attempts.front().server.value;
    refuseWithPause(fixture, attempts.front(), 2s);
    CHECK(countTo(fixture.takeAttempts(), server) == 0);
    // A shorter pause, as an earlier request gets it, does not end the longer one.
    const MonotonicTime end = fixture.now + 2s;
    while (fixture.now < end - 20ms) {
        fixture.lookup();
        const auto later = fixture.takeAttempts();
        CHECK(countTo(later, server) == 0);
        for (const StartAttempt &attempt : later)
            fixture.answer(attempt);
        fixture.wait(20ms);
    }
    // The pauses of several hosts end at different times.
    fixture.wait(1s);
    CHECK(lookupsTo(fixture, server) > 0);
}

// Guards against a caller that waits for its deadline although all servers have asked for a longer
// pause, and against one that is refused although a pause ends in time.
TEST_CASE("a request waits for the end of a pause only if it can be served then",
          "[gateway][needs]")
{
    GatewayFixture fixture;
    fixture.start();
    const Duration pause = GENERATE(Duration(30ms), Duration(5s));
    const auto pauseBoth = [&] {
        fixture.lookup();
        for (int round = 0; round < 2; ++round) {
            for (const StartAttempt &attempt : fixture.takeAttempts()) {
                if (attempt.server.value.starts_with("shard-0-"))
                    refuseWithPause(fixture, attempt, pause);
                else
                    fixture.answer(attempt);
            }
        }
        fixture.wait(1ms);
        fixture.takeAttempts();
        fixture.replies.clear();
    };
    pauseBoth();
    // The part of shard-0 is left out at once or waits; with the others the minimum is reached.
    fixture.lookup();
    for (const StartAttempt &attempt : fixture.takeAttempts()) {
        CHECK_FALSE(attempt.server.value.starts_with("shard-0-"));
        fixture.answer(attempt);
    }
    CHECK(fixture.replies.size() == (pause > 1s ? 1U : 0U));
    fixture.wait(70ms);
    const auto attempts = fixture.takeAttempts();
    CHECK(attempts.empty() == (pause > 1s));
}
