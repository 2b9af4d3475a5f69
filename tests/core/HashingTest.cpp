#include "core/Hashing.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

// Hosts of two builds must rank candidates alike, or they would send to different owners.
TEST_CASE("hashes have the published values of XXH3", "[hashing]")
{
    REQUIRE(hashBytes("") == 0x2d06800538d394c2ULL);
}

TEST_CASE("the boundary between key and candidate matters", "[hashing]")
{
    REQUIRE(rendezvousScore("ab", "c") != rendezvousScore("a", "bc"));
    REQUIRE(rendezvousScore("a", "b") != rendezvousScore("b", "a"));
}
