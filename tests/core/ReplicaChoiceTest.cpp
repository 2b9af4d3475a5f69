#include "core/query/PartTimeEstimator.h"
#include "core/query/ReplicaSelector.h"
#include "core/query/SnapshotSelector.h"

#include <catch2/catch.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

// Guards against hedges of ordinary parts, and against hedges that come too late for stragglers.
TEST_CASE("the hedge delay lies above ordinary parts and below stragglers", "[replicas]")
{
    PartTimeEstimator partTimes;
    REQUIRE(partTimes.hedgeDelay(6ms) == 18ms);
    for (int part = 0; part < 50; ++part)
        partTimes.add(part % 50 == 49 ? 120ms : 6ms + part * 20us);
    REQUIRE(partTimes.hedgeDelay(6ms) >= 6900us);
    REQUIRE(partTimes.hedgeDelay(6ms) <= 9ms);
    REQUIRE(partTimes.hedgeDelay(30ms) == 30ms);
    // Slower parts under load move the delay within some hundred parts.
    for (int part = 0; part < 1500; ++part)
        partTimes.add(20ms);
    REQUIRE(partTimes.hedgeDelay(6ms) >= 20ms);
    REQUIRE(partTimes.typicalPartTime(6ms) >= 18ms);
}

TEST_CASE("a part goes to the replica with the lowest expected wait", "[replicas]")
{
    Service service;
    service.slots = 2;
    const BackendServer own { { "own" }, {}, { "shubra" }, true };
    const BackendServer other { { "other" }, {}, { "bulaq" }, true };
    const std::vector<const BackendServer *> both { &other, &own };
    ReplicaSelector replicas({ "shubra" });
    std::mt19937_64 random(1);
    MonotonicTime now { 1s };
    const auto select = [&] { return replicas.select(both, service, 6ms, now, random); };

    REQUIRE(select() == &own);
    SECTION("counting its own parts in flight")
    {
        replicas.attemptStarted({ "own" });
        REQUIRE(select() == &own);
        replicas.attemptStarted({ "own" });
        REQUIRE(select() == &other);
        replicas.attemptDropped({ "own" });
        REQUIRE(select() == &own);
    }
    SECTION("as reported with the last answer, until that time has passed")
    {
        replicas.attemptStarted({ "own" });
        replicas.attemptAnswered({ "own" }, 20ms, now);
        REQUIRE(select() == &other);
        now += 20ms;
        REQUIRE(select() == &own);
    }
    SECTION("unless it failed lately, and longer if it failed again")
    {
        replicas.avoid({ "own" }, now, random);
        REQUIRE(select() == &other);
        now += 500ms;
        REQUIRE(select() == &own);
        replicas.avoid({ "own" }, now, random);
        now += 490ms;
        REQUIRE(select() == &other);
    }
    SECTION("and not to one that keeps silent")
    {
        replicas.markSlow({ "own" }, 10ms, now);
        REQUIRE(select() == &other);
    }
    SECTION("but to an avoided one if there is no other")
    {
        replicas.avoid({ "own" }, now, random);
        REQUIRE(replicas.select({ &own }, service, 6ms, now, random) == &own);
    }
}
