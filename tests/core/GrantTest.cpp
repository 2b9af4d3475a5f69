#include "core/StepContext.h"
#include "core/membership/HandoverDelays.h"
#include "core/membership/IssuedGrants.h"
#include "core/membership/ReceivedGrants.h"
#include "core/membership/RendezvousRanking.h"

#include <catch2/catch.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

static const MonotonicTime kStart { 100s };
static const HostId kSelf { "a" };
static const HostId kOther { "b" };
static const HostId kThird { "c" };

static Member member(const HostId &host)
{
    return { host, { "127.0.1.1", 7400 }, { 1 } };
}

static IssuedGrants tableAt(MonotonicTime now)
{
    IssuedGrants table;
    table.setMembers({ member(kSelf), member(kOther), member(kThird) }, kSelf, now);
    return table;
}

static GrantState beat(IssuedGrants &table, MonotonicTime now, Incarnation incarnation = { 1 },
                       bool released = false, bool mayGrant = true)
{
    table.detectFailures(now);
    return table.onHeartbeat(kOther, incarnation, released, mayGrant, now);
}

/** Heartbeats each 250 ms; returns the last statement. */
static GrantState beatUntil(IssuedGrants &table, MonotonicTime &now, MonotonicTime end,
                            Incarnation incarnation = { 1 })
{
    GrantState last = GrantState::Clearing;
    for (; now < end; now += kHeartbeatInterval)
        last = beat(table, now, incarnation);
    return last;
}

TEST_CASE("a new process gives no grant before earlier statements have lapsed", "[grants]")
{
    IssuedGrants table = tableAt(kStart);
    MonotonicTime now = kStart;
    REQUIRE(beatUntil(table, now, kStart + kTakeoverDelay) == GrantState::Clearing);
    REQUIRE(beat(table, now) == GrantState::Granting);
}

TEST_CASE("a failure report and a grant never come closer than the silence", "[grants]")
{
    IssuedGrants table = tableAt(kStart);
    MonotonicTime now = kStart;
    beatUntil(table, now, kStart + 5s);
    const MonotonicTime lastGrant = now - kHeartbeatInterval;
    table.detectFailures(lastGrant + kTakeoverDelay - 1us);
    REQUIRE(table.state(kOther) == GrantState::Granting);
    table.detectFailures(lastGrant + kTakeoverDelay);
    REQUIRE(table.reports(kThird, lastGrant + kTakeoverDelay).at(0).state == GrantState::Failed);
    now = lastGrant + 10s;
    REQUIRE(beatUntil(table, now, lastGrant + 10s + kTakeoverDelay) == GrantState::Clearing);
    REQUIRE(beat(table, now) == GrantState::Granting);
}

TEST_CASE("a restarted host is cleared again and its old process is not acked", "[grants]")
{
    IssuedGrants table = tableAt(kStart);
    MonotonicTime now = kStart;
    REQUIRE(beatUntil(table, now, kStart + 5s) == GrantState::Granting);
    REQUIRE(beat(table, now, { 2 }) == GrantState::Clearing);
    REQUIRE_FALSE(table.isCurrentIncarnation(kOther, { 1 }));
    REQUIRE(beatUntil(table, now, now + kTakeoverDelay, { 2 }) == GrantState::Clearing);
    REQUIRE(beat(table, now, { 2 }) == GrantState::Granting);
}

TEST_CASE("a released host is failed at once and for its whole incarnation", "[grants]")
{
    IssuedGrants table = tableAt(kStart);
    MonotonicTime now = kStart;
    beatUntil(table, now, kStart + 5s);
    REQUIRE(beat(table, now, { 1 }, true) == GrantState::Failed);
    REQUIRE(table.reports(kThird, now).at(0).state == GrantState::Failed);
    // A late heartbeat that was sent before the release must not revive it.
    REQUIRE(beatUntil(table, now, now + 5s) == GrantState::Failed);
    REQUIRE(beat(table, now, { 2 }) == GrantState::Clearing);
}

TEST_CASE("a heartbeat with another list version is not granted", "[grants]")
{
    IssuedGrants table = tableAt(kStart);
    MonotonicTime now = kStart;
    beatUntil(table, now, kStart + 5s);
    REQUIRE(beat(table, now, { 1 }, false, false) == GrantState::Clearing);
    REQUIRE(beat(table, now) == GrantState::Granting);
}

