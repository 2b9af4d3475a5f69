#include "gateway/StoreWatcher.h"
#include "gateway/HostAnnouncer.h"
#include "gateway/StoreRoleElection.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** A store that records each call, so that a test can complete it later with any result. */
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
        if (encoded.starts_with("-"))
            return { encoded.substr(1), AbsentServer { { encoded.substr(9) }, {} }, encoded };
        BackendRegistration registration;
        registration.server = { encoded };
        return { "servers/" + encoded, ServerEntry { registration }, encoded };
    }
    std::string encodeRemoval(const std::string &key) const override { return "-" + key; }
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
    void writeRollout(const RolloutWrite &, std::function<void(StoreResult<Revision>)>) override { }
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

class WatcherFixture
{
public:
    WatcherFixture()
        : m_watcher(
                store, [this](GatewayEvent event) { events.push_back(event); },
                [this](const LogRecord &record) { log.emplace_back(record.event); },
                [this](const StoreChanges &changes) { shared.push_back(changes); }, [] {}, 1)
    {
    }

    void wait(Duration duration)
    {
        now += duration;
        m_watcher.advance(now);
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

    void receiveChanges(const StoreChanges &changes) { m_watcher.applySharedChanges(changes, now); }
    void setRole(StoreRole role) { m_watcher.setRole(role, now); }
    void applySnapshot(const StoreChanges &changes) { m_watcher.applySnapshot(changes, now); }
    std::optional<StoreChanges> snapshot() const { return m_watcher.snapshot(); }
    bool needsSnapshot() const { return m_watcher.needsSnapshot(); }

private:
    StoreWatcher m_watcher;
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
    WatcherFixture fixture;
    fixture.wait(0ms);
    REQUIRE(fixture.store.reads == 1);
    fixture.store.read(StoreEntries { { server("a"), server("b") }, { 10 } });
    CHECK(fixture.take<RegistrationsRead>().front().registrations.size() == 2);
    fixture.wait(1s);
    CHECK(fixture.store.watchedAfter == Revision { 10 });
    fixture.store.watch(
            StoreEntries { { { "servers/a", AbsentServer { { "a" }, {} }, "" } }, { 11 } });
    CHECK(fixture.take<RegistrationRemoved>().front().server == ServerId { "a" });
    fixture.wait(1s);
    CHECK(fixture.store.watchedAfter == Revision { 11 });
    CHECK(fixture.store.reads == 1);
}

// Guards against a host that keeps outdated entries after the store dropped the changes.
TEST_CASE("dropped history leads to an immediate read of all entries", "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { 10 } });
    fixture.wait(1s);
    fixture.store.watch(StoreFailure::HistoryDropped);
    fixture.wait(0ms);
    CHECK(fixture.store.reads == 2);
}

// Guards against too many calls while the store is unreachable.
TEST_CASE("failed calls are retried with growing delays and logged once", "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { {}, { 10 } });
    fixture.wait(1s);
    int calls = 0;
    for (Duration waited {}; waited < 10s; waited += 10ms) {
        if (auto watch = std::exchange(fixture.store.watch, nullptr)) {
            ++calls;
            watch(StoreFailure::Refused);
        }
        fixture.wait(10ms);
    }
    CHECK(calls > 10);
    CHECK(calls < 30);
    CHECK(fixture.log == std::vector<std::string> { "storeLost" });
    fixture.wait(1s);
    fixture.store.watch(StoreEntries { {}, { 12 } });
    CHECK(fixture.log.back() == "storeRegained");
}

// Guards against too many calls of all hosts together while the store is unreachable.
TEST_CASE("subscribers retry an unreachable store more rarely than the publisher", "[gateway]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { {}, { 10 } });
    int calls = 0;
    for (Duration waited {}; waited < 10s; waited += 10ms) {
        if (auto watch = std::exchange(fixture.store.watch, nullptr)) {
            ++calls;
            watch(StoreFailure::Refused);
        }
        fixture.wait(10ms);
    }
    CHECK(calls >= 3);
    CHECK(calls <= 8);
}

// Guards against a configuration that is late after an outage of the store, because the publisher
// stays cut off from the store and the host that stands in still waits for its next retry. The
// bound is 3 s, of which a call that hangs takes up to 1.7 s (found by hunt-5307-27).
TEST_CASE("the standby retries soon enough to read a configuration in time", "[gateway]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Standby);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { {}, { 10 } });
    Duration sinceFailure {};
    Duration longestWait {};
    for (Duration waited {}; waited < 20s; waited += 10ms) {
        if (auto watch = std::exchange(fixture.store.watch, nullptr)) {
            watch(StoreFailure::Unreachable);
            sinceFailure = {};
        }
        fixture.wait(10ms);
        sinceFailure += 10ms;
        if (waited > 3s)
            longestWait = std::max(longestWait, sinceFailure);
    }
    CHECK(longestWait <= 3s - 1700ms);
}

TEST_CASE("a failure domain is out of service while its entry exists", "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries {
            { { "op/evacuate/bulaq", EvacuationEntry { { "bulaq" } }, "" } }, { 10 } });
    CHECK(fixture.take<EvacuationsRead>().front().failureDomains.size() == 1);
    fixture.wait(1s);
    fixture.store.watch(StoreEntries { { { "op/evacuate/bulaq", AbsentEntry {}, "" } }, { 11 } });
    CHECK(fixture.take<EvacuationsRead>().front().failureDomains.empty());
}

