#include "platform/EntryDecoder.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace greengagestair;
using namespace greengagestair::platform;
using namespace std::chrono_literals;
namespace json = boost::json;

static StoreEntry decode(const std::string &key, const std::string &value)
{
    return decodeEntry(json::object { { "key", key }, { "value", encodeBase64(value) } });
}

static std::string registration(const std::string &field, const std::string &value)
{
    json::object fields { { "service", "s1" },  { "address", "10.128.0.9:8080" },
                          { "zone", "shubra" }, { "slots", 2 },
                          { "state", "ready" }, { "slow_start_ms", 1500 },
                          { "sequence", 4 },    { "born", 1'700'000'000'123 } };
    std::string text = "{";
    for (const auto &member : fields) {
        const bool isReplaced = std::string_view(member.key()) == field;
        text += (text.size() > 1 ? ",\"" : "\"") + std::string(member.key())
                + "\":" + (isReplaced ? value : json::serialize(member.value()));
    }
    return text + "}";
}

// Guards against a process that ends, or computes with numbers out of range, because of one odd
// entry among those of the backend servers.
TEST_CASE("an odd registration makes its server absent", "[platform][odd]")
{
    const auto [field, value] = GENERATE(table<std::string, std::string>({
            { "slots", "18446744073709551615" },
            { "slots", "4611686018427387904" },
            { "slots", "1e300" },
            { "slots", "1e999999" },
            { "slow_start_ms", "1e300" },
            { "slow_start_ms", "9223372036854775807" },
            { "slow_start_ms", "1e999999" },
            { "sequence", "184467440737095516160" },
            { "born", "18446744073709551615" },
            { "born", "-1" },
            { "address", "\":80\"" },
            { "address", "\"10.128.0.9 :80\"" },
            { "address", "\"a host:80\"" },
            { "address", "\"backend.example:80\"" },
            { "address", "\"10.128.0.9:0\"" },
            { "address", "\"10.128.0.9:65536\"" },
            { "address", "\"10.128.0.9:184467440737095516160\"" },
            { "address", "\"10.128.0.9:-1\"" },
            { "service", "\"\"" },
            { "service", "\"a\\r\\nX-Other: 1\"" },
            { "zone", "\"\\u0000\"" },
            { "state", "[\"ready\"]" },
    }));
    CAPTURE(field, value);
    const StoreEntry entry = decode("servers/i-7", registration(field, value));
    REQUIRE(std::holds_alternative<AbsentServer>(entry.value));
    CHECK_FALSE(std::get<AbsentServer>(entry.value).problem.empty());
}

// Guards against a stack that overflows.
TEST_CASE("a deeply nested registration makes its server absent", "[platform][odd]")
{
    const std::size_t depth = GENERATE(40, 1000, 200'000);
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const std::string &value :
         { nested, std::string(depth, '['), registration("state", nested),
           registration("later", nested), registration("slots", nested) }) {
        const StoreEntry entry = decode("servers/i-7", value);
        const bool isUsed = std::holds_alternative<ServerEntry>(entry.value);
        CHECK((!isUsed || value == registration("later", nested)));
    }
}

// Guards against keys that end up in the header of a request to a server.
TEST_CASE("a registration under an odd key names no server to use", "[platform][odd]")
{
    const std::string key = GENERATE(as<std::string> {}, "servers/", "servers/i-1\r\nX-Other: 1",
                                     "servers/a b", "servers/\x7f", "servers/\xff");
    const StoreEntry entry = decode(key, registration("", ""));
    CHECK_FALSE(std::holds_alternative<ServerEntry>(entry.value));
}

// Guards against a host that does not exist and is elected to read the store for its failure
// domain.
TEST_CASE("an odd entry of a host is absent", "[platform][odd]")
{
    const std::string value = GENERATE(
            as<std::string> {},
            R"({"failureDomain":"shubra","peer":"10.0.0.1:1","linkMbps":1e300})",
            R"({"failureDomain":"shubra","peer":"10.0.0.1:1","linkMbps":18446744073709551615})",
            R"({"failureDomain":"shubra","peer":"10.0.0.1:1","linkMbps":-1})",
            R"({"failureDomain":"shubra","peer":"10.0.0.1:1","linkMbps":"20"})",
            R"({"failureDomain":"shubra","peer":":1"})",
            R"({"failureDomain":"","peer":"10.0.0.1:1"})");
    const StoreEntry entry = decode("hosts/h", value);
    CHECK(std::holds_alternative<AbsentEntry>(entry.value));
}

// Guards against an odd configuration that takes the place of a valid one.
TEST_CASE("a configuration with numbers out of range is absent", "[platform][odd]")
{
    const std::string number = GENERATE(as<std::string> {}, "1e300", "-1", "18446744073709551615");
    const std::string field = GENERATE(as<std::string> {}, "timeout_ms", "target_latency_ms",
                                       "max_attempts", "priority");
    json::object route { { "name", "a" },       { "host", "h" },
                         { "prefix", "/a/" },   { "type", "idempotent" },
                         { "timeout_ms", 400 }, { "target_latency_ms", 40 },
                         { "max_attempts", 2 }, { "priority", 1 },
                         { "service", "s1" } };
    route[field] = json::parse(number);
    const json::object configuration { { "version", 7 },
                                       { "routes", json::array { route } },
                                       { "services", json::array {} } };
    const StoreEntry entry = decode("op/config", json::serialize(configuration));
    CAPTURE(field, number);
    CHECK(std::holds_alternative<AbsentEntry>(entry.value));
}
