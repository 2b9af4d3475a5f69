#include "GatewayFixture.h"

#include <set>

using namespace greengagestair;

namespace {

/** Servers of "bulaq" only hold the shards; "shubra", where the host runs, holds the orders. */
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
        connections.clear(); // opened ahead
    }

    /** Ends all connection attempts in progress in the same way. */
    void endProbes(bool isConnected)
    {
        for (const OpenConnection &wanted : std::exchange(connections, {}))
            send(ConnectionAttemptEnded { wanted.server, isConnected });
    }

    /** Sends a lookup that no server answers, and lets the connection attempts fail. */
    void loseBulaq()
    {
        lookup();
        wait(260ms);
        REQUIRE(connections.size() == 3);
        endProbes(false);
    }
};

} // namespace

// Guards against callers that stay with a host which cannot serve them.
TEST_CASE("a host that reaches no other failure domain and lacks shards is not ready", "[gateway]")
{
    CutOffFixture fixture;
    CHECK(fixture.gateway().isReady());
    fixture.loseBulaq();
    CHECK(fixture.gateway().isCutOff());
    CHECK_FALSE(fixture.gateway().isReady());
    fixture.wait(200ms);
    fixture.replies.clear();
    fixture.takeAttempts();
    fixture.lookup();
    CHECK(fixture.refusal() == RefusalReason::NoBackend);
    CHECK(fixture.takeAttempts().empty());
}

// Guards against a host that stays away from a failure domain which has come back.
TEST_CASE("an unreachable failure domain is probed until it answers", "[gateway]")
{
    CutOffFixture fixture;
    fixture.loseBulaq();
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

// Guards against a failure domain that is given up because its servers are slow.
TEST_CASE("a silent failure domain that accepts connections stays in use", "[gateway]")
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

// Guards against doubt where servers respond, if only with a refusal.
TEST_CASE("a response of any server ends the silence of its failure domain", "[gateway]")
{
    CutOffFixture fixture;
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    fixture.wait(200ms);
    fixture.shed(attempts.front());
    fixture.wait(100ms);
    CHECK(fixture.connections.empty());
}

// Guards against hosts with few callers, which would keep a whole failure domain in rotation.
TEST_CASE("a host that hears of an unreachable failure domain looks for itself", "[gateway]")
{
    CutOffFixture fixture;
    fixture.send(UnreachableDomainReported { { "bulaq" } });
    REQUIRE(fixture.connections.size() == 3);
    CHECK(fixture.gateway().isReady());
    fixture.endProbes(false);
    CHECK_FALSE(fixture.gateway().isReady());
    CHECK(fixture.unreachableReports == std::vector<FailureDomainId> { { "bulaq" } });
}

// Guards against a failure domain that sends its callers away although it can serve them.
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

// Guards against withdrawal of every failure domain when one of them, which alone has some servers,
// is cut off.
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
