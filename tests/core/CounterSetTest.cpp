#include "core/CounterSet.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

TEST_CASE("increments of a counter add up and a counter that was never written reads as zero",
          "[counters]")
{
    CounterSet counters;
    counters.add("hedges_total", 2);
    counters.add("hedges_total");
    REQUIRE(counters.value("hedges_total") == 3);
    REQUIRE(counters.value("retries_total") == 0);
}
