#include "gateway/pace/ServerPace.h"

#include <catch2/catch.hpp>

#include <chrono>

namespace greengagestair {

using namespace std::chrono_literals;

namespace {

/** A server that has just returned, with requests at a fixed interval. */
class PaceFixture
{
public:
    PaceFixture() { pace.beginReturn(ReturnReason::NewProcess, now, now); }

    /** Sends requests for `length`, each with this result after `time`. */
    void play(PaceResult result, Duration length, Duration interval = 10ms, Duration time = 8ms)
    {
        for (const MonotonicTime end = now + length; now < end; now += interval) {
            pace.addResult(result, now, now + time);
            if (pace.isRoundComplete(now + time))
                pace.endRound(othersTime, now + time);
        }
    }

    ServerPace pace;
    MonotonicTime now { 10s };
    std::optional<Duration> othersTime { 8ms };
};

} // namespace

// Guards against a sound server that stays idle, and against one that gets its share at once.
TEST_CASE("the share of a returning server doubles until it is steady", "[gateway][pace]")
{
    PaceFixture fixture;
    CHECK(fixture.pace.share() <= 0.1);
    fixture.play(PaceResult::Answer, 1s);
    CHECK(fixture.pace.share() > 0.15);
    CHECK(fixture.pace.share() < 0.4);
    fixture.play(PaceResult::Answer, 3s);
    CHECK_FALSE(fixture.pace.isReturning());
    CHECK(fixture.pace.share() == 1);
}

// Guards against growth without results: a server that hangs gives none.
TEST_CASE("the share does not grow without answers", "[gateway][pace]")
{
    PaceFixture fixture;
    fixture.now += 30s;
    CHECK_FALSE(fixture.pace.isRoundComplete(fixture.now));
    CHECK(fixture.pace.share() <= 0.1);
}

// Guards against growth while the server refuses, fails or is slow.
TEST_CASE("bad results lower the share, and it never reaches 0", "[gateway][pace]")
{
    PaceFixture fixture;
    fixture.play(PaceResult::Answer, 1s);
    const double before = fixture.pace.share();
    SECTION("refusals")
    {
        fixture.play(PaceResult::Refusal, 1s);
    }
    SECTION("failures")
    {
        fixture.play(PaceResult::Failure, 1s);
    }
    SECTION("slow answers")
    {
        fixture.play(PaceResult::Answer, 1s, 10ms, 40ms);
    }
    CHECK(fixture.pace.share() < before);
    fixture.play(PaceResult::Refusal, 20s);
    CHECK(fixture.pace.share() > 0);
}

// Guards against a second loss of share for results of requests that were sent before the first.
TEST_CASE("results of requests sent before the share changed are ignored", "[gateway][pace]")
{
    PaceFixture fixture;
    fixture.play(PaceResult::Answer, 1s);
    const MonotonicTime sentAt = fixture.now;
    fixture.play(PaceResult::Refusal, 200ms);
    const double lowered = fixture.pace.share();
    for (int i = 0; i < 50; ++i)
        fixture.pace.addResult(PaceResult::Refusal, sentAt, fixture.now);
    CHECK_FALSE(fixture.pace.isRoundComplete(fixture.now));
    CHECK(fixture.pace.share() == lowered);
}

// Guards against a server of slower hardware that is held back for ever.
TEST_CASE("a server that is as slow without load becomes steady", "[gateway][pace]")
{
    PaceFixture fixture;
    fixture.play(PaceResult::Answer, 5s, 10ms, 40ms);
    CHECK(fixture.pace.isReturning());
    fixture.play(PaceResult::Answer, 20s, 10ms, 40ms);
    CHECK_FALSE(fixture.pace.isReturning());
}

// Guards against servers that are flooded when they come back from a fault without a new process.
TEST_CASE("a steady server that fails becomes returning", "[gateway][pace]")
{
    ServerPace pace;
    const MonotonicTime now { 10s };
    SECTION("it is unreachable")
    {
        CHECK(pace.addResult(PaceResult::Unreachable, now, now) == ReturnReason::Unreachable);
    }
    SECTION("it loses connections")
    {
        CHECK_FALSE(pace.addResult(PaceResult::Lost, now, now));
        CHECK(pace.addResult(PaceResult::Lost, now, now) == ReturnReason::Unreachable);
    }
    SECTION("it refuses most requests, and some before it are accepted")
    {
        pace.addResult(PaceResult::Answer, now, now + 8ms);
        for (int i = 0; i < 3; ++i)
            CHECK_FALSE(pace.addResult(PaceResult::Refusal, now, now));
        CHECK(pace.addResult(PaceResult::Refusal, now, now) == ReturnReason::Refusing);
    }
    SECTION("most responses are failures")
    {
        for (int i = 0; i < 3; ++i)
            CHECK_FALSE(pace.addResult(PaceResult::Failure, now, now));
        CHECK(pace.addResult(PaceResult::Failure, now, now) == ReturnReason::Failing);
    }
    SECTION("single losses among answers are no reason")
    {
        for (int i = 0; i < 100; ++i) {
            const auto result = i % 5 == 0 ? PaceResult::Lost : PaceResult::Answer;
            CHECK_FALSE(pace.addResult(result, now, now + 8ms));
        }
    }
}

// Guards against hosts with few requests that each wait for evidence that only all together have.
TEST_CASE("results of all hosts raise and lower the share", "[gateway][pace]")
{
    PaceFixture fixture;
    ServerEvidence evidence;
    evidence.answers = 20;
    evidence.totalTime = 160ms;
    CHECK_FALSE(fixture.pace.applyShared(evidence, 8ms, fixture.now + 500ms));
    CHECK(fixture.pace.applyShared(evidence, 8ms, fixture.now + 1200ms) == PaceVerdict::Raise);
    const double raised = fixture.pace.share();
    CHECK(raised > 0.1);
    CHECK(raised < 1);
    evidence.refusals = 20;
    CHECK_FALSE(fixture.pace.applyShared(evidence, 8ms, fixture.now + 1700ms));
    CHECK(fixture.pace.applyShared(evidence, 8ms, fixture.now + 2700ms) == PaceVerdict::LowerBad);
    CHECK(fixture.pace.share() < raised);
}

} // namespace greengagestair