// Guards against an invalid entry that prevents the others from being read.
TEST_CASE("an invalid entry is skipped and the others are read", "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries {
            { { "servers/x", AbsentServer { { "x" }, "expected text" }, "" }, server("a") },
            { 10 } });
    CHECK(fixture.take<RegistrationsRead>().front().registrations.size() == 1);
}

TEST_CASE("the entries of live hosts are read", "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    const HostEntry host { { "a" }, { "shubra" }, { "10.0.0.1", 7000 }, 0 };
    fixture.store.read(StoreEntries { { { "hosts/a", host, "" } }, { 10 } });
    CHECK(fixture.take<HostsRead>().front().hosts == std::vector { host });
}

// Guards against a number of calls to the store that grows with the number of hosts.
TEST_CASE("a host that receives shared changes does not call the store", "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { 10 } });
    for (std::uint64_t revision = 10; revision < 30; ++revision) {
        fixture.receiveChanges(
                { { revision }, { revision + 1 }, { "b" + std::to_string(revision) } });
        fixture.wait(1s);
    }
    CHECK(fixture.store.watches == 0);
    CHECK(fixture.take<RegistrationWritten>().size() == 20);
    // Without shared changes for 1.6 to 2.1 s the host calls the store itself.
    fixture.wait(500ms);
    CHECK(fixture.store.watches == 0);
    fixture.wait(600ms);
    CHECK(fixture.store.watchedAfter == Revision { 30 });
}

// Guards against a watch call of each host of a failure domain whenever one of them starts.
TEST_CASE("a subscriber waits for shared changes after it has read all entries", "[gateway]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(0ms);
    REQUIRE(fixture.store.reads == 1);
    fixture.store.read(StoreEntries { { server("a") }, { 10 } });
    fixture.wait(1500ms);
    CHECK(fixture.store.watches == 0);
    fixture.wait(700ms);
    CHECK(fixture.store.watches == 1);
}

// Guards against calls of all subscribers while the publisher is down.
TEST_CASE("a subscriber that receives no shared changes watches the store for the others",
          "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { 10 } });
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(2200ms);
    REQUIRE(fixture.store.watches == 1);
    fixture.store.watch(StoreEntries { { server("b") }, { 11 } });
    REQUIRE(fixture.shared.size() == 1);
    CHECK(fixture.shared.front() == StoreChanges { { 10 }, { 11 }, { "b" } });
    fixture.wait(600ms);
    CHECK(fixture.store.watches == 2);
    fixture.receiveChanges({ { 11 }, { 12 }, { "c" } });
    fixture.store.watch(StoreEntries { {}, { 12 } });
    fixture.wait(1s);
    CHECK(fixture.store.watches == 2);
}

// Guards against missed changes, and against older changes that overwrite newer ones.
TEST_CASE("after a gap the changes are read from the store; old shared changes are ignored",
          "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { 10 } });
    fixture.events.clear();
    fixture.receiveChanges({ { 12 }, { 13 }, { "b" } });
    CHECK(fixture.events.empty());
    fixture.wait(500ms);
    CHECK(fixture.store.watchedAfter == Revision { 10 });
    fixture.receiveChanges({ { 9 }, { 20 }, { "c" } });
    CHECK(fixture.take<RegistrationWritten>().size() == 1);
    fixture.store.watch(StoreEntries { { server("old") }, { 15 } });
    fixture.receiveChanges({ { 9 }, { 18 }, { "older" } });
    CHECK(fixture.events.empty());
    CHECK(fixture.shared.empty());
}

