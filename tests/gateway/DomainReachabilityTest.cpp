#include "GatewayFixture.h"

#include <set>

using namespace greengagestair;

namespace {

/** The shards have servers only in "bulaq", the orders only in "shubra", where the host runs. */
class CutOffFixture : public GatewayFixture
{
public:
    CutOffFixture()
    {
        RegistrationsRead servers;
        for (std::size_t shard = 0; shard < kShards; ++shard)
            servers.registrations.push_back(
                    registration("shard-" + std::to_string(shard), "bulaq"));
        servers.registrations.push_back(registration("orders", "shubra"));
        send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(configuration) });
        send(servers);
        wait(100ms);
        connections.clear(); // drops those that were opened in advance
    }

    /** Ends all connection attempts in progress with the same result. */
    void endProbes(bool isConnected)
    {
        for (const OpenConnection &effect : std::exchange(connections, {}))
            send(ConnectionAttemptEnded { effect.server, isConnected });
    }

    /** Sends a lookup that no server answers, then lets all probes fail. */
    void makeBulaqUnreachable()
    {
        lookup();
        wait(260ms);
        REQUIRE(connections.size() == 3);
        endProbes(false);
    }
};

} // namespace

// Guards against callers that are routed to a host which cannot serve them.
TEST_CASE("a host that reaches no other failure domain and lacks shards is not ready", "[gateway]")
{
    CutOffFixture fixture;
    CHECK(fixture.gateway().isReady());
    fixture.makeBulaqUnreachable();
    CHECK(fixture.gateway().isCutOff());
    CHECK_FALSE(fixture.gateway().isReady());
    fixture.wait(200ms);
    fixture.replies.clear();
    fixture.takeAttempts();
    fixture.lookup();
    CHECK(fixture.refusal() == RefusalReason::NoBackend);
    CHECK(fixture.takeAttempts().empty());
}

// Guards against a host that keeps avoiding a failure domain after it has recovered.
TEST_CASE("an unreachable failure domain is probed until it answers", "[gateway]")
{
    CutOffFixture fixture;
    fixture.makeBulaqUnreachable();
    fixture.wait(310ms);
    REQUIRE(fixture.connections.size() == 3);
    fixture.endProbes(false);
    CHECK(fixture.gateway().isCutOff());
    fixture.wait(310ms);
    REQUIRE(fixture.connections.size() == 3);
    fixture.endProbes(true);
    CHECK(fixture.gateway().isReady());
    fixture.takeAttempts();
    fixture.lookup();
    CHECK(fixture.takeAttempts().size() == GatewayFixture::kShards);
}

// Guards against a failure domain that counts as unreachable because its servers are slow.
TEST_CASE("an unresponsive failure domain that accepts connections stays in use", "[gateway]")
{
    CutOffFixture fixture;
    fixture.lookup();
    fixture.wait(260ms);
    REQUIRE(fixture.connections.size() == 3);
    fixture.send(ConnectionAttemptEnded { fixture.connections[0].server, false });
    fixture.send(ConnectionAttemptEnded { fixture.connections[1].server, true });
    fixture.send(ConnectionAttemptEnded { fixture.connections[2].server, false });
    CHECK(fixture.gateway().isReady());
    fixture.takeAttempts();
    fixture.lookup();
    CHECK(fixture.takeAttempts().size() == GatewayFixture::kShards);
}

// Guards against probes of a failure domain whose servers respond, even if only with a refusal.
TEST_CASE("a response of any server prevents probes of its failure domain", "[gateway]")
{
    CutOffFixture fixture;
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    fixture.wait(200ms);
    fixture.shed(attempts.front());
    fixture.wait(100ms);
    CHECK(fixture.connections.empty());
}

// Guards against hosts with few requests, which detect an unreachable domain late and would keep
// their own failure domain in rotation.
TEST_CASE("a host probes a failure domain that another host reports unreachable", "[gateway]")
{
    CutOffFixture fixture;
    fixture.send(UnreachableDomainReported { { "bulaq" } });
    REQUIRE(fixture.connections.size() == 3);
    CHECK(fixture.gateway().isReady());
    fixture.endProbes(false);
    CHECK_FALSE(fixture.gateway().isReady());
    CHECK(fixture.unreachableReports == std::vector<FailureDomainId> { { "bulaq" } });
}

// Guards against hosts that report not ready although they can serve their callers.
TEST_CASE("a host that can serve all routes without other failure domains stays ready", "[gateway]")
{
    CutOffFixture fixture;
    for (std::size_t shard = 0; shard < GatewayFixture::kShards; ++shard)
        fixture.send(RegistrationWritten {
                GatewayFixture::registration("shard-" + std::to_string(shard), "shubra") });
    fixture.send(UnreachableDomainReported { { "bulaq" } });
    fixture.endProbes(false);
    CHECK(fixture.gateway().isReady());
    fixture.lookup();
    for (const StartAttempt &attempt : fixture.takeAttempts())
        CHECK(attempt.server.value.ends_with("-shubra"));
}

// Guards against hosts of all other failure domains that report not ready because one domain is
// unreachable, which alone has the servers of some service.
TEST_CASE("a host that reaches one other failure domain stays ready", "[gateway]")
{
    CutOffFixture fixture;
    fixture.send(RegistrationWritten { GatewayFixture::registration("orders", "helwan") });
    fixture.send(UnreachableDomainReported { { "bulaq" } });
    fixture.endProbes(false);
    CHECK_FALSE(fixture.gateway().isCutOff());
    fixture.lookup();
    CHECK(fixture.refusal() == RefusalReason::NoBackend);
}
