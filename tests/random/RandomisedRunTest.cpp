#include "RandomisedRun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace greengagestair;
using namespace std::chrono_literals;

/** An environment variable as a number, so that long runs need no rebuild. */
static std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

static bool report(const RunOptions &options, const RunReport &run)
{
    if (run.violations.empty())
        return true;
    std::cout << "seed " << options.seed << ":";
    for (const std::string &fault : run.faults)
        std::cout << " [" << fault << "]";
    for (const std::string &violation : run.violations)
        std::cout << "\n  " << violation;
    std::cout << std::endl;
    return false;
}

TEST_CASE("no promise is broken under faults drawn together", "[random]")
{
    const std::uint64_t first = environmentNumber("RANDOM_FIRST_SEED", 1);
    const std::uint64_t count = environmentNumber("RANDOM_RUNS", 40);
    std::uint64_t failed = 0;
    std::map<std::string, int> outcomes;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        RunOptions options;
        options.seed = seed;
        options.faults = static_cast<int>(seed % 6);
        const RunReport run = RandomisedRun(options).run();
        if (!report(options, run))
            ++failed;
        for (const auto &[outcome, number] : run.outcomes)
            outcomes[outcome] += number;
    }
    for (const auto &[outcome, number] : outcomes)
        std::cout << outcome << ": " << number << "\n";
    REQUIRE(failed == 0);
}

/** Runs with one mechanism switched off until a check names the promise. */
static bool violates(const MechanismSwitches &mechanisms, const std::vector<Fault> &faults,
                     const std::string &promise, Duration loadInterval = 25ms)
{
    static constexpr std::uint64_t kMostSeeds = 60;
    for (std::uint64_t seed = 1; seed <= kMostSeeds; ++seed) {
        RunOptions options;
        options.seed = seed;
        options.mechanisms = mechanisms;
        options.faults = 6;
        options.allowedFaults = faults;
        options.checkRecovery = false;
        options.loadInterval = loadInterval;
        const RunReport run = RandomisedRun(options).run();
        for (const std::string &violation : run.violations) {
            if (violation.rfind(promise, 0) == 0)
                return true;
        }
    }
    return false;
}

TEST_CASE("each check fails when the mechanism behind its promise is off", "[random][off]")
{
    MechanismSwitches off;
    SECTION("R1, snapshot pinning")
    {
        off.snapshotPinning = false;
        REQUIRE(violates(off, { Fault::Repartition }, "R1"));
    }
    SECTION("R2, coverage accounting")
    {
        off.coverageAccounting = false;
        REQUIRE(violates(off, { Fault::CutFailureDomain, Fault::KillServer }, "R2"));
    }
    SECTION("R3, ramp of cold servers")
    {
        off.coldRamp = false;
        REQUIRE(violates(off, { Fault::KillServer }, "R3"));
    }
    SECTION("R3, grants of the owner")
    {
        off.ownershipGrants = false;
        REQUIRE(violates(off, { Fault::CutHosts, Fault::FreezeHost }, "R3", 4ms));
    }
    SECTION("R4, state of failure domains")
    {
        off.failureDomainState = false;
        REQUIRE(violates(off, { Fault::TakeFailureDomainOut }, "R4"));
    }
    SECTION("R5, matching of answers")
    {
        off.answerMatching = false;
        REQUIRE(violates(off, { Fault::CrossedAnswers }, "R5"));
    }
    SECTION("R6, proof of refusals")
    {
        off.refusalProof = false;
        REQUIRE(violates(off, { Fault::KillServer, Fault::CutFromServer, Fault::KillHost }, "R6"));
    }
    SECTION("R7, claims in the ledger")
    {
        off.ledgerClaims = false;
        REQUIRE(violates(off, {}, "R7"));
    }
    SECTION("R8, leaving servers")
    {
        off.drainState = false;
        REQUIRE(violates(off, { Fault::LeavingServer }, "R4/R8"));
    }
    SECTION("R9, draining before a stop")
    {
        off.stopDraining = false;
        REQUIRE(violates(off, { Fault::StopHost }, "R9"));
    }
    SECTION("R10, order of versions")
    {
        off.versionOrder = false;
        REQUIRE(violates(off, { Fault::StaleReads }, "R10"));
    }
    SECTION("crashing requests, quarantine")
    {
        off.quarantine = false;
        REQUIRE(violates(off, { Fault::CrashingRequest }, "crash"));
    }
}