TEST_CASE("a publisher shares the result of each watch call, even without changes", "[gateway]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Publisher);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { {}, { 10 } });
    fixture.wait(1s);
    fixture.store.watch(StoreEntries { { server("a") }, { 11 } });
    fixture.wait(1s);
    fixture.store.watch(StoreEntries { {}, { 11 } });
    REQUIRE(fixture.shared.size() == 2);
    CHECK(fixture.shared[0] == StoreChanges { { 10 }, { 11 }, { "a" } });
    CHECK(fixture.shared[1] == StoreChanges { { 11 }, { 11 }, {} });
}

// Guards against a host that serves no requests until the store is reachable, although other hosts
// could give it the entries.
TEST_CASE("a host that cannot reach the store starts from another host's entries", "[gateway]")
{
    WatcherFixture source;
    source.wait(0ms);
    CHECK_FALSE(source.snapshot());
    source.store.read(StoreEntries { { server("a"), server("b") }, { 10 } });
    source.receiveChanges({ { 10 }, { 11 }, { "c" } });
    const auto snapshot = source.snapshot();
    REQUIRE(snapshot);

    WatcherFixture fixture;
    fixture.wait(0ms);
    CHECK_FALSE(fixture.needsSnapshot());
    fixture.store.read(StoreFailure::Refused);
    CHECK(fixture.needsSnapshot());
    fixture.applySnapshot(*snapshot);
    CHECK(fixture.take<RegistrationsRead>().front().registrations.size() == 3);
    CHECK_FALSE(fixture.needsSnapshot());
    fixture.wait(1s);
    CHECK(fixture.store.watchedAfter == Revision { 11 });
}

// Guards against a host that was cut off from the store and then takes the older entries of another
// host, in which a server that has left is still registered; and against snapshots for all such
// hosts, which filled the links of the few hosts that answer them.
TEST_CASE("a host whose history was dropped keeps its entries until it has read all again",
          "[gateway]")
{
    WatcherFixture source;
    source.wait(0ms);
    source.store.read(StoreEntries { { server("gone"), server("a") }, { 10 } });
    const auto older = source.snapshot();
    REQUIRE(older);

    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { 12 } });
    fixture.take<RegistrationsRead>();
    for (int failures = 0; failures < 3; ++failures) {
        fixture.wait(4s);
        std::exchange(fixture.store.watch, nullptr)(StoreFailure::Unreachable);
    }
    fixture.wait(4s);
    std::exchange(fixture.store.watch, nullptr)(StoreFailure::HistoryDropped);
    CHECK_FALSE(fixture.needsSnapshot());
    fixture.applySnapshot(*older);
    CHECK(fixture.take<RegistrationsRead>().empty());
    fixture.wait(0ms);
    CHECK(fixture.store.reads == 2);
    fixture.store.read(StoreEntries { { server("a"), server("b") }, { 40 } });
    CHECK(fixture.take<RegistrationsRead>().front().registrations.size() == 2);
    fixture.wait(4s);
    CHECK(fixture.store.watchedAfter == Revision { 40 });
}

