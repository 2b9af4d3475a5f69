#include "app/SeedReader.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

TEST_CASE("a snapshot is read as it was written", "[app]")
{
    const StoreChanges snapshot { {}, { { 40 }, { 2 } }, { "a", "{\"key\":\"b\"}" } };
    CHECK(parseSnapshot(formatSnapshot(snapshot)) == snapshot);
}

// Guards against hosts that cannot start from the entries of a host of an earlier version.
TEST_CASE("a snapshot without an era is of era 0", "[app]")
{
    const auto snapshot = parseSnapshot(R"({"revision":40,"entries":[]})");
    REQUIRE(snapshot);
    CHECK(snapshot->position == StorePosition { { 40 }, { 0 } });
}

// Guards against a process that ends, or takes an absurd position, because of another host's
// answer.
TEST_CASE("a snapshot with an odd position is rejected", "[app]")
{
    const std::string number = GENERATE(as<std::string> {}, "-1", "1.5", "1e300", "\"4\"", "null",
                                        "184467440737095516160", "[[]]");
    CHECK_FALSE(parseSnapshot(R"({"revision":)" + number + R"(,"era":1,"entries":[]})"));
    CHECK_FALSE(parseSnapshot(R"({"revision":40,"era":)" + number + R"(,"entries":[]})"));
}
