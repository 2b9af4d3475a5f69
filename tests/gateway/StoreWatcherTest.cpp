#include "gateway/StoreWatcher.h"
#include "gateway/HostAnnouncer.h"
#include "gateway/StoreRoleElection.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** Keeps the calls, so that a test can answer them. */
class FakeStore : public RegistryStore
{
public:
    using OnEntries = std::function<void(StoreResult<StoreEntries>)>;
    using OnDone = std::function<void(StoreResult<StoreDone>)>;

    void readAll(OnEntries done) override
    {
        ++reads;
        read = std::move(done);
    }
    StoreEntry decode(const std::string &encoded) const override
    {
        BackendRegistration registration;
        registration.server = { encoded };
        return { "servers/" + encoded, ServerEntry { registration }, encoded };
    }
    void awaitChanges(Revision after, Duration, OnEntries done) override
    {
        ++watches;
        watchedAfter = after;
        watch = std::move(done);
    }
    void grantLease(Duration, std::function<void(StoreResult<LeaseGrant>)> done) override
    {
        grant = std::move(done);
    }
    void renewLease(std::uint64_t, OnDone done) override { renew = std::move(done); }
    void announceHost(const HostEntry &, std::uint64_t, OnDone done) override
    {
        ++announcements;
        announce = std::move(done);
    }
    void endLease(std::uint64_t lease, OnDone) override { ended = lease; }

    int reads = 0;
    int watches = 0;
    int announcements = 0;
    Revision watchedAfter;
    OnEntries read;
    OnEntries watch;
    std::function<void(StoreResult<LeaseGrant>)> grant;
    OnDone renew;
    OnDone announce;
    std::optional<std::uint64_t> ended;
};

class Follower
{
public:
    Follower()
        : m_follower(
                store, [this](GatewayEvent event) { events.push_back(event); },
                [this](const LogRecord &decision) { log.emplace_back(decision.event); },
                [this](const StoreChanges &changes) { shared.push_back(changes); }, [] {}, 1)
    {
    }

    void wait(Duration duration)
    {
        now += duration;
        m_follower.advance(now);
    }

    template <typename Kind>
    std::vector<Kind> take()
    {
        std::vector<Kind> kinds;
        for (const GatewayEvent &event : events) {
            if (const auto *kind = std::get_if<Kind>(&event))
                kinds.push_back(*kind);
        }
        events.clear();
        return kinds;
    }

    FakeStore store;
    MonotonicTime now { 1s };
    std::vector<GatewayEvent> events;
    std::vector<std::string> log;
    std::vector<StoreChanges> shared;

    void take(const StoreChanges &changes) { m_follower.applySharedChanges(changes, now); }
    void setRole(StoreRole role) { m_follower.setRole(role, now); }
    void applySnapshot(const StoreChanges &changes) { m_follower.applySnapshot(changes, now); }
    std::optional<StoreChanges> snapshot() const { return m_follower.snapshot(); }
    bool needsSnapshot() const { return m_follower.needsSnapshot(); }

private:
    StoreWatcher m_follower;
};

} // namespace

static StoreEntry server(const std::string &name)
{
    BackendRegistration registration;
    registration.server = { name };
    return { "servers/" + name, ServerEntry { registration }, name };
}

TEST_CASE("all entries are read once, then changes from that revision on", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    REQUIRE(follower.store.reads == 1);
    follower.store.read(StoreEntries { { server("a"), server("b") }, { 10 } });
    CHECK(follower.take<RegistrationsRead>().front().registrations.size() == 2);
    follower.wait(1s);
    CHECK(follower.store.watchedAfter == Revision { 10 });
    follower.store.watch(
            StoreEntries { { { "servers/a", AbsentServer { { "a" }, {} }, "" } }, { 11 } });
    CHECK(follower.take<RegistrationRemoved>().front().server == ServerId { "a" });
    follower.wait(1s);
    CHECK(follower.store.watchedAfter == Revision { 11 });
    CHECK(follower.store.reads == 1);
}

// Guards against a host that goes on with old entries after the store dropped the changes.
TEST_CASE("dropped history leads to a new read of all entries at once", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries { { server("a") }, { 10 } });
    follower.wait(1s);
    follower.store.watch(StoreFailure::HistoryDropped);
    follower.wait(0ms);
    CHECK(follower.store.reads == 2);
}

// Guards against a rush of calls while the store is away.
TEST_CASE("failed calls are repeated with growing pauses and logged once", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries { {}, { 10 } });
    follower.wait(1s);
    int calls = 0;
    for (Duration waited {}; waited < 10s; waited += 10ms) {
        if (auto watch = std::exchange(follower.store.watch, nullptr)) {
            ++calls;
            watch(StoreFailure::Refused);
        }
        follower.wait(10ms);
    }
    CHECK(calls > 10);
    CHECK(calls < 30);
    CHECK(follower.log == std::vector<std::string> { "storeLost" });
    follower.wait(1s);
    follower.store.watch(StoreEntries { {}, { 12 } });
    CHECK(follower.log.back() == "storeRegained");
}

