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

static IssuedGrants makeGrants(MonotonicTime now)
{
    IssuedGrants grants;
    grants.setMembers({ member(kSelf), member(kOther), member(kThird) }, kSelf, now);
    return grants;
}

static GrantState sendHeartbeat(IssuedGrants &grants, MonotonicTime now,
                                Incarnation incarnation = { 1 }, bool released = false,
                                bool mayGrant = true)
{
    grants.detectFailures(now);
    return grants.onHeartbeat(kOther, incarnation, released, mayGrant, now);
}

/** Sends a heartbeat every 250 ms until `end`; returns the last statement. */
static GrantState sendHeartbeatsUntil(IssuedGrants &grants, MonotonicTime &now, MonotonicTime end,
                                      Incarnation incarnation = { 1 })
{
    GrantState last = GrantState::Clearing;
    for (; now < end; now += kHeartbeatInterval)
        last = sendHeartbeat(grants, now, incarnation);
    return last;
}

TEST_CASE("a new process does not grant before statements of its former process have expired",
          "[grants]")
{
    IssuedGrants grants = makeGrants(kStart);
    MonotonicTime now = kStart;
    REQUIRE(sendHeartbeatsUntil(grants, now, kStart + kTakeoverDelay) == GrantState::Clearing);
    REQUIRE(sendHeartbeat(grants, now) == GrantState::Granting);
}

TEST_CASE("a failure report and a grant are at least kTakeoverDelay apart", "[grants]")
{
    IssuedGrants grants = makeGrants(kStart);
    MonotonicTime now = kStart;
    sendHeartbeatsUntil(grants, now, kStart + 5s);
    const MonotonicTime lastGrant = now - kHeartbeatInterval;
    grants.detectFailures(lastGrant + kTakeoverDelay - 1us);
    REQUIRE(grants.state(kOther) == GrantState::Granting);
    grants.detectFailures(lastGrant + kTakeoverDelay);
    REQUIRE(grants.reports(kThird, lastGrant + kTakeoverDelay).at(0).state == GrantState::Failed);
    now = lastGrant + 10s;
    REQUIRE(sendHeartbeatsUntil(grants, now, lastGrant + 10s + kTakeoverDelay)
            == GrantState::Clearing);
    REQUIRE(sendHeartbeat(grants, now) == GrantState::Granting);
}

TEST_CASE("a restarted host is not granted at once and its former process is not acked", "[grants]")
{
    IssuedGrants grants = makeGrants(kStart);
    MonotonicTime now = kStart;
    REQUIRE(sendHeartbeatsUntil(grants, now, kStart + 5s) == GrantState::Granting);
    REQUIRE(sendHeartbeat(grants, now, { 2 }) == GrantState::Clearing);
    REQUIRE_FALSE(grants.isCurrentIncarnation(kOther, { 1 }));
    REQUIRE(sendHeartbeatsUntil(grants, now, now + kTakeoverDelay, { 2 }) == GrantState::Clearing);
    REQUIRE(sendHeartbeat(grants, now, { 2 }) == GrantState::Granting);
}

TEST_CASE("a released host is reported as failed at once, until it restarts", "[grants]")
{
    IssuedGrants grants = makeGrants(kStart);
    MonotonicTime now = kStart;
    sendHeartbeatsUntil(grants, now, kStart + 5s);
    REQUIRE(sendHeartbeat(grants, now, { 1 }, true) == GrantState::Failed);
    REQUIRE(grants.reports(kThird, now).at(0).state == GrantState::Failed);
    // A late heartbeat that was sent before the release must not end the failure report.
    REQUIRE(sendHeartbeatsUntil(grants, now, now + 5s) == GrantState::Failed);
    REQUIRE(sendHeartbeat(grants, now, { 2 }) == GrantState::Clearing);
}

TEST_CASE("a heartbeat with another list version gets no grant", "[grants]")
{
    IssuedGrants grants = makeGrants(kStart);
    MonotonicTime now = kStart;
    sendHeartbeatsUntil(grants, now, kStart + 5s);
    REQUIRE(sendHeartbeat(grants, now, { 1 }, false, false) == GrantState::Clearing);
    REQUIRE(sendHeartbeat(grants, now) == GrantState::Granting);
}

