#include "RolloutFleet.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <random>
#include <utility>

using namespace greengagestair;

namespace {

constexpr Duration kEnd = 50s; ///< of most runs, after the order

/** First seed and number of random runs; the environment may set both for a longer search. */
std::uint64_t numberFrom(const char *variable, std::uint64_t usual)
{
    const char *text = std::getenv(variable);
    return text ? std::stoull(text) : usual;
}

std::uint64_t firstSeed()
{
    return numberFrom("RANDOM_FIRST_SEED", 1);
}

std::uint64_t runs()
{
    return numberFrom("RANDOM_RUNS", 60);
}

using Statuses = std::vector<std::string>;

std::size_t allowedExposure(const RolloutOutcome &outcome)
{
    return static_cast<std::size_t>(0.1 * static_cast<double>(outcome.requests)) + 50;
}

void requireNothingLost(const RolloutOutcome &outcome)
{
    CHECK(outcome.lost == 0);
    CHECK(outcome.sentToStopped == 0);
    CHECK(outcome.runTwice == 0);
}

void requireRolledBack(const RolloutOutcome &outcome)
{
    CAPTURE(outcome.exposed, outcome.requests, outcome.badAnswers);
    CHECK(outcome.statuses == Statuses { "active v2", "rolled_back v2" });
    CHECK(outcome.exposed <= allowedExposure(outcome));
    REQUIRE(outcome.lastExposedAt);
    if (outcome.fiftiethBadAt)
        CHECK(*outcome.lastExposedAt <= *outcome.fiftiethBadAt + 5s);
    requireNothingLost(outcome);
}

} // namespace

// Guards against a roll-out that never ends, and against requests that are lost with the old
// servers or run twice.
TEST_CASE("a good version is complete by the deadline and nothing is lost", "[rollout]")
{
    RolloutPattern pattern;
    pattern.duration = GENERATE(20s, 40s, 90s);
    pattern.requestsPerSecond = GENERATE(20, 200);
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(pattern.duration.count(), pattern.requestsPerSecond, seed);
    RolloutFleet fleet(pattern, static_cast<std::uint64_t>(seed));
    const RolloutOutcome outcome = fleet.run(pattern.duration + 10s);
    CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
    REQUIRE(outcome.endedAt);
    CHECK(*outcome.endedAt <= pattern.duration);
    requireNothingLost(outcome);
}

// Guards against exposure of a bad version: one that is bad from the start, later, in the middle of
// the switch, under load only, on one route only, or in part of its answers.
TEST_CASE("a bad version is rolled back within the allowed exposure", "[rollout]")
{
    struct Case
    {
        const char *name;
        VersionFault fault;
        bool needsLoad = false;
    };
    const std::vector<Case> cases {
        { "some failures", { .failShare = 0.3 } },
        { "rare failures", { .failShare = 0.1 } },
        { "only failures", { .failShare = 1 } },
        { "slow", { .slowShare = 1 } },
        { "little slower", { .slowShare = 1, .slowFactor = 2.5 } },
        { "some slow", { .slowShare = 0.3 } },
        { "failures after 15 s", { .failShare = 0.3, .from = 15s } },
        { "failures before the switch", { .failShare = 0.3, .from = 28s } },
        { "failures in the switch", { .failShare = 0.3, .from = 30s } },
        { "slow before the switch", { .slowShare = 1, .from = 28s } },
        { "failures under load", { .failShare = 0.5, .minServerRate = 40 }, true },
        { "slow under load", { .slowShare = 1, .minServerRate = 40 }, true },
        { "failures on one route", { .failShare = 0.3, .route = "buy" } },
        { "slow on one route", { .slowShare = 1, .route = "buy" } },
    };
    for (const Case &tested : cases) {
        for (const double rate : { 60.0, 200.0, 600.0 }) {
            if (tested.needsLoad && rate < 200)
                continue;
            for (std::uint64_t seed = 1; seed <= (rate > 200 ? 1 : 3); ++seed) {
                CAPTURE(tested.name, seed, rate);
                RolloutPattern pattern;
                pattern.fault = tested.fault;
                pattern.requestsPerSecond = rate;
                RolloutFleet fleet(pattern, seed);
                requireRolledBack(fleet.run(kEnd));
            }
        }
    }
}