// Load pattern: hundreds of new servers count down their cold start with each heartbeat (reshard in
// a failure domain whose hosts with wide links are cut off). Guards against a publisher whose
// narrow link is filled by these changes for all hosts, so that requests wait for it.
TEST_CASE("the countdown of a cold start is not shared with other hosts", "[gateway][load]")
{
    const auto cold = [](Duration coldFor, bool isDraining = false) {
        BackendRegistration registration;
        registration.server = { "a" };
        registration.coldFor = coldFor;
        registration.isDraining = isDraining;
        return StoreEntry { "servers/a", ServerEntry { registration }, "a" };
    };
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Publisher);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { {}, { 10 } });
    std::uint64_t revision = 10;
    const auto sharedEntries = [&](const StoreEntry &entry) {
        fixture.wait(1200ms);
        fixture.store.watch(StoreEntries { { entry }, { ++revision } });
        REQUIRE(fixture.shared.back().position == StorePosition { { revision } });
        return fixture.shared.back().entries.size();
    };
    CHECK(sharedEntries(cold(3000ms)) == 1);
    CHECK(sharedEntries(cold(1800ms)) == 0);
    CHECK(sharedEntries(cold(600ms)) == 0);
    CHECK(sharedEntries(cold(0ms)) == 0);
    CHECK(sharedEntries(cold(3000ms)) == 1);
    CHECK(sharedEntries(cold(1800ms, true)) == 1);
    fixture.wait(1200ms);
    fixture.store.watch(
            StoreEntries { { { "servers/a", AbsentServer { { "a" }, {} }, "gone" } }, { 99 } });
    CHECK(fixture.shared.back().entries.size() == 1);
    revision = 99;
    CHECK(sharedEntries(cold(0ms)) == 1);
}

// Guards against a failure domain in which no host watches the store, or all of them do.
TEST_CASE("hosts with the same host list elect the same publisher", "[gateway]")
{
    const std::size_t size = GENERATE(1, 2, 3, 4, 30);
    std::vector<HostEntry> hosts;
    for (std::size_t i = 0; i < size; ++i)
        hosts.push_back({ { "h" + std::to_string(i) }, { "shubra" }, {}, 0 });
    hosts.push_back({ { "far" }, { "bulaq" }, {}, 0 });
    std::size_t publishers = 0;
    std::size_t standbys = 0;
    for (std::size_t i = 0; i < size; ++i) {
        StoreRoleElection election(hosts[i]);
        election.update(hosts);
        standbys += election.role() == StoreRole::Standby ? 1 : 0;
        publishers += election.role() == StoreRole::Publisher ? 1 : 0;
        CHECK((election.role() == StoreRole::Standalone) == (size == 1));
        CHECK(election.otherHosts().size() == size);
        CHECK(election.domainPeers().size() == size - 1);
    }
    CHECK(publishers == (size == 1 ? 0 : 1));
    CHECK(standbys == (size == 1 ? 0 : 1));
}

// Guards against requests that wait behind batches of changes for all hosts of the failure domain,
// which occupy a link with low bandwidth for a second.
TEST_CASE("the publisher and the hosts that send changes have a high link bandwidth", "[gateway]")
{
    std::vector<HostEntry> hosts;
    for (std::size_t i = 0; i < 10; ++i) {
        const double linkMbps = i < 2 ? 200 : 20;
        hosts.push_back({ { "h" + std::to_string(i) }, { "shubra" }, {}, linkMbps });
    }
    std::size_t publishers = 0;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        StoreRoleElection election(hosts[i]);
        election.update(hosts);
        publishers += election.role() == StoreRole::Publisher ? 1 : 0;
        CHECK((i < 2 || election.role() == StoreRole::Subscriber));
        CHECK(election.changeRecipients().size() == (i < 2 ? hosts.size() - 1 : 0));
    }
    CHECK(publishers == 1);
}

