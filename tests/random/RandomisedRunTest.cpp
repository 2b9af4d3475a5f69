#include "RandomisedRun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace greengagestair;

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
