#include "StoreExplorer.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace greengagestair;

/** The sanitizer build is much slower, so it explores two steps less. */
#ifdef __SANITIZE_ADDRESS__
static constexpr std::size_t kLessSteps = 2;
static constexpr std::size_t kLeastStates = 500;
#else
static constexpr std::size_t kLessSteps = 0;
static constexpr std::size_t kLeastStates = 10'000;
#endif

static std::size_t depthOr(std::size_t usual)
{
    const char *text = std::getenv("EXPLORE_DEPTH");
    return text ? std::strtoul(text, nullptr, 10) : usual - kLessSteps;
}

// Guards against hosts that miss an entry, go back to an earlier era or call the store without a
// pause, in any order of a few steps.
TEST_CASE("two hosts follow the store through every order of steps", "[gateway][explore]")
{
    const auto result = StoreExplorer(2, depthOr(7)).run();
    INFO(result.violation);
    CHECK(result.violation.empty());
    CHECK(result.states > kLeastStates);
    std::cout << "explored " << result.states << " states of two hosts\n";
}

TEST_CASE("three hosts follow the store through every order of steps", "[gateway][explore]")
{
    const auto result = StoreExplorer(3, depthOr(6)).run();
    INFO(result.violation);
    CHECK(result.violation.empty());
    CHECK(result.states > kLeastStates);
    std::cout << "explored " << result.states << " states of three hosts\n";
}
