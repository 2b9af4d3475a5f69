#include "GatewayFixture.h"

#include <boost/json/serialize.hpp>

using namespace greengagestair;

namespace {

/** A gateway whose configuration has two tenants and a public route. */
class TenantFixture : public GatewayFixture
{
public:
    TenantFixture()
    {
        addTenant(configuration, { { "builders" }, { "key-1", "key-12" }, 0, 0, 0 });
        addTenant(configuration, { { "clerks" }, { "key-2" }, 3, 0, 0 });
        GatewayRoute open = orderRoute();
        open.name = "open";
        open.prefix = "/open/";
        open.isPublic = true;
        configuration.routes.push_back(open);
        start();
    }

    /** Sends an order, or a request on the public route, with these header fields. */
    void sendWith(Headers headers, const std::string &target = "/order/7")
    {
        auto request = std::make_shared<GatewayRequest>();
        request->method = "POST";
        request->target = target;
        request->host = "orders.example";
        request->requestId = "r" + std::to_string(++m_requests);
        request->headers = std::move(headers);
        send(RequestReceived { { 1000 + m_requests }, request });
    }

    /** The next version of the configuration, whose list of tenants is empty. */
    RoutingConfiguration withoutTenants() const
    {
        RoutingConfiguration next = configuration;
        next.version = 2;
        next.tenants.clear();
        next.tenantByKey.clear();
        return next;
    }

    /** The tenant that the only attempt so far is sent for; empty if it has none. */
    std::string tenantOfAttempt()
    {
        const auto sent = takeAttempts();
        REQUIRE(sent.size() == 1);
        REQUIRE(sent.front().caller);
        return sent.front().caller->tenant.value_or(TenantId {}).value;
    }

private:
    std::uint64_t m_requests = 0;
};

} // namespace

TEST_CASE("a request with a tenant's key is sent for that tenant", "[gateway][tenants]")
{
    TenantFixture fixture;
    const auto [credentials, tenant] =
            GENERATE(table<std::string, std::string>({ { "Bearer key-1", "builders" },
                                                       { "bearer  key-12 ", "builders" },
                                                       { "BEARER key-2", "clerks" } }));
    fixture.sendWith({ { "authorization", credentials } });
    CHECK(fixture.tenantOfAttempt() == tenant);
}

// Guards against callers that are served without a key, or with one that only resembles a key.
TEST_CASE("a request without a valid key is refused before it is sent", "[gateway][tenants]")
{
    TenantFixture fixture;
    const std::string credentials =
            GENERATE(as<std::string> {}, "", "Bearer", "Bearer ", "Bearer key", "Bearer key-123",
                     "Bearerkey-1", "Basic key-1", "key-1", "Bearer key-1 key-2", "Bearer KEY-1",
                     "Bearer " + std::string(100'000, 'k'));
    fixture.sendWith({ { "Authorization", credentials } });
    CHECK(fixture.refusal() == RefusalReason::Unauthorized);
    CHECK_FALSE(provesNotRun(RefusalReason::Unauthorized));
    CHECK(fixture.attempts.empty());
}

// Guards against a second field that another parser would prefer.
TEST_CASE("a request with two Authorization fields is refused", "[gateway][tenants]")
{
    TenantFixture fixture;
    fixture.sendWith({ { "Authorization", "Bearer key-1" }, { "authorization", "Bearer key-1" } });
    CHECK(fixture.refusal() == RefusalReason::Unauthorized);
}

TEST_CASE("a public route needs no key and takes a valid one", "[gateway][tenants]")
{
    TenantFixture fixture;
    fixture.sendWith({}, "/open/x");
    CHECK(fixture.tenantOfAttempt().empty());
    fixture.sendWith({ { "Authorization", "Bearer wrong" } }, "/open/x");
    CHECK(fixture.tenantOfAttempt().empty());
    fixture.sendWith({ { "Authorization", "Bearer key-2" } }, "/open/x");
    CHECK(fixture.tenantOfAttempt() == "clerks");
}

// Guards against a hedge or retry that carries the caller's key.
TEST_CASE("repeats of a request are sent for its tenant, too", "[gateway][tenants]")
{
    TenantFixture fixture;
    fixture.sendWith({ { "Authorization", "Bearer key-2" } });
    fixture.shed(fixture.attempts.front());
    fixture.wait(50ms);
    for (const StartAttempt &attempt : fixture.attempts)
        CHECK(attempt.caller->tenant == TenantId { "clerks" });
}

// Guards against keys that stay valid on connections that were opened before they were taken away.
TEST_CASE("a key is valid while the configuration in force holds it", "[gateway][tenants]")
{
    TenantFixture fixture;
    RoutingConfiguration next = fixture.configuration;
    next.version = 2;
    next.tenants.clear();
    next.tenantByKey.clear();
    addTenant(next, { { "clerks" }, { "key-3" }, 0, 0, 0 });
    fixture.send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(next) });
    fixture.sendWith({ { "Authorization", "Bearer key-3" } });
    CHECK(fixture.tenantOfAttempt() == "clerks");
    fixture.sendWith({ { "Authorization", "Bearer key-2" } });
    CHECK(fixture.refusal() == RefusalReason::Unauthorized);
}

