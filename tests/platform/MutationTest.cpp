#include "codec/FrameCodec.h"
#include "platform/EntryDecoder.h"
#include "platform/StoreAnswer.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>

using namespace greengagestair;
using namespace greengagestair::platform;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

/** Draws mutations of JSON values: odd values in place of parts, missing and additional parts. */
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::size_t below(std::size_t limit) { return m_random() % limit; }

    void mutate(json::value &value)
    {
        if (below(3) == 0 || value.is_primitive()) {
            value = oddValue();
        } else if (auto *object = value.if_object(); object && !object->empty()) {
            const auto member =
                    std::next(object->begin(), static_cast<std::ptrdiff_t>(below(object->size())));
            if (below(4) == 0)
                object->erase(member);
            else
                mutate(member->value());
        } else if (auto *array = value.if_array(); array && !array->empty()) {
            mutate((*array)[below(array->size())]);
        }
    }

    /** Changes some bytes, cuts the text off, or repeats a part of it. */
    std::string mutateText(std::string text)
    {
        for (std::size_t change = below(4); change > 0 && !text.empty(); --change) {
            const std::size_t place = below(text.size());
            if (below(8) == 0)
                text.resize(place);
            else if (below(8) == 0)
                text.insert(place, text.substr(place, below(40)));
            else
                text[place] = static_cast<char>(m_random());
        }
        return text;
    }

private:
    json::value oddValue()
    {
        static const std::vector<std::string> kTexts { "null",
                                                       "true",
                                                       "-1",
                                                       "0",
                                                       "0.5",
                                                       "1e300",
                                                       "-1e300",
                                                       "5e-324",
                                                       "18446744073709551615",
                                                       "-9223372036854775808",
                                                       "9223372036854775807",
                                                       "4611686018427387904",
                                                       "[]",
                                                       "{}",
                                                       "\"\"",
                                                       R"("\u0000")",
                                                       R"("a\r\nb: c")",
                                                       R"("ready")",
                                                       R"("1.2.3.4:80")",
                                                       R"("1.2.3.4:65536")",
                                                       R"(":80")",
                                                       R"("[::1]:80")",
                                                       R"([[[[[[[[]]]]]]]])",
                                                       R"({"a":{"a":{"a":{}}}})" };
        if (below(20) == 0)
            return json::string(std::string(1 + below(100'000), 'x'));
        return json::parse(kTexts[below(kTexts.size())]);
    }

    std::mt19937_64 m_random;
};

} // namespace

static const char *const kValues[] = {
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"shubra","version":"v1","slots":2,
        "state":"ready","slow_start_ms":1500,"sequence":4,"born":1700000000123})",
    R"({"failureDomain":"shubra","peer":"10.0.0.1:7740","linkMbps":20})",
    R"({"version":7,"routes":[{"name":"a","host":"h","prefix":"/a/","type":"idempotent",
        "timeout_ms":400,"target_latency_ms":40,"priority":2,"gather":["s1","s2"],"max_attempts":2,
        "top_k":5,"min_coverage":0.75},{"name":"c","host":"h","prefix":"/c/",
        "type":"non_idempotent","timeout_ms":2500,"target_latency_ms":250,"priority":0,
        "max_attempts":1,"split":[{"service":"s1","weight":3},{"service":"s2","weight":0.5}]}],
        "services":[{"name":"s1","max_conns":26,"warmup_per_s":4.5}],
        "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}})"
};
static const char *const kKeys[] = { "servers/i-7", "hosts/edge-1", "op/config" };

static void checkTime(Duration time)
{
    REQUIRE(time >= Duration(0));
    REQUIRE(time <= Duration(24h));
}

