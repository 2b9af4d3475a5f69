#include "gateway/StoreWatcher.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** A store that keeps each call open until the test answers it. */
class OpenStore : public RegistryStore
{
public:
    using OnEntries = std::function<void(StoreResult<StoreEntries>)>;

    void readAll(OnEntries done) override { read = std::move(done); }
    StoreEntry decode(const std::string &encoded) const override
    {
        return { encoded, AbsentEntry {}, encoded };
    }
    std::string encodeRemoval(const std::string &key) const override { return key; }
    void awaitChanges(Revision, Duration, OnEntries done) override { watch = std::move(done); }
    void grantLease(Duration, std::function<void(StoreResult<LeaseGrant>)>) override { }
    void renewLease(std::uint64_t, std::function<void(StoreResult<StoreDone>)>) override { }
    void announceHost(const HostEntry &, std::uint64_t,
                      std::function<void(StoreResult<StoreDone>)>) override
    {
    }
    void writeRollout(const RolloutWrite &, std::function<void(StoreResult<Revision>)>) override { }
    void endLease(std::uint64_t, std::function<void(StoreResult<StoreDone>)>) override { }

    OnEntries read;
    OnEntries watch;
};

StoreEntry orderEntry(std::uint64_t revision)
{
    return { "op/rollout/s", RolloutOrderEntry { { { "s" }, "v2", 20s, { revision } } }, "order" };
}

StoreEntry stateEntry(std::uint64_t revision)
{
    RolloutState state;
    state.service = { "s" };
    state.revision = { revision };
    return { "rollout/s", RolloutStateEntry { state }, "state" };
}

} // namespace

// Guards against a host that misses an order, its change or its removal, and against events for
// roll-outs with each change of a registration.
TEST_CASE("orders and states of roll-outs are passed on when they change", "[rollout]")
{
    OpenStore store;
    std::vector<RolloutsRead> reads;
    StoreWatcher watcher(
            store,
            [&](const GatewayEvent &event) {
                if (const auto *read = std::get_if<RolloutsRead>(&event))
                    reads.push_back(*read);
            },
            [](const LogRecord &) {}, [](const StoreChanges &) {}, [] {}, 1);
    MonotonicTime now { 1s };
    watcher.advance(now);
    store.read(StoreEntries { { orderEntry(5) }, { { 7 } } });
    REQUIRE(reads.size() == 1);
    CHECK(reads[0].orders.size() == 1);
    CHECK(reads[0].states.empty());
    const auto change = [&](std::uint64_t revision, const StoreEntry &entry) {
        now += 2s;
        watcher.advance(now);
        store.watch(StoreEntries { { entry }, { { revision } } });
    };
    change(8, stateEntry(8));
    REQUIRE(reads.size() == 2);
    CHECK(reads[1].orders.size() == 1);
    CHECK(reads[1].states.at(0).revision == Revision { 8 });
    change(9, { "servers/i", ServerEntry {}, "server" });
    CHECK(reads.size() == 2);
    change(10, { "op/rollout/s", AbsentEntry {}, {} });
    REQUIRE(reads.size() == 3);
    CHECK(reads[2].orders.empty());
    CHECK(reads[2].states.size() == 1);
}
