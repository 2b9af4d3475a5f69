#include "platform/StoreClient.h"

#include "http/RawPeers.h"
#include "standins/RegistryStandIn.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace greengagestair;
using namespace greengagestair::platform;
using namespace std::chrono_literals;

namespace {

/** A store client and a stand-in for the platform's store on one event loop. */
class StoreClientFixture
{
public:
    StoreClientFixture()
        : standIn(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , client({ "127.0.0.1", standIn.endpoint().port() },
                 [this](std::function<void()> function) {
                     boost::asio::post(context, std::move(function));
                 })
    {
    }

    /** Runs the event loop until `result` is set; fails the test after 20 seconds. */
    template <typename Value>
    Value waitFor(std::optional<Value> &result)
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!result && std::chrono::steady_clock::now() < end)
            context.run_for(10ms);
        REQUIRE(result);
        return *result;
    }

    StoreResult<StoreEntries> readAll()
    {
        std::optional<StoreResult<StoreEntries>> result;
        client.readAll([&](StoreResult<StoreEntries> answer) { result = std::move(answer); });
        return waitFor(result);
    }

    StoreResult<StoreEntries> awaitChanges(Revision revision, Duration wait = 500ms)
    {
        std::optional<StoreResult<StoreEntries>> result;
        client.awaitChanges(revision, wait,
                            [&](StoreResult<StoreEntries> answer) { result = std::move(answer); });
        return waitFor(result);
    }

    boost::asio::io_context context { 1 };
    standins::RegistryStandIn standIn;
    StoreClient client;
};

} // namespace

TEST_CASE("all pages are read, and a watch returns the changes since the first page", "[platform]")
{
    StoreClientFixture fixture;
    fixture.standIn.setPageSize(3);
    for (int i = 0; i < 8; ++i)
        fixture.standIn.put("hosts/h" + std::to_string(i),
                            R"({"failureDomain":"shubra","peer":"10.0.0.1:7740"})");
    const auto read = std::get<StoreEntries>(fixture.readAll());
    CHECK(read.entries.size() == 8);
    CHECK(fixture.standIn.calls("/kv-range") == 3);
    fixture.standIn.remove("hosts/h3");
    const auto changes = std::get<StoreEntries>(fixture.awaitChanges(read.position.revision));
    REQUIRE(changes.entries.size() == 1);
    CHECK(changes.entries.front().key == "hosts/h3");
    CHECK(changes.position > read.position);
}

TEST_CASE("a watch without changes ends after its wait with the same revision", "[platform]")
{
    StoreClientFixture fixture;
    const auto read = std::get<StoreEntries>(fixture.readAll());
    const auto changes = std::get<StoreEntries>(fixture.awaitChanges(read.position.revision, 30ms));
    CHECK(changes.entries.empty());
    CHECK(changes.position == read.position);
}

TEST_CASE("a read and a watch state the era of the store", "[platform]")
{
    StoreClientFixture fixture;
    fixture.standIn.put("hosts/a", "{}");
    fixture.standIn.keepCopy();
    const auto before = std::get<StoreEntries>(fixture.readAll());
    fixture.standIn.put("hosts/b", "{}");
    fixture.standIn.put("hosts/c", "{}");
    fixture.standIn.goBack();
    const auto after = std::get<StoreEntries>(fixture.readAll());
    CHECK(after.position.revision == before.position.revision);
    CHECK(after.position.era > before.position.era);
    CHECK(after.entries.size() == 1);
    const auto watch = fixture.awaitChanges(after.position.revision, 10ms);
    CHECK(std::get<StoreEntries>(watch).position == after.position);
    CHECK(std::get<StoreFailure>(fixture.awaitChanges({ after.position.revision.value + 2 }))
          == StoreFailure::HistoryDropped);
}

TEST_CASE("each failure of the store is reported as its own kind", "[platform]")
{
    StoreClientFixture fixture;
    SECTION("the history was dropped")
    {
        fixture.standIn.put("hosts/a", "{}");
        fixture.standIn.dropHistory();
        CHECK(std::get<StoreFailure>(fixture.awaitChanges({ 1 })) == StoreFailure::HistoryDropped);
    }
    SECTION("the store refuses calls")
    {
        fixture.standIn.setMode(standins::RegistryStandIn::Mode::Refuse);
        CHECK(std::get<StoreFailure>(fixture.readAll()) == StoreFailure::Refused);
    }
    SECTION("the store does not answer")
    {
        fixture.standIn.setMode(standins::RegistryStandIn::Mode::Hang);
        CHECK(std::get<StoreFailure>(fixture.readAll()) == StoreFailure::Unreachable);
        fixture.standIn.setMode(standins::RegistryStandIn::Mode::Up);
    }
}

TEST_CASE("the entry of a host exists until its lease ends", "[platform]")
{
    StoreClientFixture fixture;
    std::optional<StoreResult<LeaseGrant>> granted;
    fixture.client.grantLease(10s, [&](StoreResult<LeaseGrant> answer) { granted = answer; });
    const auto grant = std::get<LeaseGrant>(fixture.waitFor(granted));
    CHECK(grant.timeToLive == 10s);
    std::optional<StoreResult<StoreDone>> done;
    const auto onDone = [&](StoreResult<StoreDone> answer) { done = answer; };
    fixture.client.announceHost({ { "edge-1" }, { "shubra" }, { "10.0.0.1", 7740 } }, grant.lease,
                                onDone);
    CHECK(std::holds_alternative<StoreDone>(fixture.waitFor(done)));
    CHECK(fixture.standIn.contains("hosts/edge-1"));
    done.reset();
    fixture.client.renewLease(grant.lease, onDone);
    CHECK(std::holds_alternative<StoreDone>(fixture.waitFor(done)));
    done.reset();
    fixture.client.endLease(grant.lease, onDone);
    CHECK(std::holds_alternative<StoreDone>(fixture.waitFor(done)));
    CHECK_FALSE(fixture.standIn.contains("hosts/edge-1"));
    done.reset();
    fixture.client.renewLease(grant.lease, onDone);
    CHECK(std::get<StoreFailure>(fixture.waitFor(done)) == StoreFailure::LeaseEnded);
}

