#include "core/query/PartTimeEstimator.h"
#include "core/query/ReplicaSelector.h"
#include "core/query/SnapshotSelector.h"

#include <catch2/catch.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

// Guards against hedging parts of usual duration, and against hedging stragglers too late to help.
TEST_CASE("the hedge delay lies between ordinary part times and stragglers", "[replicas]")
{
    PartTimeEstimator partTimes;
    REQUIRE(partTimes.hedgeDelay(6ms) == 18ms); // three times `warmPartTime` without samples
    for (int part = 0; part < 50; ++part)
        partTimes.add(part % 50 == 49 ? 120ms : 6ms + part * 20us); // one straggler of 120 ms
    REQUIRE(partTimes.hedgeDelay(6ms) >= 6900us);
    REQUIRE(partTimes.hedgeDelay(6ms) <= 9ms);
    REQUIRE(partTimes.hedgeDelay(30ms) == 30ms);
    // When parts become slower, the hedge delay and the typical part time follow within 1500 parts.
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
    SECTION("the expected wait grows with this host's own parts in flight")
    {
        replicas.attemptStarted({ "own" });
        REQUIRE(select() == &own);
        replicas.attemptStarted({ "own" });
        REQUIRE(select() == &other);
        replicas.attemptEndedWithoutLoadReport({ "own" });
        REQUIRE(select() == &own);
    }
    SECTION("the expected wait is reported with the last answer and decreases with time")
    {
        replicas.attemptStarted({ "own" });
        replicas.attemptAnswered({ "own" }, 20ms, now);
        REQUIRE(select() == &other);
        now += 20ms;
        REQUIRE(select() == &own);
    }
    SECTION("a replica that failed recently is avoided, twice as long after a second failure")
    {
        replicas.avoid({ "own" }, now, random);
        REQUIRE(select() == &other);
        now += 500ms;
        REQUIRE(select() == &own);
        replicas.avoid({ "own" }, now, random);
        now += 490ms;
        REQUIRE(select() == &other);
    }
    SECTION("the expected wait rises when the replica does not answer within the hedge delay")
    {
        replicas.markSlow({ "own" }, 10ms, now);
        REQUIRE(select() == &other);
    }
    SECTION("an avoided replica is chosen if there is no other")
    {
        replicas.avoid({ "own" }, now, random);
        REQUIRE(replicas.select({ &own }, service, 6ms, now, random) == &own);
    }
}
