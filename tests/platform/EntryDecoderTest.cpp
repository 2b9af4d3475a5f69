#include "platform/EntryDecoder.h"

#include "gateway/CallerAuthentication.h"
#include "platform/RolloutEntries.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <random>

using namespace greengagestair;
using namespace greengagestair::platform;
using namespace std::chrono_literals;
namespace json = boost::json;

static StoreEntry decode(const std::string &key, const std::string &value)
{
    return decodeEntry(json::object {
            { "key", key }, { "value", encodeBase64(value) }, { "rev", 4 }, { "lease", 0 } });
}

static const std::string kRegistration =
        R"({"service":"s1","address":"10.128.0.9:8080","zone":"shubra","version":"v1","slots":2,)"
        R"("state":"ready","slow_start_ms":1500,"sequence":4,"born":1700000000123,"later":[]})";

TEST_CASE("all fields of a server registration are decoded", "[platform]")
{
    const StoreEntry entry = decode("servers/i-7", kRegistration);
    const auto &registration = std::get<ServerEntry>(entry.value).registration;
    CHECK(registration.server == ServerId { "i-7" });
    CHECK(registration.service == ServiceId { "s1" });
    CHECK(registration.endpoint == Endpoint { "10.128.0.9", 8080 });
    CHECK(registration.failureDomain == FailureDomainId { "shubra" });
    CHECK(registration.coldFor == 1500ms);
    CHECK_FALSE(registration.isDraining);
    CHECK(registration.startedAt == 1700000000123);
    CHECK(registration.softwareVersion == "v1");
}

// Guards against using a malformed entry as a server, and against crashing on one.
TEST_CASE("an unreadable registration makes its server absent", "[platform]")
{
    const std::string value = GENERATE(
            as<std::string> {}, "", "{", "[]", "{}", R"({"service":"s1"})",
            R"({"service":"s1","address":"x","zone":"z","slots":2,"state":"ready","slow_start_ms":0,"sequence":1})",
            R"({"service":"s1","address":"1.2.3.4:80","zone":"z","slots":"2","state":"ready","slow_start_ms":0,"sequence":1})",
            R"({"service":"s1","address":"1.2.3.4:80","zone":"z","slots":2,"state":"odd","slow_start_ms":0,"sequence":1})",
            R"({"service":"s1","address":"1.2.3.4:99999","zone":"z","slots":2,"state":"ready","slow_start_ms":0,"sequence":1})",
            R"({"service":"s1","address":"1.2.3.4:80","zone":"z","slots":2,"state":"ready","slow_start_ms":-1,"sequence":1})");
    const StoreEntry entry = decode("servers/i-7", value);
    const auto *absent = std::get_if<AbsentServer>(&entry.value);
    REQUIRE(absent);
    CHECK(absent->server == ServerId { "i-7" });
    CHECK_FALSE(absent->problem.empty());
}

TEST_CASE("an entry with invalid base64 is unreadable", "[platform]")
{
    const StoreEntry entry =
            decodeEntry(json::object { { "key", "servers/i-7" }, { "value", "***" } });
    CHECK(std::holds_alternative<AbsentServer>(entry.value));
}

TEST_CASE("a removed registration is absent without a problem", "[platform]")
{
    const StoreEntry entry = decodeEntry(
            json::object { { "key", "servers/i-7" }, { "rev", 9 }, { "removed", true } });
    CHECK(std::get<AbsentServer>(entry.value).problem.empty());
}

TEST_CASE("a configuration with all kinds of routes is decoded", "[platform]")
{
    const StoreEntry entry = decode("op/config", R"({"version":7,"routes":[
        {"name":"a","host":"h","prefix":"/a/","type":"idempotent","timeout_ms":400,
         "target_latency_ms":40,"priority":2,"gather":["s1","s2"],"max_attempts":2,"top_k":5,
         "min_coverage":0.75},
        {"name":"b","host":"h","prefix":"/b/","type":"non_idempotent","timeout_ms":2500,
         "target_latency_ms":250,"priority":1,"service":"s1","max_attempts":1},
        {"name":"c","host":"h","prefix":"/c/","type":"idempotent","timeout_ms":2500,
         "target_latency_ms":250,"priority":0,"max_attempts":1,
         "split":[{"service":"s1","weight":3},{"service":"s2","weight":0.5}]}],
        "services":[{"name":"s1","health_path":"/h","max_conns":26,"warmup_per_s":4.5},
                    {"name":"s2","health_path":"/h","max_conns":9}],
        "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,
                  "idle_timeout_ms":15000}})");
    const auto &configuration = *std::get<ConfigurationEntry>(entry.value).configuration;
    CHECK(configuration.version == 7);
    REQUIRE(configuration.routes.size() == 3);
    CHECK(configuration.routes[0].repeatable);
    CHECK(configuration.routes[0].gather->services.size() == 2);
    CHECK(configuration.routes[0].gather->topRecords == 5);
    CHECK(configuration.routes[0].latencyTarget == 40ms);
    CHECK_FALSE(configuration.routes[1].repeatable);
    CHECK(configuration.routes[2].targets.size() == 2);
    CHECK(configuration.services.at({ "s1" }).coldRequestsPerSecond == 4.5);
    CHECK(configuration.limits.idleTimeout == 15s);
}