// Guards against dropped keys that work again, and that servers get, once no tenant is left.
TEST_CASE("without any tenant requests need a key if the configuration requires keys",
          "[gateway][tenants]")
{
    TenantFixture fixture;
    RoutingConfiguration next = fixture.withoutTenants();
    REQUIRE(next.requiresKeys);
    fixture.send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(next) });
    for (const std::string credentials : { "Bearer key-1", "Bearer other", "" }) {
        fixture.replies.clear();
        fixture.sendWith({ { "Authorization", credentials } });
        CHECK(fixture.refusal() == RefusalReason::Unauthorized);
    }
    const auto refusals =
            fixture.gateway()
                    .explain({ "orders.example", "/order/7", "builders" }, fixture.now)
                    .at("refusals")
                    .as_array();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].at("reason").as_string() == toText(RefusalReason::Unauthorized));
    fixture.sendWith({ { "Authorization", "Bearer key-1" } }, "/open/x");
    CHECK(fixture.tenantOfAttempt().empty());
    // A version that requires no keys serves all callers again.
    next.version = 3;
    next.requiresKeys = false;
    fixture.send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(next) });
    fixture.sendWith({});
    const auto sent = fixture.takeAttempts();
    REQUIRE(sent.size() == 1);
    CHECK_FALSE(sent.front().caller);
}

// Guards against an accepted request that is repeated without its tenant, or refused midway, when
// its key is removed.
TEST_CASE("a request in progress keeps its tenant when the last tenant is removed",
          "[gateway][tenants]")
{
    TenantFixture fixture;
    RoutingConfiguration next = fixture.withoutTenants();
    fixture.sendWith({ { "Authorization", "Bearer key-1" } });
    fixture.send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(next) });
    fixture.shed(fixture.takeAttempts().front());
    fixture.wait(50ms);
    CHECK_FALSE(fixture.attempts.empty());
    for (const StartAttempt &attempt : fixture.attempts)
        CHECK(attempt.caller->tenant == TenantId { "builders" });
}

TEST_CASE("without tenants no key is looked at and all fields are passed on", "[gateway][tenants]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    REQUIRE(fixture.attempts.size() == 1);
    CHECK_FALSE(fixture.attempts.front().caller);
}

// Guards against keys that reach a log that others read.
TEST_CASE("no log record holds a key", "[gateway][tenants]")
{
    TenantFixture fixture;
    fixture.sendWith({ { "Authorization", "Bearer key-1" } });
    fixture.sendWith({ { "Authorization", "Bearer secret" } });
    for (const LogRecord &record : fixture.log) {
        for (const auto &[name, value] : record.fields) {
            CHECK(value.find("key-1") == std::string::npos);
            CHECK(value.find("secret") == std::string::npos);
        }
    }
    CHECK(boost::json::serialize(fixture.gateway().dump(fixture.now)).find("key-1")
          == std::string::npos);
}

TEST_CASE("a tenant's rank goes before the route's in the queue of waiting parts",
          "[gateway][tenants]")
{
    const WaitingPart archiveOfFirst { 0, 2, 1, MonotonicTime(9s), { 1 }, 0 };
    const WaitingPart checkOfSecond { 1, 0, 1, MonotonicTime(1s), { 2 }, 0 };
    CHECK(archiveOfFirst < checkOfSecond);
}