static HeartbeatAck makeAck(std::uint64_t sequence, GrantState grant)
{
    HeartbeatAck ack;
    ack.sequence = sequence;
    ack.incarnation = { 7 };
    ack.memberListVersion = { 3 };
    ack.grant = grant;
    ack.reports = { { kThird, GrantState::Failed } };
    return ack;
}

TEST_CASE("a grant is valid from the sending of the acked heartbeat, not from its arrival",
          "[grants]")
{
    ReceivedGrants received({ 7 });
    received.onHeartbeatSent(1, { 3 }, kStart);
    received.onHeartbeatSent(2, { 3 }, kStart + 1s);
    REQUIRE(received.onAck(kOther, { 1 }, makeAck(1, GrantState::Granting)));
    REQUIRE(received.grantedUntil(kOther, { 3 }) == kStart + kGrantDuration);
    REQUIRE(received.reportedFailedUntil(kOther, kThird) == kStart + kGrantDuration);
    REQUIRE(received.grantedUntil(kOther, { 4 }) == MonotonicTime::min());
    HeartbeatAck fromOtherList = makeAck(1, GrantState::Granting);
    fromOtherList.memberListVersion = { 4 };
    REQUIRE(received.onAck(kThird, { 1 }, fromOtherList));
    REQUIRE(received.grantedUntil(kThird, { 3 }) == MonotonicTime::min());
    REQUIRE(received.grantedUntil(kThird, { 4 }) == MonotonicTime::min());
    HeartbeatAck forOldProcess = makeAck(2, GrantState::Granting);
    forOldProcess.incarnation = { 6 };
    REQUIRE_FALSE(received.onAck(kOther, { 1 }, forOldProcess));
    REQUIRE_FALSE(received.onAck(kOther, { 1 }, makeAck(9, GrantState::Granting)));
    REQUIRE(received.onAck(kOther, { 2 }, makeAck(2, GrantState::Granting)));
    REQUIRE_FALSE(received.onAck(kOther, { 1 }, makeAck(2, GrantState::Granting)));
    REQUIRE_FALSE(received.onAck(kOther, { 2 }, makeAck(1, GrantState::Clearing)));
    REQUIRE(received.grantedUntil(kOther, { 3 }) == kStart + 1s + kGrantDuration);
}

/** For each of 100 servers, whether the given list change delays its use. */
static std::vector<bool> delayedServers(Revision newVersion, const std::vector<Member> &newMembers,
                                        const std::set<HostId> &ended)
{
    const std::vector<Member> old { member(kSelf), member(kOther), member(kThird) };
    HandoverDelays delays(kSelf);
    delays.onNewList({ 0 }, {}, { 3 }, old, {});
    delays.onMajorityHoldsList(kStart - 10s);
    delays.onNewList({ 3 }, old, newVersion, newMembers, ended);
    std::vector<bool> result;
    for (int index = 0; index < 100; ++index)
        result.push_back(delays.delayEnd({ std::to_string(index) }) == kNever);
    delays.onMajorityHoldsList(kStart);
    for (int index = 0; index < 100; ++index) {
        const MonotonicTime end = delays.delayEnd({ std::to_string(index) });
        REQUIRE(result[static_cast<std::size_t>(index)] == (end == kStart + kTakeoverDelay));
    }
    delays.onMajorityHoldsList(kStart + kTakeoverDelay);
    REQUIRE(delays.delayEnd({ "0" }) == MonotonicTime::min());
    return result;
}

TEST_CASE("servers that another member may still own under the old list are delayed", "[grants]")
{
    const std::vector<Member> shorter { member(kSelf), member(kThird) };
    RendezvousRanking ranking;
    ranking.setMembers({ member(kSelf), member(kOther) });
    std::vector<bool> removedRanksHigher;
    for (int index = 0; index < 100; ++index)
        removedRanksHigher.push_back(ranking.order({ std::to_string(index) }).front() == 1);
    const std::vector<bool> none(100, false);
    const std::vector<bool> all(100, true);
    CHECK(delayedServers({ 4 }, shorter, {}) == removedRanksHigher);
    CHECK(delayedServers({ 4 }, shorter, { kOther }) == none); // the removed member has ended
    CHECK(delayedServers({ 5 }, shorter, { kOther }) == all);  // a list version was skipped
    CHECK(delayedServers({ 4 }, { member(kSelf), member(kOther), member(kThird), member({ "d" }) },
                         {})
          == none);
    CHECK(delayedServers({ 4 }, { member(kSelf), member({ "d" }) }, { kOther, kThird }) == all);
}
