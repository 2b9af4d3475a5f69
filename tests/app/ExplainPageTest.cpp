#include "app/ExplainPage.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace greengagestair;

// Guards against paths that change on the way, since they hold the characters of a query.
TEST_CASE("the target of the explain page keeps host, path and tenant", "[app][explain]")
{
    const ExplainQuery query { "h:80", "/a b?x=1&tenant=y%20+\xc3\xa9", "t&1" };
    const auto parsed = parseExplainTarget(explainTarget(query));
    REQUIRE(parsed);
    CHECK(parsed->host == query.host);
    CHECK(parsed->path == query.path);
    CHECK(parsed->tenant == query.tenant);
    CHECK_FALSE(parseExplainTarget("/explain?host=h"));
    CHECK_FALSE(parseExplainTarget("/explain?host=h&path="));
    CHECK_FALSE(parseExplainTarget("/explain?&&=&host"));
    CHECK_FALSE(parseExplainTarget("/state"));
}

TEST_CASE("an explanation as text names each server and the reasons", "[app][explain]")
{
    const auto explanation = boost::json::parse(R"({"route": "order", "tenant": {"name": "clinic",
        "ratePerSecond": 5.0, "burst": 2.0, "room": null}, "parts": [{"service": "orders",
        "next": "o-1", "waits": false, "servers": [
        {"server": "o-1", "failureDomain": "z", "costMicros": 12300, "excludedBy": []},
        {"server": "o-2", "failureDomain": "z", "costMicros": 1000,
         "excludedBy": ["draining", "pace"]}]}],
        "refusals": [{"reason": "unauthorized", "cause": "unknown tenant"}]})");
    const std::string text = explanationText(explanation.as_object());
    CHECK(text.find("route: order\n") != std::string::npos);
    CHECK(text.find("tenant: clinic") != std::string::npos);
    CHECK(text.find("goes to o-1") != std::string::npos);
    CHECK(text.find("12.3 ms\n") != std::string::npos);
    CHECK(text.find("excluded: draining, pace\n") != std::string::npos);
    CHECK(text.find("refused: unauthorized (unknown tenant)\n") != std::string::npos);
}
