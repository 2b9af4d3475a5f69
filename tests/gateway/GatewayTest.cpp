#include "GatewayFixture.h"

#include "gateway/RecordMerger.h"

#include <set>

using namespace greengagestair;

static std::string record(char letter)
{
    return std::string(kRecordBytes, letter);
}

// Guards against a 404 response for a valid route before the configuration has been read.
TEST_CASE("without a configuration a request is refused as not run", "[gateway]")
{
    GatewayFixture fixture;
    fixture.lookup();
    CHECK(fixture.refusal() == RefusalReason::NoConfiguration);
    CHECK(std::get<RefusedReply>(fixture.reply()).retryAfter > 0ms);
    CHECK_FALSE(fixture.gateway().isReady());
}

TEST_CASE("an unknown route is refused without the guarantee that the request has not run",
          "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.request("nobody.example", "/find/");
    CHECK(fixture.refusal() == RefusalReason::NoRoute);
    CHECK_FALSE(provesNotRun(RefusalReason::NoRoute));
}

// Guards against unnecessary traffic between failure domains.
TEST_CASE("a lookup goes to one server of each shard in the host's failure domain", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.lookup();
    REQUIRE(fixture.attempts.size() == GatewayFixture::kShards);
    std::set<std::string> servers;
    for (const StartAttempt &attempt : fixture.attempts)
        servers.insert(attempt.server.value);
    CHECK(servers
          == std::set<std::string> { "shard-0-shubra", "shard-1-shubra", "shard-2-shubra",
                                     "shard-3-shubra" });
    const auto attempts = fixture.takeAttempts();
    for (std::size_t i = 0; i < attempts.size(); ++i)
        fixture.answer(attempts[i], record(static_cast<char>('a' + i)));
    const auto &merged = std::get<MergedReply>(fixture.reply());
    CHECK(merged.signatures.size() == GatewayFixture::kShards);
    CHECK(merged.missingParts == 0);
    CHECK(merged.records == record('d') + record('c'));
}

// Guards against a query that waits for a paused server: its part is hedged.
TEST_CASE("a part that is late is also sent to another server", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    for (std::size_t i = 1; i < attempts.size(); ++i)
        fixture.answer(attempts[i]);
    fixture.wait(30ms);
    const auto hedges = fixture.takeAttempts();
    REQUIRE(hedges.size() == 1);
    CHECK(hedges.front().server.value == "shard-0-bulaq");
    fixture.answer(hedges.front());
    CHECK(std::get<MergedReply>(fixture.reply()).missingParts == 0);
    CHECK(fixture.released == std::vector { attempts.front().attempt });
    fixture.answer(attempts.front());
    CHECK(fixture.replies.size() == 1);
}

// Guards against handshakes that delay the first requests after a restart.
TEST_CASE("connections to servers of the host's failure domain are opened in advance", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addService("unused");
    fixture.start();
    fixture.wait(100ms);
    std::set<std::string> servers;
    for (const OpenConnection &effect : std::exchange(fixture.connections, {}))
        servers.insert(effect.server.value);
    CHECK(servers
          == std::set<std::string> { "orders-shubra", "shard-0-shubra", "shard-1-shubra",
                                     "shard-2-shubra", "shard-3-shubra" });
    // A route to a new server may be added soon; a registered server is connected when it is used.
    for (const char *domain : { "shubra", "bulaq" })
        fixture.send(RegistrationWritten { GatewayFixture::registration("shard-9", domain) });
    fixture.send(RegistrationWritten { GatewayFixture::registration("shard-1", "shubra") });
    fixture.wait(100ms);
    REQUIRE(fixture.connections.size() == 1);
    CHECK(fixture.connections.front().server.value == "shard-9-shubra");
}

// Guards against servers that still run a request after its caller has timed out, because the
// request waited to be read while this host was busy.
TEST_CASE("the time that a request waited to be read counts against its deadline", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    auto request = std::make_shared<GatewayRequest>();
    request->host = "lookup.example";
    request->target = "/find/elbow";
    request->deadline = 300ms;
    fixture.send(RequestReceived { { 900 }, request, 200ms });
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == GatewayFixture::kShards);
    for (const StartAttempt &attempt : attempts)
        CHECK(attempt.remaining <= 100ms);
    fixture.send(RequestReceived { { 901 }, request, 400ms });
    CHECK(fixture.takeAttempts().empty());
    CHECK(fixture.refusal() == RefusalReason::Shed);
}