// Guards against a rush of calls of all hosts while the store is away.
TEST_CASE("readers call a store that is away more rarely than the caller", "[gateway]")
{
    Follower follower;
    follower.setRole(StoreRole::Subscriber);
    follower.wait(0ms);
    follower.store.read(StoreEntries { {}, { 10 } });
    int calls = 0;
    for (Duration waited {}; waited < 10s; waited += 10ms) {
        if (auto watch = std::exchange(follower.store.watch, nullptr)) {
            ++calls;
            watch(StoreFailure::Refused);
        }
        follower.wait(10ms);
    }
    CHECK(calls >= 3);
    CHECK(calls <= 8);
}

TEST_CASE("failure domains out of service are the entries that exist", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries {
            { { "op/evacuate/bulaq", EvacuationEntry { { "bulaq" } }, "" } }, { 10 } });
    CHECK(follower.take<EvacuationsRead>().front().failureDomains.size() == 1);
    follower.wait(1s);
    follower.store.watch(StoreEntries { { { "op/evacuate/bulaq", AbsentEntry {}, "" } }, { 11 } });
    CHECK(follower.take<EvacuationsRead>().front().failureDomains.empty());
}

// Guards against one foreign entry that hides the others.
TEST_CASE("an unreadable entry is logged and the others hold", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries {
            { { "servers/x", AbsentServer { { "x" }, "expected text" }, "" }, server("a") },
            { 10 } });
    CHECK(follower.take<RegistrationsRead>().front().registrations.size() == 1);
}

TEST_CASE("hosts that are present are read", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    const HostEntry host { { "a" }, { "shubra" }, { "10.0.0.1", 7000 }, 0 };
    follower.store.read(StoreEntries { { { "hosts/a", host, "" } }, { 10 } });
    CHECK(follower.take<HostsRead>().front().hosts == std::vector { host });
}

// Guards against calls that grow with the number of hosts.
TEST_CASE("while another host shares its changes, no call is made", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries { { server("a") }, { 10 } });
    for (std::uint64_t revision = 10; revision < 30; ++revision) {
        follower.take({ { revision }, { revision + 1 }, { "b" + std::to_string(revision) } });
        follower.wait(1s);
    }
    CHECK(follower.store.watches == 0);
    CHECK(follower.take<RegistrationWritten>().size() == 20);
    // Without news for 1.6 to 2.1 s the host looks for itself.
    follower.wait(500ms);
    CHECK(follower.store.watches == 0);
    follower.wait(600ms);
    CHECK(follower.store.watchedAfter == Revision { 30 });
}

// Guards against a call of each host of a failure domain whenever one of them starts.
TEST_CASE("a reader waits for news after it has read all entries", "[gateway]")
{
    Follower follower;
    follower.setRole(StoreRole::Subscriber);
    follower.wait(0ms);
    REQUIRE(follower.store.reads == 1);
    follower.store.read(StoreEntries { { server("a") }, { 10 } });
    follower.wait(1500ms);
    CHECK(follower.store.watches == 0);
    follower.wait(700ms);
    CHECK(follower.store.watches == 1);
}

// Guards against a call of each reader while the host that calls the store is away.
TEST_CASE("a reader without news calls the store for its neighbours until it hears of it",
          "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries { { server("a") }, { 10 } });
    follower.setRole(StoreRole::Subscriber);
    follower.wait(2200ms);
    REQUIRE(follower.store.watches == 1);
    follower.store.watch(StoreEntries { { server("b") }, { 11 } });
    REQUIRE(follower.shared.size() == 1);
    CHECK(follower.shared.front() == StoreChanges { { 10 }, { 11 }, { "b" } });
    follower.wait(600ms);
    CHECK(follower.store.watches == 2);
    follower.take({ { 11 }, { 12 }, { "c" } });
    follower.store.watch(StoreEntries { {}, { 12 } });
    follower.wait(1s);
    CHECK(follower.store.watches == 2);
}

// Guards against changes that are missed, or that older ones follow.
TEST_CASE("shared changes with a gap are read from the store, old ones are ignored", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries { { server("a") }, { 10 } });
    follower.events.clear();
    follower.take({ { 12 }, { 13 }, { "b" } });
    CHECK(follower.events.empty());
    follower.wait(500ms);
    CHECK(follower.store.watchedAfter == Revision { 10 });
    follower.take({ { 9 }, { 20 }, { "c" } });
    CHECK(follower.take<RegistrationWritten>().size() == 1);
    follower.store.watch(StoreEntries { { server("old") }, { 15 } });
    follower.take({ { 9 }, { 18 }, { "older" } });
    CHECK(follower.events.empty());
    CHECK(follower.shared.empty());
}

