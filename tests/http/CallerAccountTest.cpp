#include "http/CallerAccount.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

using namespace greengagestair;
using namespace std::chrono_literals;

static constexpr std::size_t kMegabyte = 1'048'576;
static constexpr std::size_t kBody = 262'144;

namespace {

/** A connection that releases what it holds when it is ended. */
class FakeCaller : public AccountedCaller
{
public:
    FakeCaller(CallerAccount &account, CallerAccount::Time now)
        : share(std::make_unique<CallerShare>(account, *this, now))
    {
    }

    void receive(std::size_t bytes, CallerAccount::Time now)
    {
        share->setStage(CallerStage::Receiving, now);
        held += bytes;
        share->hold(HeldKind::Incomplete, held, now);
        share->addProgress(bytes, now);
        if (share->mustPause()) {
            share->pause();
            isPaused = true;
        }
    }
    void complete(CallerAccount::Time now)
    {
        share->setStage(CallerStage::InProgress, now);
        share->hold(HeldKind::Incomplete, 0, now);
        share->hold(HeldKind::InProgress, held, now);
    }

    void endForShortage(ShortageReason reason) override
    {
        endedFor = reason;
        share.reset();
    }
    void resumeReading() override { isPaused = false; }

    std::unique_ptr<CallerShare> share;
    std::size_t held = 0;
    std::optional<ShortageReason> endedFor;
    bool isPaused = false;
};

using Callers = std::vector<std::unique_ptr<FakeCaller>>;

} // namespace

static Callers makeCallers(CallerAccount &account, std::size_t count, CallerAccount::Time now)
{
    Callers callers;
    for (std::size_t index = 0; index < count; ++index)
        callers.push_back(std::make_unique<FakeCaller>(account, now));
    return callers;
}

// Guards against the end of the process that was seen: 1,200 bodies of 262,144 bytes, 160 MB.
TEST_CASE("1200 bodies that stop short of their end stay within the limit", "[http]")
{
    CallerAccount account(callerMemoryLimits(160 * kMegabyte, 4100));
    CallerAccount::Time now;
    Callers callers = makeCallers(account, 1200, now);
    std::size_t most = 0;
    for (int turn = 0; turn < 400; ++turn) {
        now += 10ms;
        for (const auto &caller : callers) {
            if (caller->endedFor || caller->isPaused || caller->held + 8192 > kBody)
                continue;
            caller->receive(8192, now);
            most = std::max(most, account.heldBytes());
            if (account.needsRelief())
                account.relieve(now);
        }
        if (turn % 10 == 0)
            account.relieve(now);
    }
    CHECK(most <= 64 * kMegabyte);
    CHECK_FALSE(account.isFull());
    CHECK(account.ended(ShortageReason::Stalled) > 0);
}

// Guards against ordinary uploads that are ended because others hold the memory.
TEST_CASE("of two large bodies the one without progress is ended first", "[http]")
{
    CallerAccount account({ kMegabyte, 100 });
    CallerAccount::Time now;
    FakeCaller active(account, now);
    FakeCaller stalled(account, now);
    active.receive(kBody, now);
    stalled.receive(kBody, now + 10ms);
    for (int turn = 0; turn < 20; ++turn) {
        now += 100ms;
        active.receive(1750, now); // 262,144 bytes in 15 s
        account.relieve(now);
    }
    CHECK(stalled.endedFor == ShortageReason::Stalled);
    CHECK_FALSE(active.endedFor);
}

// Guards against bytes of headers or chunk lines that pass for progress.
TEST_CASE("a few bytes at a time are no progress", "[http]")
{
    CallerAccount account({ kMegabyte, 100 });
    CallerAccount::Time now;
    FakeCaller dripping(account, now);
    FakeCaller holding(account, now);
    dripping.receive(kBody, now);
    holding.receive(kBody, now);
    for (int turn = 0; turn < 11; ++turn) {
        now += 100ms;
        dripping.receive(16, now);
    }
    account.relieve(now);
    CHECK(dripping.endedFor == ShortageReason::Stalled);
}