TEST_CASE("tenants and public routes of a configuration are decoded", "[platform]")
{
    const StoreEntry entry = decode("op/config", R"({"version":8,"routes":[
        {"name":"b","host":"h","prefix":"/b/","type":"idempotent","timeout_ms":2500,
         "target_latency_ms":250,"priority":1,"service":"s1","max_attempts":1,"public":true}],
        "services":[{"name":"s1","max_conns":26}],
        "tenants":[{"name":"t1","api_keys":["a","b"],"priority":2,"rate_per_s":43,"burst":20.5},
                   {"name":"t2","api_keys":["c","a"]}]})");
    const auto &configuration = *std::get<ConfigurationEntry>(entry.value).configuration;
    CHECK(configuration.routes.front().isPublic);
    REQUIRE(configuration.tenants.size() == 2);
    CHECK(configuration.tenants[0] == Tenant { { "t1" }, { "a", "b" }, 2, 43, 20.5 });
    CHECK(configuration.tenants[1].requestsPerSecond == 0);
    CHECK(configuration.tenantByKey.at("a") == 0);
    CHECK(configuration.tenantByKey.at("c") == 1);
}

// Guards against requests that need no key once the last tenant is removed, and against a field
// that cannot be read and is taken for a missing one.
TEST_CASE("an empty list of tenants requires keys and a missing one does not", "[platform]")
{
    const std::string configuration = R"({"version":8,"routes":[
        {"name":"b","host":"h","prefix":"/b/","type":"idempotent","timeout_ms":2500,
         "target_latency_ms":250,"priority":1,"service":"s1","max_attempts":1},
        {"name":"c","host":"h","prefix":"/c/","type":"idempotent","timeout_ms":2500,
         "target_latency_ms":250,"priority":1,"service":"s1","max_attempts":1,"public":true}],
        "services":[])";
    const auto isAllowed = [&](const std::string &tenants, std::size_t route,
                               const Headers &headers) {
        const StoreEntry entry = decode("op/config", configuration + tenants + "}");
        const auto &decoded = *std::get<ConfigurationEntry>(entry.value).configuration;
        GatewayRequest request;
        request.headers = headers;
        return authenticate(decoded, decoded.routes[route], request).isAllowed;
    };
    const Headers headers = GENERATE(Headers {}, Headers { { "Authorization", "Bearer key" } });
    CHECK(isAllowed("", 0, headers));
    CHECK_FALSE(isAllowed(R"(,"tenants":[])", 0, headers));
    CHECK(isAllowed(R"(,"tenants":[])", 1, headers));
    CHECK_FALSE(isAllowed(R"(,"tenants":[{"name":"t","api_keys":[]}])", 0, headers));
    const std::string unreadable = GENERATE(as<std::string> {}, "null", "{}", "false", R"("")");
    const StoreEntry entry =
            decode("op/config", configuration + R"(,"tenants":)" + unreadable + "}");
    CHECK(std::holds_alternative<AbsentEntry>(entry.value));
}

// Guards against a tenant's name that adds fields to requests, and against a key that is empty.
TEST_CASE("a configuration with an unusable tenant is unreadable", "[platform]")
{
    const std::string tenant =
            GENERATE(as<std::string> {}, R"({"name":"a b","api_keys":["k"]})",
                     R"({"name":"a\r\nX: 1","api_keys":["k"]})", R"({"name":"a"})",
                     R"({"name":"a","api_keys":[""]})", R"({"name":"a","api_keys":[7]})",
                     R"({"name":"a","api_keys":["k"],"rate_per_s":-1})");
    const StoreEntry entry = decode(
            "op/config", R"({"version":8,"routes":[],"services":[],"tenants":[)" + tenant + "]}");
    CHECK(std::holds_alternative<AbsentEntry>(entry.value));
}

TEST_CASE("an unreadable configuration is absent with its problem", "[platform]")
{
    const StoreEntry entry = decode("op/config", R"({"version":"7","routes":[]})");
    CHECK(std::get<AbsentEntry>(entry.value).problem
          == "expected an integer from 0 to 9007199254740991 as version of configuration");
}

TEST_CASE("an encoded host is decoded unchanged", "[platform]")
{
    const HostEntry host { { "edge-1" }, { "shubra" }, { "10.0.0.1", 7740 } };
    const StoreEntry entry = decode(hostKey(host.host), encodeHost(host));
    const auto &read = std::get<HostEntry>(entry.value);
    CHECK(read == host);
}

