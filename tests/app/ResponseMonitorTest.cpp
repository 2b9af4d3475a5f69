#include "app/ResponseMonitor.h"

#include <catch2/catch.hpp>

#include <string>

using namespace greengagestair;

// Guards against a server whose broken responses fill the log, and against counters that do not
// tell sources and reasons apart.
TEST_CASE("malformed responses are all counted and some are logged", "[app][broken]")
{
    std::vector<std::string> senders;
    ResponseMonitor monitor(
            [&](const MalformedResponse &response) { senders.push_back(response.sender); });
    CHECK(monitor.counters().empty());
    constexpr std::size_t kResponses = 500;
    for (std::size_t i = 0; i < kResponses; ++i)
        monitor.onMalformedResponse(
                { ResponseSource::BackendServer, "i-1", "r", ResponseDefect::Status });
    monitor.onMalformedResponse({ ResponseSource::Host, "h", "", ResponseDefect::Memory });
    const std::vector<Counter> counters = monitor.counters();
    REQUIRE(counters.size() == 2);
    CHECK(counters[0].name
          == "malformed_responses_total{source=\"backendServer\",reason=\"status\"}");
    CHECK(counters[0].value == kResponses);
    CHECK(counters[1].name == "malformed_responses_total{source=\"host\",reason=\"memory\"}");
    CHECK(counters[1].value == 1);
    REQUIRE_FALSE(senders.empty());
    CHECK(senders.front() == "i-1");
    CHECK(senders.size() < kResponses);
}