TEST_CASE("large incomplete requests pause while memory is short and continue later", "[http]")
{
    CallerAccount account({ kMegabyte, 100 });
    CallerAccount::Time now;
    auto first = std::make_unique<FakeCaller>(account, now);
    FakeCaller second(account, now);
    FakeCaller small(account, now);
    first->receive(2 * kBody, now);
    second.receive(10'000, now);
    small.receive(1000, now);
    CHECK(second.isPaused);
    CHECK_FALSE(small.isPaused);
    first.reset();
    account.relieve(now);
    CHECK_FALSE(second.isPaused);
}

// Guards against uploads that wait in vain between the limits of pausing and of continuing.
TEST_CASE("a paused body continues once a stalled one has given way", "[http]")
{
    CallerAccount account({ kMegabyte, 100 });
    CallerAccount::Time now;
    FakeCaller stalled(account, now);
    auto leaving = std::make_unique<FakeCaller>(account, now);
    FakeCaller paused(account, now);
    stalled.receive(400'000, now);
    leaving->receive(30'000, now);
    now += 100ms;
    paused.receive(100'000, now);
    REQUIRE(paused.isPaused);
    leaving.reset();
    REQUIRE_FALSE(account.isShort());
    account.relieve(now);
    CHECK(paused.isPaused);
    account.relieve(now + 950ms);
    CHECK(stalled.endedFor == ShortageReason::Stalled);
    CHECK_FALSE(paused.isPaused);
    CHECK_FALSE(paused.endedFor);
}

// Guards against requests that are cut off although they run at a server.
TEST_CASE("a request that was passed on is never ended for its memory", "[http]")
{
    CallerAccount account({ kMegabyte, 2 });
    CallerAccount::Time now;
    FakeCaller running(account, now);
    running.receive(4 * kBody, now);
    running.complete(now);
    FakeCaller other(account, now);
    other.receive(10'000, now);
    CHECK(account.isFull());
    now += 5s;
    account.relieve(now);
    CHECK_FALSE(running.endedFor);
    CHECK(other.endedFor);
    CHECK_FALSE(account.makeRoomForConnection(now));
    CHECK_FALSE(running.endedFor);
}

// Guards against descriptors that run out, and against new callers that push out each other.
TEST_CASE("a new connection takes the place of the one with the least progress", "[http]")
{
    CallerAccount account({ kMegabyte, 3 });
    CallerAccount::Time now;
    FakeCaller idle(account, now);
    idle.share->setStage(CallerStage::InProgress, now);
    idle.share->setStage(CallerStage::Idle, now);
    FakeCaller silent(account, now + 10ms);
    FakeCaller header(account, now);
    header.receive(100, now + 5ms);
    CHECK_FALSE(account.makeRoomForConnection(now + 100ms));
    CHECK(account.refusedConnections() == 1);
    CHECK(account.makeRoomForConnection(now + 1s));
    CHECK(header.endedFor == ShortageReason::Connections);
    const FakeCaller next(account, now + 1s);
    CHECK(account.makeRoomForConnection(now + 1s));
    CHECK(silent.endedFor == ShortageReason::Connections);
    CHECK_FALSE(idle.endedFor);
    CHECK(account.makeRoomForConnection(now + 1s));
}

// Guards against answers that pile up for callers which do not read them.
TEST_CASE("callers that do not take their answers are ended", "[http]")
{
    CallerAccount account({ kMegabyte, 100 });
    CallerAccount::Time now;
    FakeCaller reader(account, now);
    FakeCaller blocked(account, now);
    for (FakeCaller *caller : { &reader, &blocked }) {
        caller->share->setStage(CallerStage::Sending, now);
        caller->share->hold(HeldKind::Unsent, 500'000, now);
    }
    now += 2s;
    reader.share->addProgress(5000, now);
    account.relieve(now);
    CHECK(blocked.endedFor == ShortageReason::Stalled);
    CHECK_FALSE(reader.endedFor);
}

TEST_CASE("the account is empty when all connections have left", "[http]")
{
    CallerAccount account({ kMegabyte, 100 });
    CallerAccount::Time now;
    {
        FakeCaller first(account, now);
        first.receive(5000, now);
        FakeCaller second(account, now);
        second.receive(20'000, now);
        second.complete(now);
        CHECK(account.heldBytes(HeldKind::Incomplete) == 5000);
        CHECK(account.heldBytes(HeldKind::InProgress) == 20'000);
        CHECK(account.connections() == 2);
    }
    CHECK(account.heldBytes() == 0);
    CHECK(account.connections() == 0);
}

// Guards against limits that a caller inside the limits of a request meets on the smallest machine.
TEST_CASE("one request at every limit fits into the smallest settings", "[http]")
{
    constexpr std::size_t kHeader = 16'384;
    const CallerMemoryLimits limits = callerMemoryLimits(16 * kMegabyte, 64);
    CHECK(limits.connections == 32);
    CallerAccount account(limits);
    FakeCaller caller(account, {});
    caller.receive(2 * kHeader + kBody, {});
    CHECK_FALSE(account.isShort());
}

TEST_CASE("limits leave descriptors for servers and half of the memory for requests", "[http]")
{
    const CallerMemoryLimits limits = callerMemoryLimits(160 * kMegabyte, 4100);
    CHECK(limits.bytes <= 64 * kMegabyte);
    CHECK(limits.connections == 3075);
    CHECK(callerMemoryLimits(64 * kMegabyte, 1'048'576).connections == 1638);
}