// Guards against servers that get requests before the order that is under way is known, and against
// hosts that use a version that they were not told of.
TEST_CASE("servers of a new version get nothing before their order", "[rollout]")
{
    RolloutPattern pattern;
    pattern.newServersAt = -1400ms;
    RolloutFleet fleet(pattern, 1);
    std::size_t before = 0;
    fleet.at(500ms, [&] { before = fleet.attempts("v2"); });
    const RolloutOutcome outcome = fleet.run(kEnd);
    CHECK(before == 0);
    CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
}

// Guards against servers of a new version that stay idle if no order comes.
TEST_CASE("servers of a new version without an order are used after a while", "[rollout]")
{
    RolloutPattern pattern;
    pattern.newServersAt = -10s;
    RolloutFleet fleet(pattern, 1);
    std::size_t early = 1;
    std::size_t late = 0;
    fleet.at(-8600ms, [&] { early = fleet.attempts("v2"); });
    fleet.at(-5s, [&] { late = fleet.attempts("v2"); });
    fleet.run(0s);
    CHECK(early == 0);
    CHECK(late > 0);
}

// Guards against a decision that is lost with the host that takes it.
TEST_CASE("a roll-out ends as it should if its coordinators are lost", "[rollout]")
{
    const bool isBad = GENERATE(false, true);
    const bool isKilled = GENERATE(true, false);
    const auto moment = GENERATE(1s, 8s, 19s, 31s, 33s);
    const auto seed = GENERATE(range(1, 4));
    CAPTURE(isBad, isKilled, moment.count(), seed);
    RolloutPattern pattern;
    if (isBad)
        pattern.fault.failShare = 0.3;
    RolloutFleet fleet(pattern, static_cast<std::uint64_t>(seed));
    fleet.at(moment, [&] {
        const std::size_t first = fleet.coordinator(0);
        if (isKilled)
            fleet.kill(first);
        else
            fleet.freeze(first, 6s);
    });
    RolloutOutcome outcome = fleet.run(kEnd);
    if (isBad)
        requireRolledBack(outcome);
    else
        CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
    // A host that was frozen for longer than the others wait does not know that old servers have
    // stopped. They refuse its connections, so its requests go on elsewhere.
    if (!isKilled)
        CHECK(std::exchange(outcome.sentToStopped, 0) < 20);
    requireNothingLost(outcome);
    REQUIRE(outcome.endedAt);
    CHECK(*outcome.endedAt <= pattern.duration);
}

// Guards against a roll-out that stops when both coordinators are lost at once.
TEST_CASE("a roll-out goes on after the loss of both coordinators", "[rollout]")
{
    RolloutPattern pattern;
    pattern.duration = 60s;
    RolloutFleet fleet(pattern, 3);
    fleet.at(10s, [&] {
        fleet.kill(fleet.coordinator(0));
        fleet.kill(fleet.coordinator(0));
    });
    const RolloutOutcome outcome = fleet.run(70s);
    CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
    requireNothingLost(outcome);
}

// Guards against exposure while nobody can end it, and against a roll-back that waits for a write.
TEST_CASE("nothing is exposed while the store is down", "[rollout]")
{
    RolloutPattern pattern;
    const bool isBad = GENERATE(false, true);
    pattern.fault.failShare = isBad ? 0.3 : 0;
    pattern.fault.from = 12s;
    RolloutFleet fleet(pattern, 5);
    std::size_t before = 0;
    std::size_t during = 1;
    fleet.at(12s, [&] { fleet.setStoreUp(false); });
    fleet.at(14600ms, [&] { before = fleet.attempts("v2"); });
    fleet.at(20s, [&] {
        during = fleet.attempts("v2") - before;
        fleet.setStoreUp(true);
    });
    const RolloutOutcome outcome = fleet.run(kEnd);
    CHECK(during == 0);
    requireNothingLost(outcome);
    if (isBad)
        requireRolledBack(outcome);
    else
        CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
}