/** Checks the bounds of all that a host computes with. */
static void check(const StoreEntry &entry)
{
    if (const auto *server = std::get_if<ServerEntry>(&entry.value)) {
        const BackendRegistration &registration = server->registration;
        checkTime(registration.coldFor);
        REQUIRE(registration.slots >= 1);
        REQUIRE(registration.slots <= 1'000'000'000);
        REQUIRE(registration.endpoint.port > 0);
        REQUIRE_FALSE(registration.endpoint.address.empty());
        REQUIRE(registration.server.value.find_first_of("\r\n ") == std::string::npos);
        REQUIRE_FALSE(registration.service.empty());
    } else if (const auto *host = std::get_if<HostEntry>(&entry.value)) {
        REQUIRE(host->linkMbps >= 0);
        REQUIRE(host->linkMbps <= 1e6);
    } else if (const auto *configuration = std::get_if<ConfigurationEntry>(&entry.value)) {
        for (const GatewayRoute &route : configuration->configuration->routes) {
            checkTime(route.timeout);
            checkTime(route.latencyTarget);
            REQUIRE(route.maxAttempts >= 1);
            REQUIRE(route.urgencyRank >= 0);
        }
        checkTime(configuration->configuration->limits.idleTimeout);
    }
}

static std::size_t cases()
{
    const char *text = std::getenv("MUTATION_CASES");
    return text ? std::strtoul(text, nullptr, 10) : 30'000;
}

static std::uint64_t firstSeed()
{
    const char *text = std::getenv("MUTATION_SEED");
    return text ? std::strtoul(text, nullptr, 10) : 20261205;
}

static json::value parsed(const char *text)
{
    return json::parse(text);
}

// Guards against a process that ends, or computes with numbers out of range, because of one entry.
TEST_CASE("mutated entries are decoded within their bounds or absent", "[platform][fuzz]")
{
    Mutator mutator(firstSeed());
    std::size_t decoded = 0;
    for (std::size_t run = 0; run < cases(); ++run) {
        const std::size_t kind = mutator.below(std::size(kValues));
        json::value value = parsed(kValues[kind]);
        for (std::size_t change = mutator.below(3); change > 0; --change)
            mutator.mutate(value);
        const std::string text = mutator.mutateText(json::serialize(value));
        const std::string key =
                mutator.below(10) == 0 ? mutator.mutateText(kKeys[kind]) : kKeys[kind];
        json::value item = json::object { { "key", key }, { "value", encodeBase64(text) } };
        if (mutator.below(10) == 0)
            mutator.mutate(item);
        const StoreEntry entry = decodeEntry(item);
        check(entry);
        decoded += std::holds_alternative<AbsentServer>(entry.value) ? 0 : 1;
    }
    CHECK(decoded > cases() / 10);
}

// Guards against an odd item that makes others of its answer unreadable.
TEST_CASE("mutated items of an answer cost no other item", "[platform][fuzz]")
{
    Mutator mutator(firstSeed() + 1);
    for (std::size_t run = 0; run < cases(); ++run) {
        json::array items;
        const std::size_t odd = mutator.below(4);
        for (std::size_t index = 0; index < 4; ++index) {
            json::value item = json::object { { "key", "servers/i-" + std::to_string(index) },
                                              { "value", encodeBase64(kValues[0]) },
                                              { "rev", 4 } };
            if (index == odd)
                mutator.mutate(item);
            items.push_back(item);
        }
        HttpResponse response;
        response.end = HttpCompletion::Answered;
        response.status = 200;
        response.headers["store-era"] = "2";
        const bool isPage = mutator.below(2) == 0;
        response.body = json::serialize(
                json::object { { isPage ? "items" : "events", items }, { "current_rev", 9 } });
        const auto answer = decodeAnswer(response);
        std::vector<StoreEntry> entries;
        if (isPage)
            entries = std::get<StorePage>(decodePage(answer)).entries;
        else
            entries = std::get<StoreEntries>(decodeChanges(answer)).entries;
        std::size_t servers = 0;
        for (const StoreEntry &entry : entries) {
            check(entry);
            servers += std::holds_alternative<ServerEntry>(entry.value) ? 1 : 0;
        }
        REQUIRE(servers >= 3);
    }
}

// Guards against a process that ends because of an answer of the store.
TEST_CASE("mutated answers of the store are decoded or rejected", "[platform][fuzz]")
{
    Mutator mutator(firstSeed() + 2);
    const json::object item { { "key", kKeys[0] }, { "value", encodeBase64(kValues[0]) } };
    for (std::size_t run = 0; run < cases(); ++run) {
        json::value body = json::object { { "items", json::array { item, item } },
                                          { "events", json::array { item } },
                                          { "truncated", true },
                                          { "current_rev", 9 },
                                          { "lease", 7 },
                                          { "ttl_ms", 15'000 } };
        for (std::size_t change = mutator.below(3); change > 0; --change)
            mutator.mutate(body);
        HttpResponse response;
        response.end = HttpCompletion::Answered;
        response.status = 200;
        response.headers["store-era"] = mutator.mutateText("12");
        response.body = mutator.mutateText(json::serialize(body));
        const auto answer = decodeAnswer(response);
        const auto page = decodePage(answer);
        if (const auto *read = std::get_if<StorePage>(&page)) {
            REQUIRE(read->position.revision.value > 0);
            for (const StoreEntry &entry : read->entries)
                check(entry);
        }
        const auto changes = decodeChanges(answer);
        if (const auto *read = std::get_if<StoreEntries>(&changes))
            REQUIRE(read->position.revision.value > 0);
        const auto lease = decodeLease(answer);
        if (const auto *grant = std::get_if<LeaseGrant>(&lease))
            checkTime(grant->timeToLive);
    }
}

// Guards against a process that ends because of changes that another host passes on.
TEST_CASE("mutated changes of another host are decoded or rejected", "[platform][fuzz]")
{
    Mutator mutator(firstSeed() + 3);
    const std::string item = json::serialize(
            json::object { { "key", kKeys[0] }, { "value", encodeBase64(kValues[0]) } });
    for (std::size_t run = 0; run < cases() / 3; ++run) {
        PeerEnvelope envelope;
        envelope.sender = { "h1" };
        envelope.message = StoreChanges { { { 5 }, { 1 } },
                                          { { 9 }, { 1 } },
                                          { mutator.mutateText(item), item } };
        const auto frame = FrameCodec::encode(envelope);
        REQUIRE(frame);
        std::string bytes(frame->begin(), frame->end());
        bytes = mutator.mutateText(bytes.substr(4));
        const std::vector<std::uint8_t> body(bytes.begin(), bytes.end());
        const auto decoded = FrameCodec::decodeBody(body);
        if (!decoded)
            continue;
        if (const auto *changes = std::get_if<StoreChanges>(&decoded->message)) {
            for (const std::string &encoded : changes->entries) {
                json::error_code error;
                const json::value value = json::parse(encoded, error);
                if (!error)
                    check(decodeEntry(value));
            }
        }
    }
}
