#include "GatewayFixture.h"

#include <boost/json/serialize.hpp>

using namespace greengagestair;

namespace json = boost::json;

static json::object explainOrder(GatewayFixture &fixture, const std::string &tenant = "")
{
    return fixture.gateway().explain({ "orders.example", "/order/7", tenant }, fixture.now);
}

/** What excludes a server of the first part, by its name. */
static std::string exclusionsOf(const json::object &explanation, const std::string &server)
{
    for (const json::value &entry : explanation.at("parts").at(0).at("servers").as_array()) {
        if (entry.at("server").as_string() == server)
            return json::serialize(entry.at("excludedBy"));
    }
    return "not listed";
}

// Guards against an explanation that differs from the choice that follows it.
TEST_CASE("an explanation names the server that the next request goes to", "[gateway][explain]")
{
    GatewayFixture fixture;
    fixture.start();
    for (int i = 0; i < 20; ++i) {
        const json::object explanation = explainOrder(fixture);
        CHECK(explanation.at("route").as_string() == "order");
        CHECK(explanation.at("refusals").as_array().empty());
        fixture.order();
        const auto attempts = fixture.takeAttempts();
        REQUIRE(attempts.size() == 1);
        CHECK(explanation.at("parts").at(0).at("next").as_string() == attempts[0].server.value);
        if (i % 3 != 0)
            fixture.answer(attempts[0]);
        fixture.wait(7ms);
    }
}

// Guards against requests and use of state by a question.
TEST_CASE("an explanation sends nothing and changes nothing", "[gateway][explain]")
{
    GatewayFixture fixture;
    fixture.start();
    const std::string before = json::serialize(fixture.gateway().dump(fixture.now));
    const std::string first = json::serialize(explainOrder(fixture));
    fixture.gateway().explain({ "lookup.example", "/find/elbow", "" }, fixture.now);
    CHECK(json::serialize(explainOrder(fixture)) == first);
    CHECK(json::serialize(fixture.gateway().dump(fixture.now)) == before);
    CHECK(fixture.attempts.empty());
    CHECK(fixture.gateway().isIdle());
}

TEST_CASE("an explanation names what excludes a server", "[gateway][explain]")
{
    GatewayFixture fixture;
    SECTION("draining, and out of service")
    {
        fixture.start();
        BackendRegistration draining = GatewayFixture::registration("orders", "shubra");
        draining.isDraining = true;
        fixture.send(RegistrationWritten { draining });
        fixture.send(EvacuationsRead { { { "bulaq" } } });
        const json::object explanation = explainOrder(fixture);
        CHECK(exclusionsOf(explanation, "orders-shubra") == R"(["draining"])");
        CHECK(exclusionsOf(explanation, "orders-bulaq") == R"(["outOfService"])");
        CHECK(explanation.at("refusals").at(0).at("reason").as_string() == "noBackend");
    }
    SECTION("no capacity: the request would wait")
    {
        fixture.configuration.services.at({ "orders" }).connectionLimit = 1;
        fixture.start();
        fixture.order();
        fixture.order();
        const json::object explanation = explainOrder(fixture);
        CHECK(exclusionsOf(explanation, "orders-shubra") == R"(["noCapacity"])");
        CHECK(explanation.at("parts").at(0).at("waits").as_bool());
        CHECK(explanation.at("refusals").as_array().empty());
    }
    SECTION("the pace of a returning server")
    {
        GatewayOptions options = GatewayFixture::options(120);
        options.pacesReturningServers = true;
        fixture.send(OptionsChanged { options });
        fixture.start();
        BackendRegistration started = GatewayFixture::registration("orders", "shubra");
        started.startedAt = 2;
        fixture.send(RegistrationWritten { started });
        const json::object explanation = explainOrder(fixture);
        CHECK(exclusionsOf(explanation, "orders-shubra") == R"(["pace"])");
        CHECK(explanation.at("parts").at(0).at("next").as_string() == "orders-bulaq");
    }
}

TEST_CASE("an explanation names what would refuse the request", "[gateway][explain]")
{
    GatewayFixture fixture;
    Tenant tenant;
    tenant.name = { "clinic" };
    tenant.keys = { "secret-key" };
    tenant.requestsPerSecond = 5;
    addTenant(fixture.configuration, tenant);
    CHECK(explainOrder(fixture).at("refusals").at(0).at("reason").as_string()
          == toText(RefusalReason::NoConfiguration));
    fixture.start();
    const json::object elsewhere = fixture.gateway().explain({ "h", "/", "" }, fixture.now);
    CHECK(elsewhere.at("refusals").at(0).at("reason").as_string()
          == toText(RefusalReason::NoRoute));
    CHECK(explainOrder(fixture).at("refusals").at(0).at("reason").as_string()
          == toText(RefusalReason::Unauthorized));
    const json::object allowed = explainOrder(fixture, "clinic");
    CHECK(allowed.at("refusals").as_array().empty());
    CHECK(allowed.at("tenant").at("ratePerSecond").as_double() == 5);
    // Keys are secrets; the page is read by operators and copied into reports.
    CHECK(json::serialize(allowed).find("secret-key") == std::string::npos);
    fixture.send(GatewayStopRequested { 10ms });
    CHECK(explainOrder(fixture, "clinic").at("refusals").at(0).at("reason").as_string()
          == toText(RefusalReason::Stopping));
}