namespace {

/** A store client with a store whose answers and silence the test decides. */
class SilentStoreFixture
{
public:
    SilentStoreFixture()
        : store(context)
        , client({ "127.0.0.1", store.port() }, [this](std::function<void()> function) {
            boost::asio::post(context, std::move(function));
        })
    {
    }

    void watch()
    {
        result.reset();
        client.awaitChanges({ 5 }, 100ms,
                            [this](const StoreResult<StoreEntries> &answer) { result = answer; });
    }
    /** Answers on the connection with this index, once it has received `requests` in all. */
    void answerOn(std::size_t connection, std::size_t requests)
    {
        const auto hasRequests = [&] {
            return store.peers.size() > connection
                    && countRequests(store.peers[connection]->received) == requests;
        };
        runUntil(context, hasRequests);
        const std::string body = R"({"events":[],"current_rev":5})";
        store.peers[connection]->write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                       "Content-Length: "
                                       + std::to_string(body.size()) + "\r\n\r\n" + body);
        runUntil(context, [this] { return result.has_value(); });
        CHECK(std::holds_alternative<StoreEntries>(*result));
    }
    static std::size_t countRequests(const std::string &received)
    {
        std::size_t count = 0;
        for (auto at = received.find("GET "); at != std::string::npos;
             at = received.find("GET ", at + 1))
            ++count;
        return count;
    }

    boost::asio::io_context context { 1 };
    RawServer store;
    StoreClient client;
    std::optional<StoreResult<StoreEntries>> result;
};

} // namespace

// Guards against a host that takes over the watch of the store on a connection that has gone silent
// while it was idle.
TEST_CASE("a read after a pause uses a new connection", "[platform]")
{
    SilentStoreFixture fixture;
    fixture.watch();
    fixture.answerOn(0, 1);
    fixture.watch();
    fixture.answerOn(0, 2);
    fixture.context.restart();
    fixture.context.run_for(1200ms);
    fixture.watch();
    fixture.answerOn(1, 1);
    fixture.context.restart();
    fixture.context.run_for(1200ms);
    fixture.watch();
    fixture.answerOn(2, 1);
    CHECK(SilentStoreFixture::countRequests(fixture.store.peers[0]->received) == 2);
    CHECK(SilentStoreFixture::countRequests(fixture.store.peers[1]->received) == 1);
}

// Guards against a second wait for the answer to a call on a silent connection.
TEST_CASE("a read that got no answer is followed by one on a new connection", "[platform]")
{
    SilentStoreFixture fixture;
    fixture.watch();
    fixture.answerOn(0, 1);
    fixture.watch();
    runUntil(fixture.context, [&] { return fixture.result.has_value(); });
    CHECK(std::holds_alternative<StoreFailure>(*fixture.result));
    fixture.watch();
    fixture.answerOn(1, 1);
}

// Guards against a decision that overwrites another one, and against a status without its state.
TEST_CASE("a state of a roll-out is written with its status, if nothing has changed", "[platform]")
{
    StoreClientFixture fixture;
    fixture.standIn.put("op/rollout/s1",
                        R"({"service":"s1","target_version":"v2","duration_s":20})");
    const auto write = [&fixture](const RolloutWrite &wanted) {
        std::optional<StoreResult<Revision>> result;
        fixture.client.writeRollout(wanted, [&](const auto &answer) { result = answer; });
        return fixture.waitFor(result);
    };
    const auto find = [&fixture](const std::string &key) {
        const auto all = std::get<StoreEntries>(fixture.readAll());
        for (const StoreEntry &entry : all.entries) {
            if (entry.key == key)
                return entry;
        }
        return StoreEntry {};
    };
    const auto ordered = std::get<RolloutOrderEntry>(find("op/rollout/s1").value).order;
    RolloutState state;
    state.service = { "s1" };
    state.targetVersion = "v2";
    state.orderRevision = ordered.revision;
    CHECK(std::get<StoreFailure>(write({ state, { 1 } })) == StoreFailure::Conflict);
    CHECK_FALSE(fixture.standIn.contains("status/rollout/s1"));
    const auto revision = std::get<Revision>(write({ state, ordered.revision }));
    CHECK(fixture.standIn.contains("status/rollout/s1"));
    CHECK(std::get<RolloutStateEntry>(find("rollout/s1").value).state.revision == revision);
    // The same decision again, as if its answer had been lost.
    CHECK(std::get<StoreFailure>(write({ state, ordered.revision })) == StoreFailure::Conflict);
    state.revision = revision;
    state.phase = RolloutPhase::Exposing;
    CHECK(std::holds_alternative<Revision>(write({ state, ordered.revision })));
    fixture.standIn.remove("op/rollout/s1");
    CHECK(std::get<StoreFailure>(write({ state, ordered.revision })) == StoreFailure::Conflict);
}