// Guards against retries and hedges beyond the route's maxAttempts.
TEST_CASE("a part reaches no more servers than the route allows", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    for (const char *domain : { "helwan", "giza" })
        fixture.send(RegistrationWritten { GatewayFixture::registration("shard-0", domain) });
    fixture.lookup();
    std::size_t sent = 0;
    for (int round = 0; round < 5; ++round) {
        for (const StartAttempt &attempt : fixture.takeAttempts()) {
            if (!attempt.server.value.starts_with("shard-0"))
                continue;
            ++sent;
            fixture.fail(attempt, AttemptFailure::Lost);
        }
    }
    CHECK(sent == 2);
}

// Guards against a query that misses its latency target because of its last part.
TEST_CASE("at the latency target, minimum coverage suffices for a partial answer", "[gateway]")
{
    GatewayFixture fixture(0);
    fixture.start();
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    for (std::size_t i = 1; i < attempts.size(); ++i)
        fixture.answer(attempts[i], record('a'));
    CHECK(fixture.replies.empty());
    fixture.wait(80ms);
    const auto &merged = std::get<MergedReply>(fixture.reply());
    CHECK(merged.missingParts == 1);
    CHECK(merged.signatures.size() == GatewayFixture::kShards - 1);
}

// Guards against a partial answer below the route's minimum coverage.
TEST_CASE("with too few parts there is no answer before the deadline", "[gateway]")
{
    GatewayFixture fixture(0);
    fixture.start();
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    fixture.answer(attempts[0]);
    fixture.answer(attempts[1]);
    fixture.wait(300ms);
    CHECK(fixture.replies.empty());
    fixture.wait(110ms);
    CHECK(fixture.refusal() == RefusalReason::TimedOut);
}

// Guards against an error response that is merged as a part of the answer.
TEST_CASE("an error response with a signature is not a part of the answer", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.lookup();
    for (const StartAttempt &attempt : fixture.takeAttempts())
        fixture.answer(attempt, record('z'), attempt.server.value == "shard-0-shubra" ? 500 : 200);
    const auto retries = fixture.takeAttempts();
    REQUIRE(retries.size() == 1);
    fixture.answer(retries.front(), record('a'));
    CHECK(std::get<MergedReply>(fixture.reply()).records == record('z') + record('z'));
}

// Guards against orders that run twice.
TEST_CASE("an order that may have run is not sent again", "[gateway]")
{
    const AttemptFailure failure =
            GENERATE(AttemptFailure::Lost, AttemptFailure::Corrupt, AttemptFailure::Expired);
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    const auto attempts = fixture.takeAttempts();
    REQUIRE(attempts.size() == 1);
    fixture.wait(200ms);
    CHECK(fixture.attempts.empty());
    fixture.fail(attempts.front(), failure);
    CHECK(fixture.attempts.empty());
    CHECK(fixture.refusal() == RefusalReason::Failed);
    CHECK_FALSE(provesNotRun(RefusalReason::Failed));
}

// Guards against a repeatable request that a broken response ends although another server could
// answer it, and against repeats beyond the budget.
TEST_CASE("after a broken response a part is sent to another server within the budget", "[gateway]")
{
    const bool hasBudget = GENERATE(true, false);
    GatewayFixture fixture(hasBudget ? 120 : 0);
    fixture.start();
    fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    for (std::size_t i = 1; i < attempts.size(); ++i)
        fixture.answer(attempts[i], record('a'));
    fixture.fail(attempts.front(), AttemptFailure::Corrupt);
    const auto repeats = fixture.takeAttempts();
    REQUIRE(repeats.size() == (hasBudget ? 1 : 0));
    if (hasBudget) {
        CHECK(repeats.front().server != attempts.front().server);
        fixture.answer(repeats.front(), record('b'));
        CHECK(std::get<MergedReply>(fixture.reply()).missingParts == 0);
    }
}

TEST_CASE("an order that no server ran is sent to another server", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    const bool wasSent = GENERATE(false, true);
    const auto attempts = fixture.takeAttempts();
    if (wasSent)
        fixture.shed(attempts.front());
    else
        fixture.fail(attempts.front(), AttemptFailure::NotSent);
    const auto second = fixture.takeAttempts();
    REQUIRE(second.size() == 1);
    CHECK(second.front().server != attempts.front().server);
    fixture.answer(second.front(), "done");
    CHECK(std::get<ForwardedReply>(fixture.reply()).answer.body == "done");
}