TEST_CASE("entries with unknown keys are ignored", "[platform]")
{
    CHECK(std::holds_alternative<IgnoredEntry>(decode("my/leader", "x").value));
}

// Guards against values that are altered by the encoding.
TEST_CASE("base64 decodes to the encoded bytes", "[platform]")
{
    CHECK(encodeBase64("node-1") == "bm9kZS0x");
    std::mt19937 random(7);
    for (std::size_t size = 0; size < 200; ++size) {
        std::string bytes(size, '\0');
        for (char &byte : bytes)
            byte = static_cast<char>(random());
        boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> {
                    BOOST_LEAF_AUTO(decoded, decodeBase64(encodeBase64(bytes)));
                    CHECK(decoded == bytes);
                    return {};
                },
                [] { FAIL("not decoded"); });
    }
}

// Guards against a crash on an entry with arbitrary bytes.
TEST_CASE("a mutated registration is decoded as a server or as absent", "[platform]")
{
    std::mt19937 random(20261204);
    for (int run = 0; run < 20'000; ++run) {
        std::string value = kRegistration;
        for (int change = random() % 4; change >= 0; --change)
            value[random() % value.size()] = static_cast<char>(random() % 256);
        const StoreEntry entry = decode("servers/i-7", value);
        const bool isDecodedOrAbsent = std::holds_alternative<ServerEntry>(entry.value)
                || std::holds_alternative<AbsentServer>(entry.value);
        REQUIRE(isDecodedOrAbsent);
    }
}

// Guards against a state that other hosts cannot read, and so a roll-out that only its writer
// follows.
TEST_CASE("an encoded state of a roll-out is decoded unchanged", "[platform]")
{
    RolloutState state;
    state.service = { "s1" };
    state.phase = GENERATE(RolloutPhase::Holding, RolloutPhase::Exposing, RolloutPhase::Switching,
                           RolloutPhase::Complete, RolloutPhase::RolledBack);
    state.step = 3;
    state.share = 0.0625;
    state.surgeShare = 0.5;
    state.surge = 1500ms;
    state.targetVersion = "v2";
    state.orderRevision = { 17 };
    state.elapsed = 12345ms;
    state.withheld = { "v0", "v1" };
    state.revision = { 4 };
    const StoreEntry entry = decode("rollout/s1", encodeRolloutState(state));
    const auto *decoded = std::get_if<RolloutStateEntry>(&entry.value);
    REQUIRE(decoded);
    CHECK(decoded->state == state);
}

TEST_CASE("an order of a roll-out is decoded", "[platform]")
{
    const StoreEntry entry =
            decode("op/rollout/s1", R"({"service":"s1","target_version":"v2","duration_s":7.5})");
    const auto *order = std::get_if<RolloutOrderEntry>(&entry.value);
    REQUIRE(order);
    CHECK(order->order == RolloutOrder { { "s1" }, "v2", 7500ms, { 4 } });
}

// Guards against a roll-out that follows an order which says something else than its key.
TEST_CASE("an odd order or state of a roll-out is absent with its problem", "[platform]")
{
    const std::string key = GENERATE(as<std::string> {}, "op/rollout/s1", "rollout/s1");
    const std::string value = GENERATE(
            as<std::string> {}, "", "[]", "{}", R"({"service":"s1","target_version":"v2"})",
            R"({"service":"s2","target_version":"v2","duration_s":7.5})",
            R"({"service":"s1","target_version":"","duration_s":7.5})",
            R"({"service":"s1","target_version":"v2","duration_s":-1})",
            R"({"service":"s1","target_version":"v2","duration_s":1e300})",
            R"({"phase":"odd","step":1,"share":0.1,"surgeShare":0,"surgeMs":0,"targetVersion":"v2","orderRevision":1,"elapsedMs":0,"withheld":[]})",
            R"({"phase":"holding","step":1,"share":2,"surgeShare":0,"surgeMs":0,"targetVersion":"v2","orderRevision":1,"elapsedMs":0,"withheld":[]})",
            R"({"phase":"holding","step":1,"share":0,"surgeShare":0,"surgeMs":0,"targetVersion":"v2","orderRevision":1,"elapsedMs":0,"withheld":[3]})");
    const StoreEntry entry = decode(key, value);
    const auto *absent = std::get_if<AbsentEntry>(&entry.value);
    REQUIRE(absent);
    CHECK_FALSE(absent->problem.empty());
}

TEST_CASE("the status of a roll-out is encoded as the platform reads it", "[platform]")
{
    RolloutState state;
    state.targetVersion = "v2";
    CHECK(encodeRolloutStatus(state) == R"({"state":"active","target_version":"v2"})");
    state.phase = RolloutPhase::RolledBack;
    CHECK(encodeRolloutStatus(state) == R"({"state":"rolled_back","target_version":"v2"})");
    state.phase = RolloutPhase::Complete;
    CHECK(encodeRolloutStatus(state) == R"({"state":"complete","target_version":"v2"})");
}