// Guards against a roll-back that takes as long as the store is away: the notice needs no write.
TEST_CASE("a bad version is left at once although the store just went down", "[rollout]")
{
    RolloutPattern pattern;
    pattern.requestsPerSecond = 600;
    pattern.fault.failShare = 1;
    const auto moment = GENERATE(31s, 32s);
    CAPTURE(moment.count());
    pattern.fault.from = moment;
    RolloutFleet fleet(pattern, 5);
    fleet.at(moment, [&] { fleet.setStoreUp(false); });
    fleet.at(moment + 6s, [&] { fleet.setStoreUp(true); });
    const RolloutOutcome outcome = fleet.run(kEnd);
    requireRolledBack(outcome);
    REQUIRE(outcome.lastExposedAt);
    CHECK(*outcome.lastExposedAt < moment + 1500ms);
}

// Guards against decisions that are taken twice or lost with the answer to a write.
TEST_CASE("writes without an answer do not harm a roll-out", "[rollout]")
{
    RolloutPattern pattern;
    const bool isBad = GENERATE(false, true);
    const bool isLate = GENERATE(false, true);
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(isBad, isLate, seed);
    pattern.fault.failShare = isBad ? 0.3 : 0;
    (isLate ? pattern.lateEffects : pattern.lostAnswers) = 0.4;
    RolloutFleet fleet(pattern, static_cast<std::uint64_t>(seed));
    const RolloutOutcome outcome = fleet.run(kEnd);
    if (isBad)
        requireRolledBack(outcome);
    else
        CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
    requireNothingLost(outcome);
}

// Guards against a host that goes on exposing what it cannot be told to leave.
TEST_CASE("a host without news of the store sends nothing to the target version", "[rollout]")
{
    RolloutPattern pattern;
    const bool isCutFromHosts = GENERATE(false, true);
    RolloutFleet fleet(pattern, 4);
    std::size_t cutOff = 0;
    std::size_t exposed = 1;
    fleet.at(10s, [&] {
        cutOff = fleet.coordinator(2);
        fleet.cutFromStore(cutOff, true);
        fleet.cutFromHosts(cutOff, isCutFromHosts);
    });
    fleet.at(12600ms, [&] { fleet.takeAttempts(cutOff, "v2"); });
    fleet.at(25s, [&] {
        exposed = fleet.takeAttempts(cutOff, "v2");
        fleet.cutFromStore(cutOff, false);
        fleet.cutFromHosts(cutOff, false);
    });
    const RolloutOutcome outcome = fleet.run(kEnd);
    CHECK(exposed == 0);
    CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
    requireNothingLost(outcome);
}

// Guards against a switch that waits for ever for a host that has vanished, and against one that is
// completed while a host that can still report is sending to old servers.
TEST_CASE("a switch waits for hosts that report and not for silent ones", "[rollout]")
{
    RolloutPattern pattern;
    pattern.duration = 60s;
    RolloutFleet fleet(pattern, 4);
    SECTION("a host is lost")
    {
        fleet.at(46s, [&] { fleet.kill(fleet.coordinator(3)); });
        CHECK(fleet.run(70s).statuses == Statuses { "active v2", "complete v2" });
    }
    SECTION("a host is cut off from the store only")
    {
        fleet.at(43s, [&] { fleet.cutFromStore(fleet.coordinator(3), true); });
        fleet.at(51s, [&] { fleet.cutFromStore(fleet.coordinator(3), false); });
        const RolloutOutcome outcome = fleet.run(70s);
        CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
        REQUIRE(outcome.endedAt);
        CHECK(*outcome.endedAt > 51s);
        requireNothingLost(outcome);
    }
    SECTION("the first coordinator is cut off from all hosts, but not from the store")
    {
        fleet.at(46s, [&] { fleet.cutFromHosts(fleet.coordinator(0), true); });
        const RolloutOutcome outcome = fleet.run(70s);
        CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
        requireNothingLost(outcome);
    }
}

