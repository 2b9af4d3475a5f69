#include "gateway/BackendDirectory.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace greengagestair;
using namespace std::chrono_literals;

static BackendRegistration registration(const std::string &name, std::uint16_t port)
{
    BackendRegistration registration;
    registration.server = { name };
    registration.service = { "s" };
    registration.endpoint = { "10.0.0.1", port };
    registration.startedAt = 1;
    return registration;
}

// Guards against an order of removals that differs from the times that the servers hold.
TEST_CASE("servers are removed in the order of their times unless they register again", "[gateway]")
{
    BackendDirectory directory;
    const MonotonicTime start(1s);
    for (std::uint16_t port = 1; port <= 4; ++port)
        directory.put(registration("server-" + std::to_string(port), port), start);
    CHECK_FALSE(directory.nextRemoval());
    directory.removeLater({ "server-1" }, start + 3s);
    directory.removeLater({ "server-2" }, start + 1s);
    directory.removeLater({ "server-2" }, start + 9s);
    directory.removeLater({ "server-3" }, start + 2s);
    directory.removeLater({ "server-4" }, start + 2s);
    CHECK(directory.nextRemoval() == start + 1s);

    directory.put(registration("server-2", 2), start);
    CHECK(directory.nextRemoval() == start + 2s);
    auto restarted = registration("server-3", 3);
    restarted.startedAt = 2;
    directory.put(restarted, start);
    directory.remove({ "server-4" });
    CHECK(directory.nextRemoval() == start + 3s);

    CHECK(directory.removeDue(start + 2999ms).empty());
    const auto removed = directory.removeDue(start + 3s);
    REQUIRE(removed.size() == 1);
    CHECK(removed.front().server == ServerId { "server-1" });
    CHECK_FALSE(directory.nextRemoval());
    CHECK(directory.size() == 2);
}

// Guards against a server that keeps its place at an address which it has left.
TEST_CASE("a server displaces those at its address and no others", "[gateway]")
{
    BackendDirectory directory;
    const MonotonicTime start(1s);
    directory.put(registration("moved", 1), start);
    directory.put(registration("moved", 2), start);
    directory.put(registration("former", 1), start);
    directory.put(registration("other", 3), start);
    const auto arriving = registration("arriving", 1);
    directory.put(arriving, start);
    const auto displaced = directory.displaceOthers(arriving);
    REQUIRE(displaced.size() == 1);
    CHECK(displaced.front().server == ServerId { "former" });
    CHECK(directory.displaceOthers(arriving).empty());
    CHECK(directory.size() == 3);
}