TEST_CASE("a host shares what it reads, and that there is nothing new", "[gateway]")
{
    Follower follower;
    follower.setRole(StoreRole::Publisher);
    follower.wait(0ms);
    follower.store.read(StoreEntries { {}, { 10 } });
    follower.wait(1s);
    follower.store.watch(StoreEntries { { server("a") }, { 11 } });
    follower.wait(1s);
    follower.store.watch(StoreEntries { {}, { 11 } });
    REQUIRE(follower.shared.size() == 2);
    CHECK(follower.shared[0] == StoreChanges { { 10 }, { 11 }, { "a" } });
    CHECK(follower.shared[1] == StoreChanges { { 11 }, { 11 }, {} });
}

// Guards against a process that serves nothing until the store is back, though others know all.
TEST_CASE("a host that cannot reach the store starts from another host's entries", "[gateway]")
{
    Follower source;
    source.wait(0ms);
    CHECK_FALSE(source.snapshot());
    source.store.read(StoreEntries { { server("a"), server("b") }, { 10 } });
    source.take({ { 10 }, { 11 }, { "c" } });
    const auto snapshot = source.snapshot();
    REQUIRE(snapshot);

    Follower follower;
    follower.wait(0ms);
    CHECK_FALSE(follower.needsSnapshot());
    follower.store.read(StoreFailure::Refused);
    CHECK(follower.needsSnapshot());
    follower.applySnapshot(*snapshot);
    CHECK(follower.take<RegistrationsRead>().front().registrations.size() == 3);
    CHECK_FALSE(follower.needsSnapshot());
    follower.wait(1s);
    CHECK(follower.store.watchedAfter == Revision { 11 });
}

// Guards against a failure domain in which nobody calls the store, or everybody does.
TEST_CASE("hosts with the same view agree on who calls the store", "[gateway]")
{
    const std::size_t size = GENERATE(1, 2, 3, 4, 30);
    std::vector<HostEntry> hosts;
    for (std::size_t i = 0; i < size; ++i)
        hosts.push_back({ { "h" + std::to_string(i) }, { "shubra" }, {}, 0 });
    hosts.push_back({ { "far" }, { "bulaq" }, {}, 0 });
    std::size_t callers = 0;
    for (std::size_t i = 0; i < size; ++i) {
        StoreRoleElection relay(hosts[i]);
        relay.update(hosts);
        callers += relay.role() == StoreRole::Publisher ? 1 : 0;
        CHECK((relay.role() == StoreRole::Standalone) == (size == 1));
        CHECK(relay.otherHosts().size() == size);
        CHECK(relay.domainPeers().size() == size - 1);
    }
    CHECK(callers == (size == 1 ? 0 : 1));
}

// Guards against a narrow link that batches of changes for all neighbours fill for a second, while
// requests wait behind them.
TEST_CASE("a host with a wide link calls the store and tells the others", "[gateway]")
{
    std::vector<HostEntry> hosts;
    for (std::size_t i = 0; i < 10; ++i) {
        const double linkMbps = i < 2 ? 200 : 20;
        hosts.push_back({ { "h" + std::to_string(i) }, { "shubra" }, {}, linkMbps });
    }
    std::size_t callers = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        StoreRoleElection relay(hosts[i]);
        relay.update(hosts);
        callers += relay.role() == StoreRole::Publisher ? 1 : 0;
        CHECK((i < 2 || relay.role() == StoreRole::Subscriber));
        CHECK(relay.changeRecipients().size() == (i < 2 ? hosts.size() - 1 : 0));
    }
    CHECK(callers == 1);
}

// Guards against a host that stays unknown after its lease ended while it was paused.
TEST_CASE("a host whose lease ended is announced again", "[gateway]")
{
    FakeStore store;
    HostAnnouncer announcer(
            { { "a" }, { "shubra" }, {}, 0 }, store, [](const LogRecord &) {}, [] {});
    MonotonicTime now(1s);
    announcer.advance(now);
    store.grant(LeaseGrant { 5, 15s });
    announcer.advance(now);
    store.announce(StoreDone {});
    announcer.advance(now += 5s);
    store.renew(StoreFailure::LeaseEnded);
    announcer.advance(now += 2s);
    store.grant(LeaseGrant { 6, 15s });
    announcer.advance(now);
    CHECK(store.announcements == 2);
    store.announce(StoreDone {});
    announcer.leave();
    CHECK(store.ended == 6);
    CHECK_FALSE(announcer.nextWakeUp());
}
