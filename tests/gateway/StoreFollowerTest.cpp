#include "gateway/HostAnnouncer.h"
#include "gateway/StoreFollower.h"

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
                store, { "shubra" }, [this](GatewayEvent event) { events.push_back(event); },
                [this](const LogDecision &decision) { log.emplace_back(decision.event); }, 1)
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

private:
    StoreFollower m_follower;
};

} // namespace

static StoreEntry server(const std::string &name)
{
    BackendRegistration registration;
    registration.server = { name };
    return { "servers/" + name, ServerEntry { registration } };
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
            StoreEntries { { { "servers/a", AbsentServer { { "a" }, {} } } }, { 11 } });
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

TEST_CASE("failure domains out of service are the entries that exist", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(
            StoreEntries { { { "op/evacuate/bulaq", EvacuationEntry { { "bulaq" } } } }, { 10 } });
    CHECK(follower.take<EvacuationsRead>().front().failureDomains.size() == 1);
    follower.wait(1s);
    follower.store.watch(StoreEntries { { { "op/evacuate/bulaq", AbsentEntry {} } }, { 11 } });
    CHECK(follower.take<EvacuationsRead>().front().failureDomains.empty());
}

// Guards against one foreign entry that hides the others.
TEST_CASE("an unreadable entry is logged and the others hold", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries {
            { { "servers/x", AbsentServer { { "x" }, "expected text" } }, server("a") }, { 10 } });
    CHECK(follower.take<RegistrationsRead>().front().registrations.size() == 1);
}

TEST_CASE("hosts are counted in all and in the own failure domain", "[gateway]")
{
    Follower follower;
    follower.wait(0ms);
    follower.store.read(StoreEntries { { { "hosts/a", HostEntry { { "a" }, { "shubra" } } },
                                         { "hosts/b", HostEntry { { "b" }, { "bulaq" } } },
                                         { "hosts/c", HostEntry { { "c" }, { "shubra" } } } },
                                       { 10 } });
    const auto counted = follower.take<HostsCounted>();
    CHECK(counted.front().hosts == HostCount { 3, 2 });
}

// Guards against a host that stays unknown after its lease ended while it was paused.
TEST_CASE("a host whose lease ended is announced again", "[gateway]")
{
    FakeStore store;
    HostAnnouncer announcer({ { "a" }, { "shubra" } }, store, [](const LogDecision &) {});
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
