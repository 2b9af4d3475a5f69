#include "app/Metrics.h"
#include "app/Log.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

TEST_CASE("histograms are cumulative and count every answer", "[metrics]")
{
    Metrics metrics;
    metrics.onAnswered(QueryOutcome::Complete, std::chrono::microseconds(500));
    metrics.onAnswered(QueryOutcome::Complete, std::chrono::milliseconds(4));
    metrics.onAnswered(QueryOutcome::Complete, std::chrono::hours(1));
    metrics.onAnswered(QueryOutcome::Failed, std::chrono::milliseconds(4));
    const std::string text = metrics.render({ { "hedges_total", 3 }, { "queries", 2 } });
    const std::string bucket = "greengagestair_answer_seconds_bucket{outcome=\"complete\",le=";
    REQUIRE_THAT(text, Catch::Contains(bucket + "\"0.001\"} 1\n"));
    REQUIRE_THAT(text, Catch::Contains(bucket + "\"0.003\"} 1\n"));
    REQUIRE_THAT(text, Catch::Contains(bucket + "\"0.005\"} 2\n"));
    REQUIRE_THAT(text, Catch::Contains(bucket + "\"60\"} 2\n"));
    REQUIRE_THAT(text, Catch::Contains(bucket + "\"+Inf\"} 3\n"));
    REQUIRE_THAT(text, Catch::Contains("answer_seconds_count{outcome=\"failed\"} 1\n"));
    REQUIRE_THAT(text,
                 Catch::Contains("# TYPE greengagestair_hedges_total counter\n"
                                 "greengagestair_hedges_total 3\n"));
    REQUIRE_THAT(text, Catch::Contains("# TYPE greengagestair_queries gauge\n"));
    const std::string labelled = metrics.render(
            { { "parts_total{outcome=\"a\"}", 1 }, { "parts_total{outcome=\"b\"}", 2 } });
    REQUIRE_THAT(labelled,
                 Catch::EndsWith("# TYPE greengagestair_parts_total counter\n"
                                 "greengagestair_parts_total{outcome=\"a\"} 1\n"
                                 "greengagestair_parts_total{outcome=\"b\"} 2\n"));
}

TEST_CASE("a value cannot forge a second log line or field", "[log]")
{
    REQUIRE(formatLogLine("serverCold", { { "subject", "a-0" }, { "number", "3" } })
            == "event=serverCold subject=a-0 number=3");
    REQUIRE(formatLogLine("serverCold", { { "subject", "a\nevent=x \"y\"" } })
            == R"(event=serverCold subject="a\nevent=x \"y\"")");
}