// Guards against two coordinators that undo each other's decisions.
TEST_CASE("hosts that disagree about the host list end a roll-out once", "[rollout]")
{
    RolloutPattern pattern;
    const bool isBad = GENERATE(false, true);
    const auto begin = GENERATE(0s, 7s, 29s);
    CAPTURE(isBad, begin.count());
    pattern.fault.failShare = isBad ? 0.3 : 0;
    RolloutFleet fleet(pattern, 4);
    fleet.at(begin, [&] {
        for (std::size_t host = 0; host < 3; ++host)
            fleet.keepHostList(host, true);
    });
    fleet.at(begin + 5s, [&] {
        for (std::size_t host = 0; host < 3; ++host)
            fleet.keepHostList(host, false);
    });
    const RolloutOutcome outcome = fleet.run(kEnd);
    const std::string end = isBad ? "rolled_back v2" : "complete v2";
    CHECK(outcome.statuses == Statuses { "active v2", end });
    requireNothingLost(outcome);
}

// The outcomes that docs/design/roll-outs.md defines for orders that are changed or make no sense.
TEST_CASE("each kind of order has a defined outcome", "[rollout]")
{
    RolloutPattern pattern;
    SECTION("a second order ends the first roll-out")
    {
        RolloutFleet fleet(pattern, 1);
        fleet.at(14s, [&] { fleet.startServers("v3", 4); });
        fleet.at(15s, [&] { fleet.order("v3", 40s); });
        const RolloutOutcome outcome = fleet.run(70s);
        CHECK(outcome.statuses
              == Statuses { "active v2", "rolled_back v2", "active v3", "complete v3" });
        requireNothingLost(outcome);
    }
    SECTION("a new duration starts the steps again")
    {
        RolloutFleet fleet(pattern, 1);
        fleet.at(15s, [&] { fleet.order("v2", 20s); });
        const RolloutOutcome outcome = fleet.run(kEnd);
        CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
        REQUIRE(outcome.endedAt);
        CHECK(*outcome.endedAt <= 35s);
    }
    SECTION("a removed order is rolled back")
    {
        RolloutFleet fleet(pattern, 1);
        fleet.at(15s, [&] { fleet.removeOrder(); });
        const RolloutOutcome outcome = fleet.run(kEnd);
        CHECK(outcome.statuses == Statuses { "active v2", "rolled_back v2" });
        REQUIRE(outcome.endedAt);
        CHECK(*outcome.endedAt <= 17s);
    }
    SECTION("an order that is removed after its end changes nothing")
    {
        RolloutFleet fleet(pattern, 1);
        fleet.at(42s, [&] { fleet.removeOrder(); });
        CHECK(fleet.run(kEnd).statuses == Statuses { "active v2", "complete v2" });
    }
    SECTION("a target version without servers is rolled back at the deadline")
    {
        pattern.newServers = 0;
        RolloutFleet fleet(pattern, 1);
        const RolloutOutcome outcome = fleet.run(kEnd);
        CHECK(outcome.statuses == Statuses { "active v2", "rolled_back v2" });
        CHECK(outcome.unanswered < outcome.requests / 50);
    }
    SECTION("servers of the target version that come late are rolled out")
    {
        pattern.newServersAt = 10s;
        RolloutFleet fleet(pattern, 1);
        CHECK(fleet.run(kEnd).statuses == Statuses { "active v2", "complete v2" });
    }
    SECTION("an order for the version that all servers have is complete at once")
    {
        pattern.newServers = 0;
        RolloutFleet fleet(pattern, 1);
        fleet.at(0s, [&] { fleet.order("v1", 40s); });
        const RolloutOutcome outcome = fleet.run(kEnd);
        CHECK(outcome.statuses == Statuses { "complete v1" });
        REQUIRE(outcome.endedAt);
        CHECK(*outcome.endedAt <= 2s);
    }
    SECTION("an order repeated after a roll-back begins again")
    {
        pattern.fault.failShare = 0.5;
        RolloutFleet fleet(pattern, 1);
        fleet.at(20s, [&] { fleet.startServers("v2", 4); });
        std::size_t before = 0;
        fleet.at(20s, [&] { before = fleet.attempts("v2"); });
        fleet.at(25s, [&] {
            CHECK(fleet.attempts("v2") == before);
            fleet.order("v2", 40s);
        });
        CHECK(fleet.run(75s).statuses
              == Statuses { "active v2", "rolled_back v2", "active v2", "rolled_back v2" });
    }
    SECTION("without old servers there is no waiting")
    {
        RolloutFleet fleet(pattern, 1);
        fleet.at(31s, [&] { fleet.stopServers("v1"); });
        const RolloutOutcome outcome = fleet.run(kEnd);
        CHECK(outcome.statuses == Statuses { "active v2", "complete v2" });
        REQUIRE(outcome.endedAt);
        CHECK(*outcome.endedAt <= 34s);
    }
}