static HeartbeatAck ackFor(std::uint64_t sequence, GrantState grant)
{
    HeartbeatAck ack;
    ack.sequence = sequence;
    ack.incarnation = { 7 };
    ack.memberListVersion = { 3 };
    ack.grant = grant;
    ack.reports = { { kThird, GrantState::Failed } };
    return ack;
}

TEST_CASE("a grant counts from the heartbeat that it answers, not from its arrival", "[grants]")
{
    ReceivedGrants collector({ 7 });
    collector.onHeartbeatSent(1, { 3 }, kStart);
    collector.onHeartbeatSent(2, { 3 }, kStart + 1s);
    REQUIRE(collector.onAck(kOther, { 1 }, ackFor(1, GrantState::Granting)));
    REQUIRE(collector.grantedUntil(kOther, { 3 }) == kStart + kGrantDuration);
    REQUIRE(collector.reportedFailedUntil(kOther, kThird) == kStart + kGrantDuration);
    REQUIRE(collector.grantedUntil(kOther, { 4 }) == MonotonicTime::min());
    HeartbeatAck fromOtherList = ackFor(1, GrantState::Granting);
    fromOtherList.memberListVersion = { 4 };
    REQUIRE(collector.onAck(kThird, { 1 }, fromOtherList));
    REQUIRE(collector.grantedUntil(kThird, { 3 }) == MonotonicTime::min());
    REQUIRE(collector.grantedUntil(kThird, { 4 }) == MonotonicTime::min());
    HeartbeatAck forOldProcess = ackFor(2, GrantState::Granting);
    forOldProcess.incarnation = { 6 };
    REQUIRE_FALSE(collector.onAck(kOther, { 1 }, forOldProcess));
    REQUIRE_FALSE(collector.onAck(kOther, { 1 }, ackFor(9, GrantState::Granting)));
    REQUIRE(collector.onAck(kOther, { 2 }, ackFor(2, GrantState::Granting)));
    REQUIRE_FALSE(collector.onAck(kOther, { 1 }, ackFor(2, GrantState::Granting)));
    REQUIRE_FALSE(collector.onAck(kOther, { 2 }, ackFor(1, GrantState::Clearing)));
    REQUIRE(collector.grantedUntil(kOther, { 3 }) == kStart + 1s + kGrantDuration);
}

/** Wait for each of 100 servers after the given list change. */
static std::vector<bool> waits(Revision newVersion, const std::vector<Member> &newMembers,
                               const std::set<HostId> &gone)
{
    const std::vector<Member> old { member(kSelf), member(kOther), member(kThird) };
    HandoverDelays handover(kSelf);
    handover.onNewList({ 0 }, {}, { 3 }, old, {});
    handover.onMajorityHoldsList(kStart - 10s);
    handover.onNewList({ 3 }, old, newVersion, newMembers, gone);
    std::vector<bool> result;
    for (int index = 0; index < 100; ++index)
        result.push_back(handover.delayEnd({ std::to_string(index) }) == kNever);
    handover.onMajorityHoldsList(kStart);
    for (int index = 0; index < 100; ++index) {
        const MonotonicTime end = handover.delayEnd({ std::to_string(index) });
        REQUIRE(result[static_cast<std::size_t>(index)] == (end == kStart + kTakeoverDelay));
    }
    handover.onMajorityHoldsList(kStart + kTakeoverDelay);
    REQUIRE(handover.delayEnd({ "0" }) == MonotonicTime::min());
    return result;
}

TEST_CASE("servers that another member may still use under the old list are waited for", "[grants]")
{
    const std::vector<Member> shorter { member(kSelf), member(kThird) };
    RendezvousRanking ranking;
    ranking.setMembers({ member(kSelf), member(kOther) });
    std::vector<bool> removedRanksHigher;
    for (int index = 0; index < 100; ++index)
        removedRanksHigher.push_back(ranking.order({ std::to_string(index) }).front() == 1);
    const std::vector<bool> none(100, false);
    const std::vector<bool> all(100, true);
    CHECK(waits({ 4 }, shorter, {}) == removedRanksHigher);
    CHECK(waits({ 4 }, shorter, { kOther }) == none); // its process has ended
    CHECK(waits({ 5 }, shorter, { kOther }) == all);  // a list in between is not known
    CHECK(waits({ 4 }, { member(kSelf), member(kOther), member(kThird), member({ "d" }) }, {})
          == none);
    CHECK(waits({ 4 }, { member(kSelf), member({ "d" }) }, { kOther, kThird }) == all);
}
