#include "platform/EntryDecoder.h"
#include "platform/StoreClient.h"

#include "http/RawPeers.h"
#include "standins/HttpServer.h"
#include "tests/BrokenResponses.h"
#include "tests/RecordingResponseObserver.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace greengagestair;
using namespace greengagestair::platform;
using namespace std::chrono_literals;

namespace {

/** A store client and a store that answers each call with a given body. */
class OddStoreFixture
{
public:
    OddStoreFixture()
        : m_server(open())
        , m_client({ "127.0.0.1", m_server->endpoint().port() },
                   [this](std::function<void()> function) {
                       boost::asio::post(m_context, std::move(function));
                   })
    {
    }

    StoreResult<StoreEntries> readAll()
    {
        std::optional<StoreResult<StoreEntries>> result;
        m_client.readAll([&](StoreResult<StoreEntries> answer) { result = std::move(answer); });
        return waitFor(result);
    }
    StoreResult<StoreEntries> awaitChanges()
    {
        std::optional<StoreResult<StoreEntries>> result;
        m_client.awaitChanges({ 5 }, 100ms, [&](StoreResult<StoreEntries> answer) {
            result = std::move(answer);
        });
        return waitFor(result);
    }
    StoreResult<LeaseGrant> grantLease()
    {
        std::optional<StoreResult<LeaseGrant>> result;
        m_client.grantLease(1s,
                            [&](StoreResult<LeaseGrant> answer) { result = std::move(answer); });
        return waitFor(result);
    }

    std::vector<std::string> bodies;
    std::string era = "1";
    std::size_t calls = 0;
    std::vector<std::string> targets;

private:
    std::shared_ptr<standins::HttpServer> open()
    {
        auto server = standins::HttpServer::create(
                m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 },
                [this](standins::HttpRequest request)
                        -> boost::asio::awaitable<std::optional<standins::HttpResponse>> {
                    ++calls;
                    targets.push_back(request.target);
                    co_return standins::HttpResponse { 200,
                                                       { { "Store-Era", era } },
                                                       bodies[std::min(calls, bodies.size()) - 1] };
                },
                standins::HttpServer::Limits {});
        server->open();
        return server;
    }

    template <typename Value>
    Value waitFor(std::optional<Value> &result)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!result && std::chrono::steady_clock::now() < end)
            m_context.run_for(10ms);
        REQUIRE(result);
        return *result;
    }

    boost::asio::io_context m_context { 1 };
    std::shared_ptr<standins::HttpServer> m_server;
    StoreClient m_client;
};

} // namespace

static const std::string kRegistration =
        R"({"service":"s1","address":"10.128.0.9:8080","zone":"shubra","slots":2,"state":"ready",)"
        R"("slow_start_ms":0,"sequence":1})";

static std::string item(const std::string &key)
{
    return R"({"key":")" + key + R"(","value":")" + encodeBase64(kRegistration)
            + R"(","rev":4,"created_rev":4,"lease":0})";
}

// Guards against a host that asks for the same page again and again.
TEST_CASE("pages that do not advance end a read", "[platform][odd]")
{
    OddStoreFixture fixture;
    const std::string odd = GENERATE(as<std::string> {}, R"({"value":"","rev":4})",
                                     R"({"key":7,"value":"","rev":4})", R"({"key":""})", "7");
    SECTION("the last item has no key")
    {
        fixture.bodies = {
            R"({"current_rev":5,"truncated":true,"items":[)" + item("servers/a") + "," + odd + "]}",
            R"({"current_rev":5,"truncated":false,"items":[)" + item("servers/b") + "]}"
        };
        const auto read = std::get<StoreEntries>(fixture.readAll());
        CHECK(read.entries.size() >= 2);
        CHECK(fixture.calls == 2);
        CHECK(fixture.targets.back().ends_with("after=servers/a"));
    }
    SECTION("no item has a key")
    {
        fixture.bodies = { R"({"current_rev":5,"truncated":true,"items":[)" + odd + "]}" };
        CHECK(std::get<StoreFailure>(fixture.readAll()) == StoreFailure::Unreadable);
        CHECK(fixture.calls == 1);
    }
    SECTION("the same page comes again")
    {
        fixture.bodies = { R"({"current_rev":5,"truncated":true,"items":[)" + item("servers/a")
                           + "]}" };
        CHECK(std::get<StoreFailure>(fixture.readAll()) == StoreFailure::Unreadable);
        CHECK(fixture.calls == 2);
    }
}

// Guards against an answer without its list that is taken for an empty store, or for no changes.
TEST_CASE("an answer of the store without its list is unreadable", "[platform][odd]")
{
    OddStoreFixture fixture;
    const std::string list = GENERATE(as<std::string> {}, "", "null", "{}", R"("")");
    CAPTURE(list);
    const auto body = [&](const std::string &name) {
        return R"({"current_rev":5)" + (list.empty() ? "" : ",\"" + name + "\":" + list) + "}";
    };
    fixture.bodies = { body("items") };
    CHECK(std::get<StoreFailure>(fixture.readAll()) == StoreFailure::Unreadable);
    fixture.bodies = { body("events") };
    CHECK(std::get<StoreFailure>(fixture.awaitChanges()) == StoreFailure::HistoryDropped);
    fixture.bodies = { R"({"current_rev":5,"items":[],"events":[]})" };
    CHECK(std::get<StoreEntries>(fixture.readAll()).entries.empty());
    CHECK(std::get<StoreEntries>(fixture.awaitChanges()).entries.empty());
}