// Load pattern: a third of the hosts was cut off and reads all changes since then, while the hosts
// with wide links are not listed (node_cut "meet" with reshard). Guards against each of them
// sending 180 KB to 41 others over 20 Mbit/s, behind which requests waited for a second.
TEST_CASE("changes that would occupy a narrow link are not sent to other hosts", "[gateway][load]")
{
    std::vector<HostEntry> hosts;
    for (std::size_t i = 0; i < 42; ++i)
        hosts.push_back({ { "h" + std::to_string(i) }, { "ikoyi" }, {}, 20 });
    StoreRoleElection narrow(hosts.front());
    narrow.update(hosts);
    CHECK(narrow.recipientsOf(180'000).empty());
    CHECK(narrow.recipientsOf(0).size() == 41);
    // Three registrations.
    CHECK(narrow.recipientsOf(1500).size() == 41);
    // The time on the link stays below the time that a hedge waits for a late server.
    constexpr double kLinkBitsPerSecond = 20e6;
    for (std::size_t bytes = 0; bytes < 400'000; bytes += 1000) {
        const double bits = 8.0 * static_cast<double>(bytes * narrow.recipientsOf(bytes).size());
        REQUIRE(bits / kLinkBitsPerSecond <= 0.1);
    }
    for (HostEntry &host : hosts)
        host.linkMbps = 0;
    StoreRoleElection unknown(hosts.front());
    unknown.update(hosts);
    CHECK(unknown.recipientsOf(180'000).size() == 41);
}

// Guards against a host that stays unannounced after its lease ended while it was paused.
TEST_CASE("a host whose lease ended is announced again", "[gateway]")
{
    FakeStore store;
    HostAnnouncer announcer(
            { { "a" }, { "shubra" }, {}, 0 }, store, [](const LogRecord &) {}, [] {}, 1);
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

static StoreEntry configuration(std::uint64_t version)
{
    auto decoded = std::make_shared<RoutingConfiguration>();
    decoded->version = version;
    return { "op/config", ConfigurationEntry { std::move(decoded) }, "config" };
}

// Guards against a host that drops every read of a store that has come back from an older copy, and
// so applies no change until the revisions have overtaken the one that it knew.
TEST_CASE("a store that has gone back is read although its revisions are lower", "[gateway]")
{
    const StoreEra era = GENERATE(StoreEra { 3 }, StoreEra { 0 });
    const StoreEra formerEra { era.value > 0 ? era.value - 1 : 0 };
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a"), server("lost") }, { { 60 }, formerEra } });
    fixture.wait(1s);
    fixture.store.watch(StoreFailure::HistoryDropped);
    fixture.take<RegistrationsRead>();
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a"), configuration(4) }, { { 40 }, era } });
    CHECK(fixture.take<ConfigurationRead>().size() == 1);
    CHECK(fixture.log.back() == "storeWentBack");
    fixture.wait(1s);
    CHECK(fixture.store.watchedAfter == Revision { 40 });
    fixture.store.watch(StoreEntries { { server("b") }, { { 41 }, era } });
    CHECK(fixture.take<RegistrationWritten>().size() == 1);
}

// Guards against entries that are missed because revisions have been given out again past the known
// one before a host asks, so that the store answers as if nothing had happened.
TEST_CASE("a watch that is answered from a later era leads to a read of all entries", "[gateway]")
{
    WatcherFixture fixture;
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a"), server("lost") }, { { 60 }, { 1 } } });
    fixture.wait(1s);
    fixture.take<RegistrationsRead>();
    fixture.store.watch(StoreEntries { { server("b") }, { { 70 }, { 2 } } });
    CHECK(fixture.events.empty());
    fixture.wait(0ms);
    REQUIRE(fixture.store.reads == 2);
    fixture.store.read(StoreEntries { { server("a"), server("b") }, { { 70 }, { 2 } } });
    const auto reads = fixture.take<RegistrationsRead>();
    CHECK(reads.front().registrations.size() == 2);
    CHECK(reads.front().hasStoreGoneBack);
}

// Guards against a late answer that is taken for a return of the store.
TEST_CASE("an answer that is older than what was learned during its call is dropped", "[gateway]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { { 60 }, { 1 } } });
    fixture.wait(2200ms);
    REQUIRE(fixture.store.watches == 1);
    fixture.receiveChanges({ { { 60 }, { 1 } }, { { 70 }, { 1 } }, { "b" } });
    fixture.take<RegistrationWritten>();
    fixture.store.watch(StoreEntries { { server("c") }, { { 65 }, { 1 } } });
    CHECK(fixture.events.empty());
    fixture.wait(2200ms);
    CHECK(fixture.store.watchedAfter == Revision { 70 });
    CHECK(fixture.store.reads == 1);
}

// Guards against calls that follow each other without a pause, whatever the store answers.
TEST_CASE("no answer of the store makes a host call it again without a pause", "[gateway]")
{
    const std::vector<StoreResult<StoreEntries>> answers {
        StoreFailure::Unreachable,
        StoreFailure::Refused,
        StoreFailure::HistoryDropped,
        StoreFailure::LeaseEnded,
        StoreEntries { {}, { { 60 }, { 1 } } },
        StoreEntries { {}, { { 40 }, { 1 } } },
        StoreEntries { { server("a") }, { { 40 }, { 1 } } },
        StoreEntries { { server("a") }, { { 80 }, { 1 } } },
        StoreEntries { {}, { { 40 }, { 2 } } },
        StoreEntries { { server("a") }, { { 40 }, { 2 } } },
        StoreEntries { {}, { { 40 }, { 0 } } },
        StoreEntries { { server("a") }, { { 90 }, { 3 } } },
    };
    const auto role = GENERATE(StoreRole::Standalone, StoreRole::Publisher, StoreRole::Subscriber);
    const std::size_t readAnswer = GENERATE_COPY(range(std::size_t { 0 }, answers.size()));
    const std::size_t watchAnswer = GENERATE_COPY(range(std::size_t { 0 }, answers.size()));
    CAPTURE(readAnswer, watchAnswer);
    WatcherFixture fixture;
    fixture.setRole(role);
    fixture.wait(0ms);
    std::exchange(fixture.store.read, nullptr)(StoreEntries { {}, { { 60 }, { 1 } } });
    int calls = 0;
    for (Duration waited {}; waited < 10s; waited += 1ms) {
        if (auto read = std::exchange(fixture.store.read, nullptr)) {
            ++calls;
            read(answers[readAnswer]);
        }
        if (auto watch = std::exchange(fixture.store.watch, nullptr)) {
            ++calls;
            watch(answers[watchAnswer]);
        }
        fixture.wait(1ms);
    }
    // Two calls for each pause of the shortest length.
    CHECK(calls <= 2 * 100);
}

// Guards against a neighbour that has not noticed the return of the store and keeps others from it.
TEST_CASE("changes of a host with an older view do not count as news", "[gateway]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { { 40 }, { 2 } } });
    for (std::uint64_t revision = 60; revision < 63; ++revision) {
        fixture.wait(1s);
        fixture.receiveChanges({ { { revision }, { 1 } }, { { revision + 1 }, { 1 } }, { "old" } });
    }
    CHECK(fixture.take<RegistrationWritten>().empty());
    CHECK(fixture.store.watches > 0);
}

// Guards against a read by each host of a failure domain after the return of the store.
TEST_CASE("the publisher tells its neighbours what differs after a return of the store",
          "[gateway]")
{
    WatcherFixture publisher;
    publisher.setRole(StoreRole::Publisher);
    WatcherFixture subscriber;
    subscriber.setRole(StoreRole::Subscriber);
    for (WatcherFixture *fixture : { &publisher, &subscriber }) {
        fixture->wait(0ms);
        fixture->store.read(StoreEntries { { server("a"), server("lost") }, { { 60 }, { 1 } } });
        fixture->wait(1s);
        fixture->take<RegistrationsRead>();
    }
    publisher.store.watch(StoreFailure::HistoryDropped);
    publisher.wait(0ms);
    publisher.store.read(StoreEntries { { server("a"), server("b") }, { { 40 }, { 2 } } });
    REQUIRE(publisher.shared.size() == 1);
    const StoreChanges &shared = publisher.shared.front();
    CHECK(shared.after == StorePosition { { 60 }, { 1 } });
    CHECK(shared.position == StorePosition { { 40 }, { 2 } });
    CHECK(shared.entries == std::vector<std::string> { "b", "-servers/lost" });

    subscriber.receiveChanges(shared);
    const auto reads = subscriber.take<RegistrationsRead>();
    REQUIRE(reads.size() == 1);
    CHECK(reads.front().hasStoreGoneBack);
    CHECK(reads.front().registrations.size() == 2);
    subscriber.receiveChanges({ { { 40 }, { 2 } }, { { 41 }, { 2 } }, { "c" } });
    CHECK(subscriber.take<RegistrationWritten>().size() == 1);
    CHECK(subscriber.store.reads == 1);
}

// Guards against a host that takes what differs for another host, and keeps entries that the store
// has lost.
TEST_CASE("a host that is not where the changes of a return begin reads all entries", "[gateway]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a"), server("lost") }, { { 61 }, { 1 } } });
    fixture.wait(1s);
    fixture.take<RegistrationsRead>();
    fixture.receiveChanges({ { { 60 }, { 1 } }, { { 40 }, { 2 } }, {} });
    CHECK(fixture.events.empty());
    // An older view of another neighbour does not keep this host from reading.
    fixture.receiveChanges({ { { 61 }, { 1 } }, { { 61 }, { 1 } }, {} });
    fixture.wait(1300ms);
    REQUIRE(fixture.store.reads == 2);
    fixture.store.read(StoreEntries { { server("a") }, { { 41 }, { 2 } } });
    CHECK(fixture.take<RegistrationsRead>().front().registrations.size() == 1);
}

// Guards against a host that others do not count until its next renewal fails, because the store
// has lost its entry.
TEST_CASE("a host that the copy of a returned store does not list is announced again",
          "[gateway][return]")
{
    FakeStore store;
    const HostEntry self { { "a" }, { "shubra" }, {}, 0 };
    HostAnnouncer announcer(
            self, store, [](const LogRecord &) {}, [] {}, 1);
    MonotonicTime now(1s);
    announcer.advance(now);
    store.grant(LeaseGrant { 5, 15s });
    announcer.advance(now);
    store.announce(StoreDone {});
    REQUIRE(store.announcements == 1);
    const bool isListed = GENERATE(false, true);
    const bool hasStoreGoneBack = GENERATE(false, true);
    HostsRead hosts;
    hosts.hasStoreGoneBack = hasStoreGoneBack;
    if (isListed)
        hosts.hosts.push_back(self);
    announcer.onHostsRead(hosts, now += 1s);
    announcer.advance(now += 600ms);
    CHECK(store.announcements == (hasStoreGoneBack && !isListed ? 2 : 1));
    if (store.announcements == 1)
        return;
    // The lease is lost, too.
    store.announce(StoreFailure::LeaseEnded);
    announcer.advance(now += 1600ms);
    store.grant(LeaseGrant { 6, 15s });
    announcer.advance(now);
    store.announce(StoreDone {});
    CHECK(store.announcements == 3);
}

// Guards against entries that are missed because a watch from a position of a former era is
// answered after this host has been told what differs in the new one.
TEST_CASE("a watch from a former era does not count after another host has told of the return",
          "[gateway][return]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { { 60 }, { 1 } } });
    fixture.wait(2200ms);
    REQUIRE(fixture.store.watches == 1);
    fixture.receiveChanges({ { { 60 }, { 1 } }, { { 40 }, { 2 } }, {} });
    fixture.events.clear();
    // Revisions 41 to 60 of the new era are not in this answer.
    fixture.store.watch(StoreEntries { { server("b") }, { { 61 }, { 2 } } });
    CHECK(fixture.events.empty());
    fixture.wait(4s);
    CHECK(fixture.store.watchedAfter == Revision { 40 });
}

// Guards against a host that takes the place of a later era for an answer from before the return.
TEST_CASE("a read from before a return does not count after another host has told of it",
          "[gateway][return]")
{
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Subscriber);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { { server("a") }, { { 60 }, { 2 } } });
    fixture.wait(2200ms);
    fixture.store.watch(StoreFailure::HistoryDropped);
    fixture.wait(2s);
    REQUIRE(fixture.store.reads == 2);
    fixture.receiveChanges({ { { 60 }, { 2 } }, { { 40 }, { 3 } }, {} });
    fixture.events.clear();
    fixture.store.read(StoreEntries { { server("old") }, { { 55 }, { 2 } } });
    CHECK(fixture.events.empty());
}

