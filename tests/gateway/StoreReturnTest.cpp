#include "GatewayFixture.h"

#include <algorithm>

using namespace greengagestair;

namespace {

/** A gateway with two servers of each service, and the events of a store that has gone back. */
class ReturnFixture : public GatewayFixture
{
public:
    ReturnFixture() { start(); }

    /** Reads the entries of a copy in which the servers of orders are `orders`. */
    void returnWith(const std::vector<BackendRegistration> &orders)
    {
        RegistrationsRead read;
        for (const auto &[name, service] : configuration.services) {
            if (name.value == "orders")
                continue;
            for (const char *domain : { "shubra", "bulaq" })
                read.registrations.push_back(registration(name.value, domain));
        }
        read.registrations.insert(read.registrations.end(), orders.begin(), orders.end());
        read.hasStoreGoneBack = true;
        send(read);
    }

    static BackendRegistration order(const char *domain) { return registration("orders", domain); }

    static BackendRegistration draining(BackendRegistration registration)
    {
        registration.isDraining = true;
        return registration;
    }

    bool isInService(const BackendRegistration &registration)
    {
        const auto backend = gateway().directory().find(registration.server);
        return backend && gateway().directory().isInService(*backend);
    }
};

} // namespace

// Guards against work for a server that drained in the span that the copy lacks.
TEST_CASE("a server that drained stays so when the copy calls it ready", "[gateway][return]")
{
    ReturnFixture fixture;
    const auto server = ReturnFixture::order("shubra");
    fixture.send(RegistrationWritten { ReturnFixture::draining(server) });
    fixture.returnWith({ server, ReturnFixture::order("bulaq") });
    CHECK_FALSE(fixture.isInService(server));
    CHECK(fixture.isInService(ReturnFixture::order("bulaq")));
    fixture.send(RegistrationWritten { server });
    CHECK(fixture.isInService(server));
}

// Guards against work for a server that left in the span that the copy lacks.
TEST_CASE("a server that left does not come back with the copy", "[gateway][return]")
{
    ReturnFixture fixture;
    const auto server = ReturnFixture::order("shubra");
    fixture.send(RegistrationRemoved { server.server });
    SECTION("it has been removed")
    {
        fixture.wait(3s);
        fixture.returnWith({ server, ReturnFixture::order("bulaq") });
        CHECK_FALSE(fixture.isInService(server));
    }
    SECTION("its removal is scheduled")
    {
        fixture.returnWith({ server, ReturnFixture::order("bulaq") });
        fixture.wait(3s);
        CHECK_FALSE(fixture.isInService(server));
    }
    SECTION("another process of it has started since")
    {
        fixture.wait(3s);
        auto restarted = server;
        restarted.startedAt = server.startedAt + 5000;
        fixture.returnWith({ restarted, ReturnFixture::order("bulaq") });
        CHECK(fixture.isInService(restarted));
    }
    SECTION("it writes again")
    {
        fixture.wait(3s);
        fixture.returnWith({ server, ReturnFixture::order("bulaq") });
        fixture.send(RegistrationWritten { server });
        CHECK(fixture.isInService(server));
    }
}

// Guards against requests to the former address of a server that has been restarted.
TEST_CASE("an earlier process does not take the place of a later one", "[gateway][return]")
{
    ReturnFixture fixture;
    auto restarted = ReturnFixture::order("shubra");
    restarted.startedAt += 5000;
    restarted.endpoint.port = 8001;
    fixture.send(RegistrationWritten { restarted });
    fixture.returnWith({ ReturnFixture::order("shubra"), ReturnFixture::order("bulaq") });
    const auto backend = fixture.gateway().directory().find(restarted.server);
    REQUIRE(backend);
    CHECK(backend->registration.endpoint.port == 8001);
}

// Guards against a server that registered in the lost span and is dropped, although it lives.
TEST_CASE("a server that the copy does not list is kept while it may register again",
          "[gateway][return]")
{
    ReturnFixture fixture;
    fixture.returnWith({ ReturnFixture::order("bulaq") });
    fixture.wait(1900ms);
    CHECK(fixture.isInService(ReturnFixture::order("shubra")));
    SECTION("it registers again")
    {
        fixture.send(RegistrationWritten { ReturnFixture::order("shubra") });
        fixture.wait(5s);
        CHECK(fixture.isInService(ReturnFixture::order("shubra")));
    }
    SECTION("it does not")
    {
        fixture.wait(200ms);
        CHECK_FALSE(fixture.isInService(ReturnFixture::order("shubra")));
    }
}

// Guards against work for a failure domain that operators took out of service in the lost span.
TEST_CASE("a failure domain stays out of service until its entry can be written again",
          "[gateway][return]")
{
    ReturnFixture fixture;
    fixture.send(EvacuationsRead { { { "bulaq" } } });
    fixture.send(EvacuationsRead { {}, true });
    CHECK_FALSE(fixture.isInService(ReturnFixture::order("bulaq")));
    SECTION("it is written again and then withdrawn")
    {
        fixture.send(EvacuationsRead { { { "bulaq" } } });
        fixture.wait(10s);
        CHECK_FALSE(fixture.isInService(ReturnFixture::order("bulaq")));
        fixture.send(EvacuationsRead {});
        CHECK(fixture.isInService(ReturnFixture::order("bulaq")));
    }
    SECTION("the store goes back once more before it is written again")
    {
        fixture.wait(4s);
        fixture.send(EvacuationsRead { {}, true });
        fixture.wait(4s);
        CHECK_FALSE(fixture.isInService(ReturnFixture::order("bulaq")));
    }
    SECTION("it is not written again")
    {
        fixture.wait(4900ms);
        CHECK_FALSE(fixture.isInService(ReturnFixture::order("bulaq")));
        fixture.wait(200ms);
        CHECK(fixture.isInService(ReturnFixture::order("bulaq")));
    }
}

// Guards against larger shares of the joint limits for hosts whose neighbours the copy does not
// list.
TEST_CASE("hosts that the copy does not list are counted while they may be written again",
          "[gateway][return]")
{
    ReturnFixture fixture;
    const auto entryHosts = [&fixture] {
        const auto counters = fixture.gateway().counters();
        const auto found = std::find_if(counters.begin(), counters.end(), [](const auto &counter) {
            return counter.name == "entry_hosts";
        });
        return found->value;
    };
    fixture.send(GatewayFixture::hosts(3, 5));
    HostsRead copy = GatewayFixture::hosts(1, 1);
    copy.hasStoreGoneBack = true;
    fixture.send(copy);
    fixture.wait(4900ms);
    CHECK(entryHosts() == 8);
    fixture.wait(31s);
    CHECK(entryHosts() == 2);
}

// Guards against an older configuration in force.
TEST_CASE("the configuration of an older copy does not take the place of a newer one",
          "[gateway][return]")
{
    ReturnFixture fixture;
    RoutingConfiguration newer = fixture.configuration;
    newer.version = 9;
    fixture.send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(newer) });
    fixture.send(ConfigurationRead {
            std::make_shared<const RoutingConfiguration>(fixture.configuration) });
    CHECK(fixture.gateway().configuration()->version == 9);
}