// Guards against a wrong refusal: "not run" is allowed only if no server has run the order.
TEST_CASE("an order that all servers refused is refused as not run, at once", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    fixture.shed(fixture.takeAttempts().front());
    fixture.shed(fixture.takeAttempts().front());
    CHECK(fixture.refusal() == RefusalReason::Shed);
    CHECK(std::get<RefusedReply>(fixture.reply()).retryAfter > 0ms);
}

TEST_CASE("a server's error response is forwarded unchanged", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    fixture.answer(fixture.takeAttempts().front(), "broken", 500);
    const auto &forwarded = std::get<ForwardedReply>(fixture.reply());
    CHECK(forwarded.answer.status == 500);
    CHECK(forwarded.answer.body == "broken");
    CHECK_FALSE(forwarded.answer.signature.empty());
}

// Guards against a success response without the proof that a server ran the request.
TEST_CASE("a success response without a signature is not forwarded", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.order();
    BackendAnswer answer;
    answer.status = 200;
    fixture.send(AttemptEnded { fixture.takeAttempts().front().attempt, answer });
    CHECK(fixture.refusal() == RefusalReason::Failed);
}

// Guards against callers that wait longer than the route's timeout.
TEST_CASE("a request ends at the route's timeout", "[gateway]")
{
    GatewayFixture fixture;
    fixture.configuration.routes[1].timeout = 300ms;
    fixture.start();
    fixture.order();
    fixture.wait(290ms);
    CHECK(fixture.replies.empty());
    fixture.wait(20ms);
    CHECK(fixture.refusal() == RefusalReason::TimedOut);
}

// Guards against backend servers that run requests of callers that have disconnected.
TEST_CASE("a caller's disconnect releases its attempts and starts no further ones", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    const ExchangeId exchange = fixture.lookup();
    const auto attempts = fixture.takeAttempts();
    fixture.send(CallerDisconnected { exchange });
    CHECK(fixture.released.size() == attempts.size());
    fixture.fail(attempts.front(), AttemptFailure::Expired);
    fixture.wait(500ms);
    CHECK(fixture.attempts.empty());
    CHECK(fixture.replies.empty());
    CHECK(fixture.gateway().isIdle());
}

// Guards against new requests to servers that drain or whose failure domain is out of service.
TEST_CASE("servers that drain or are out of service get no new requests", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    SECTION("the failure domain is taken out of service")
    {
        fixture.send(EvacuationsRead { { { "shubra" } } });
        fixture.order();
        CHECK(fixture.takeAttempts().front().server.value == "orders-bulaq");
        fixture.send(EvacuationsRead { {} });
        fixture.order();
        CHECK(fixture.takeAttempts().front().server.value == "orders-shubra");
    }
    SECTION("the server drains")
    {
        BackendRegistration registration = GatewayFixture::registration("orders", "shubra");
        registration.isDraining = true;
        fixture.send(RegistrationWritten { registration });
        fixture.order();
        CHECK(fixture.takeAttempts().front().server.value == "orders-bulaq");
    }
    SECTION("both at once leave no server")
    {
        BackendRegistration registration = GatewayFixture::registration("orders", "bulaq");
        registration.isDraining = true;
        fixture.send(RegistrationWritten { registration });
        fixture.send(EvacuationsRead { { { "shubra" } } });
        fixture.order();
        CHECK(fixture.refusal() == RefusalReason::NoBackend);
    }
}

// Guards against an outage of the service when registrations expire during an outage of the store.
TEST_CASE("a server whose registration expired is used until it had time to return", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    for (const char *domain : { "shubra", "bulaq" })
        fixture.send(RegistrationRemoved { { std::string("orders-") + domain } });
    fixture.order();
    CHECK(fixture.takeAttempts().size() == 1);
    fixture.wait(1900ms);
    fixture.send(RegistrationWritten { GatewayFixture::registration("orders", "shubra") });
    fixture.wait(200ms);
    CHECK(fixture.gateway().directory().find({ "orders-shubra" }));
    CHECK_FALSE(fixture.gateway().directory().find({ "orders-bulaq" }));
}