// Guards against hosts that follow the store no more because of one unreadable key.
TEST_CASE("a page with one odd item is read but for that item", "[platform][odd]")
{
    OddStoreFixture fixture;
    const std::string odd = GENERATE(
            as<std::string> {},
            R"({"key":"servers/)"
            "\xff\xfe"
            R"(","value":"e30=","rev":4})",
            R"({"key":"servers/x","value":{"a":[[[[]]]]},"rev":4})",
            R"({"key":"servers/x","value":"e30=","rev":18446744073709551615,"lease":1e300})",
            "null");
    fixture.bodies = { R"({"current_rev":5,"truncated":false,"items":[)" + item("servers/a") + ","
                       + odd + "," + item("servers/b") + "]}" };
    const auto read = std::get<StoreEntries>(fixture.readAll());
    std::size_t servers = 0;
    for (const StoreEntry &entry : read.entries)
        servers += std::holds_alternative<ServerEntry>(entry.value) ? 1 : 0;
    CHECK(servers == 2);
}

// Guards against a watch that is repeated for ever because its answer cannot be read.
TEST_CASE("changes that cannot be read lead to a read of all entries", "[platform][odd]")
{
    OddStoreFixture fixture;
    SECTION("too large")
    {
        fixture.bodies = { R"({"current_rev":5,"events":[{"key":"servers/a","value":")"
                           + std::string(9'000'000, 'A') + R"("}]})" };
    }
    SECTION("nested too deeply")
    {
        fixture.bodies = { R"({"current_rev":5,"events":)" + std::string(5000, '[')
                           + std::string(5000, ']') + "}" };
    }
    SECTION("not JSON")
    {
        fixture.bodies = { R"({"current_rev":5,"events":[)" };
    }
    CHECK(std::get<StoreFailure>(fixture.awaitChanges()) == StoreFailure::HistoryDropped);
}

// Guards against positions that no answer states.
TEST_CASE("an answer without a readable position is no answer", "[platform][odd]")
{
    OddStoreFixture fixture;
    const std::string revision = GENERATE(as<std::string> {}, "0", "-1", "1e300", "\"5\"", "null");
    fixture.bodies = { R"({"items":[],"current_rev":)" + revision + "}" };
    SECTION("revision") { }
    SECTION("era")
    {
        fixture.bodies = { R"({"items":[],"current_rev":5})" };
        fixture.era = GENERATE(as<std::string> {}, "-1", "x", "18446744073709551616", "1.5");
    }
    CHECK(std::get<StoreFailure>(fixture.readAll()) == StoreFailure::Unreadable);
}

// Guards against a process that ends because of a number that cannot be converted.
TEST_CASE("a lease with an odd time to live is not taken", "[platform][odd]")
{
    OddStoreFixture fixture;
    const std::string ttl =
            GENERATE(as<std::string> {}, "1.5", "1e300", "-5", "18446744073709551615", "\"x\"");
    fixture.bodies = { R"({"lease":5,"ttl_ms":)" + ttl + "}" };
    CHECK(std::holds_alternative<StoreFailure>(fixture.grantLease()));
}

// Guards against a broken response of the store that is taken for its entries, or for a write or a
// lease that it accepted or refused.
TEST_CASE("a broken response of the store is unreadable", "[platform][broken]")
{
    boost::asio::io_context context { 1 };
    RawServer server(context);
    RecordingResponseObserver observer;
    StoreClient client({ "127.0.0.1", server.port() }, [&](std::function<void()> function) {
        boost::asio::post(context, std::move(function));
    });
    client.setObserver(&observer);
    std::size_t calls = 0;
    for (const BrokenResponse &broken : brokenResponses()) {
        INFO(broken.name);
        const auto failureOf = [&](const auto &start) {
            std::optional<StoreFailure> failure;
            start([&](const auto &result) {
                REQUIRE(std::holds_alternative<StoreFailure>(result));
                failure = std::get<StoreFailure>(result);
            });
            // Each call comes on a connection of its own, as broken ones are not used again.
            runUntil(context, [&] {
                return server.peers.size() == calls + 1 && !server.peers[calls]->received.empty();
            });
            server.peers[calls++]->write(broken.bytes);
            runUntil(context, [&] { return failure.has_value(); });
            return *failure;
        };
        CHECK(failureOf([&](auto done) { client.readAll(done); }) == StoreFailure::Unreadable);
        // An unreadable watch leads to a read of all entries.
        CHECK(failureOf([&](auto done) { client.awaitChanges({ 5 }, 100ms, done); })
              == StoreFailure::HistoryDropped);
        CHECK(failureOf([&](auto done) { client.grantLease(1s, done); })
              == StoreFailure::Unreadable);
        CHECK(failureOf([&](auto done) { client.renewLease(7, done); })
              == StoreFailure::Unreadable);
        CHECK(failureOf([&](auto done) { client.writeRollout({}, done); })
              == StoreFailure::Unreadable);
        CHECK(observer.responses().size() == calls);
    }
    client.stop();
}
