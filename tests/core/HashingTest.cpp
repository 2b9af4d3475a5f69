#include "core/Hashing.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

// Hosts with different builds must compute the same ranking, or they would send parts of the same
// backend server to different owners.
TEST_CASE("hashes have the published values of XXH3", "[hashing]")
{
    REQUIRE(hashBytes("") == 0x2d06800538d394c2ULL);
}

TEST_CASE("the score depends on where the key ends and the candidate begins", "[hashing]")
{
    REQUIRE(rendezvousScore("ab", "c") != rendezvousScore("a", "bc"));
    REQUIRE(rendezvousScore("a", "b") != rendezvousScore("b", "a"));
}