// Guards against a server that has left and gets work for as long again as its removal was unknown.
TEST_CASE("the time to register again begins when a registration was last seen", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.send(StoreCaughtUp {});
    fixture.wait(1600ms);
    fixture.send(RegistrationRemoved { { "orders-shubra" } });
    fixture.wait(300ms);
    CHECK(fixture.gateway().directory().find({ "orders-shubra" }));
    fixture.wait(200ms);
    CHECK_FALSE(fixture.gateway().directory().find({ "orders-shubra" }));
}

// Guards against the removal of live servers whose registrations expired in an outage of the store.
TEST_CASE("after an outage of the store, servers have the whole time to register again",
          "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.send(StoreCaughtUp {});
    fixture.wait(5s);
    fixture.send(RegistrationRemoved { { "orders-shubra" } });
    fixture.send(StoreCaughtUp {});
    fixture.wait(1900ms);
    CHECK(fixture.gateway().directory().find({ "orders-shubra" }));
    fixture.wait(200ms);
    CHECK_FALSE(fixture.gateway().directory().find({ "orders-shubra" }));
}

// Guards against a host that reverts to an older configuration.
TEST_CASE("an older configuration is ignored", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    RoutingConfiguration older = fixture.configuration;
    older.version = 0;
    older.routes.clear();
    fixture.send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(older) });
    CHECK(fixture.gateway().configuration()->version == 1);
}

// Guards against an answer that mixes the shards of two configurations.
TEST_CASE("a query keeps the set of shards that it began with", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.lookup();
    RoutingConfiguration next = fixture.configuration;
    next.version = 2;
    next.routes[0].gather->services = { { "orders" } };
    fixture.send(ConfigurationRead { std::make_shared<const RoutingConfiguration>(next) });
    for (const StartAttempt &attempt : fixture.takeAttempts())
        fixture.answer(attempt, record('a'));
    CHECK(std::get<MergedReply>(fixture.reply()).signatures.size() == GatewayFixture::kShards);
}

// Guards against a random split, whose weights hold only on average.
TEST_CASE("a split keeps its weights over any run of requests", "[gateway]")
{
    GatewayFixture fixture;
    fixture.addService("other");
    fixture.configuration.routes[1].targets = { { { "orders" }, 3 }, { { "other" }, 1 } };
    fixture.start();
    int other = 0;
    for (int i = 1; i <= 40; ++i) {
        fixture.order();
        const StartAttempt attempt = fixture.takeAttempts().front();
        other += attempt.server.value.starts_with("other") ? 1 : 0;
        fixture.answer(attempt);
        CHECK(std::abs(other - i / 4.0) <= 1);
    }
}

// Guards against more requests to a cold server than its declared rate allows.
TEST_CASE("a cold server gets this host's share of its declared request rate", "[gateway]")
{
    GatewayFixture fixture;
    fixture.configuration.services[{ "orders" }].coldRequestsPerSecond = 4;
    fixture.start();
    fixture.send(GatewayFixture::hosts(1, 2));
    fixture.send(RegistrationRemoved { { "orders-bulaq" } });
    fixture.wait(2100ms);
    BackendRegistration registration = GatewayFixture::registration("orders", "shubra");
    registration.startedAt = 2;
    registration.coldFor = 3s;
    fixture.send(RegistrationWritten { registration });
    std::size_t sent = 0;
    for (int i = 0; i < 50; ++i) {
        fixture.order();
        for (const StartAttempt &attempt : fixture.takeAttempts()) {
            ++sent;
            fixture.answer(attempt);
        }
        fixture.wait(15ms);
    }
    // (4 requests per second * 1.5 + 5) / 3 hosts, rounded down.
    CHECK(sent == 3);
}

// Guards against shares of joint limits that grow because other hosts cannot reach the store.
TEST_CASE("a lower host count takes effect only after a delay", "[gateway]")
{
    GatewayFixture fixture;
    fixture.start();
    fixture.send(GatewayFixture::hosts(3, 6));
    fixture.send(GatewayFixture::hosts(1, 1));
    fixture.wait(20s);
    CHECK(fixture.gateway().dump(fixture.now).at("entryHosts").to_number<int>() == 9);
    fixture.wait(11s);
    CHECK(fixture.gateway().dump(fixture.now).at("entryHosts").to_number<int>() == 2);
}