// Guards against combinations of disturbances that no other test has, at random.
TEST_CASE("disturbed roll-outs keep their promises", "[rollout][random]")
{
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + runs(); ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&random](std::size_t count) { return random() % count; };
        RolloutPattern pattern;
        pattern.hosts = std::array { 3, 7, 20, 40 }[below(4)];
        pattern.requestsPerSecond = std::array { 30, 100, 200 }[below(3)];
        pattern.duration = std::array { 20s, 30s, 60s }[below(3)];
        pattern.serverTime = std::array { 5ms, 20ms, 200ms }[below(3)];
        pattern.lostAnswers = below(4) == 0 ? 0.3 : 0;
        pattern.lateEffects = below(4) == 0 ? 0.3 : 0;
        const bool isBad = below(2) == 0;
        if (isBad)
            (below(2) == 0 ? pattern.fault.failShare : pattern.fault.slowShare) = 0.5;
        pattern.fault.from = pattern.duration * static_cast<int>(below(6)) / 10;
        RolloutFleet fleet(pattern, seed);
        bool hasSilentHost = false;
        bool lacksNews = false;
        const std::size_t disturbances = below(4);
        std::string told;
        for (std::size_t i = 0; i < disturbances; ++i) {
            const Duration at = pattern.duration * static_cast<int>(below(1000)) / 1000;
            const Duration length = 500ms * static_cast<int>(1 + below(16));
            const std::size_t host = below(pattern.hosts);
            const std::size_t kind = below(5);
            hasSilentHost = hasSilentHost || (kind <= 2 && length >= 3s);
            lacksNews = lacksNews || kind != 1;
            told += " " + std::to_string(kind) + "@" + std::to_string(at.count() / 1000) + "+"
                    + std::to_string(length.count() / 1000) + "h" + std::to_string(host);
            fleet.at(at, [&fleet, kind, host, length] {
                if (kind == 0)
                    fleet.freeze(host, length);
                else if (kind == 1 || kind == 2)
                    fleet.cutFromHosts(host, true);
                if (kind == 2 || kind == 3)
                    fleet.cutFromStore(host, true);
                if (kind == 4)
                    fleet.setStoreUp(false);
            });
            fleet.at(at + length, [&fleet, kind, host] {
                if (kind == 1 || kind == 2)
                    fleet.cutFromHosts(host, false);
                if (kind == 2 || kind == 3)
                    fleet.cutFromStore(host, false);
                if (kind == 4)
                    fleet.setStoreUp(true);
            });
        }
        const RolloutOutcome outcome = fleet.run(pattern.duration + 25s);
        CAPTURE(seed, isBad, told, pattern.hosts, pattern.requestsPerSecond,
                pattern.duration.count(), pattern.serverTime.count(), outcome.exposed,
                outcome.requests, outcome.badAnswers, pattern.fault.from.count(), outcome.statuses);
        REQUIRE(outcome.statuses.size() >= 1);
        CHECK(outcome.statuses.size() <= 2);
        CHECK(outcome.statuses.back() != "active v2");
        CHECK(outcome.runTwice == 0);
        // Hosts that were silent for 4 s in the switch are not waited for.
        if (!hasSilentHost)
            CHECK(outcome.lost == 0);
        // A host without news may try old servers that have stopped, which refuse connections.
        if (!hasSilentHost && !lacksNews)
            CHECK(outcome.sentToStopped == 0);
        if (isBad) {
            CHECK(outcome.statuses.back() == "rolled_back v2");
            CHECK(outcome.exposed <= allowedExposure(outcome));
            if (outcome.fiftiethBadAt && !hasSilentHost)
                CHECK(*outcome.lastExposedAt <= *outcome.fiftiethBadAt + 5s);
        } else if (disturbances == 0 && pattern.lateEffects == 0 && pattern.lostAnswers == 0) {
            CHECK(outcome.statuses.back() == "complete v2");
        }
    }
}