// Guards against neighbours that send to a draining server, because what this host shared itself is
// taken for what they know, although another host has shared something else since.
TEST_CASE("a registration is shared again after another host has shared a different one",
          "[gateway]")
{
    const auto entry = [](bool isDraining) {
        BackendRegistration registration;
        registration.server = { "a" };
        registration.isDraining = isDraining;
        return StoreEntry { "servers/a", ServerEntry { registration }, "a" };
    };
    WatcherFixture fixture;
    fixture.setRole(StoreRole::Publisher);
    fixture.wait(0ms);
    fixture.store.read(StoreEntries { {}, { 10 } });
    fixture.wait(1s);
    fixture.store.watch(StoreEntries { { entry(true) }, { 11 } });
    REQUIRE(fixture.shared.back().entries.size() == 1);
    SECTION("in changes")
    {
        fixture.receiveChanges({ { 11 }, { 12 }, { "a" } });
    }
    SECTION("after the store dropped its history")
    {
        fixture.wait(1s);
        fixture.store.watch(StoreFailure::HistoryDropped);
        fixture.wait(0ms);
        fixture.store.read(StoreEntries { { entry(false) }, { 12 } });
    }
    fixture.wait(1s);
    fixture.store.watch(StoreEntries { { entry(true) }, { 13 } });
    CHECK(fixture.shared.back().entries.size() == 1);
}
