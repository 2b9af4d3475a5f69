#include "EntryRoleFixture.h"

using namespace greengagestair;
using namespace greengagestair::test;
using trompeloeil::_;

// Guards against an answer that is delayed as a whole by one slow server.
TEST_CASE("a slow part is hedged and its first answer is used", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    fixture.completePart(parts[0]);
    // Before 50 samples, the hedge delay is three times `warmPartTime` (6 ms).
    REQUIRE(fixture.engine.nextWakeUp() == fixture.now + 18ms);
    fixture.advanceTime(18ms);
    const auto hedges = fixture.takeSentParts();
    REQUIRE(hedges.size() == 1);
    REQUIRE(hedges[0].group == parts[1].group);
    REQUIRE(hedges[0].server != parts[1].server);
    REQUIRE(hedges[0].deadline == 80ms);
    fixture.completePart(hedges[0], "hedge");
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);
    REQUIRE(fixture.answerTo(caller)->parts[1].body == "hedge");
    REQUIRE(fixture.router.cancelled == std::vector<PartId> { parts[1].part });
    REQUIRE(fixture.counters.value("hedges_won_total") == 1);
    fixture.completePart(parts[1], "late");
    REQUIRE(fixture.counters.value("late_answers_total") == 1);
}

// Guards against hedges that multiply the load on slow servers.
TEST_CASE("hedges stay within the retry budget", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const std::uint64_t before = fixture.counters.value("parts_total");
    for (int query = 0; query < 100; ++query) {
        fixture.sendRequest();
        fixture.advanceTime(60ms);
        fixture.advanceTime(40ms);
    }
    const std::uint64_t parts = fixture.counters.value("parts_total") - before;
    const std::uint64_t hedges = fixture.counters.value("hedges_total");
    // The budget starts with 10 tokens; every 20 first attempts add one.
    REQUIRE(hedges <= 10 + (parts - hedges) / 20 + 1);
    REQUIRE(hedges >= 10);
    REQUIRE(fixture.counters.value("hedges_denied_total") > 0);
}

// Promise R5: without answer matching, a late answer would be used for the query of another caller.
TEST_CASE("an answer to a closed attempt is dropped", "[query]")
{
    const bool matching = GENERATE(true, false);
    MechanismSwitches mechanisms;
    mechanisms.answerMatching = matching;
    EntryRoleFixture fixture(mechanisms);
    fixture.makeSignatureKnownGood();
    fixture.sendRequest();
    const auto first = fixture.takeSentParts();
    fixture.advanceTime(100ms);
    const CallerId caller = fixture.sendRequest();
    const auto second = fixture.takeSentParts();
    fixture.completePart(first[0], "of the first query");
    fixture.completePart(second[1]);
    REQUIRE(fixture.answerTo(caller).has_value() == !matching);
    fixture.completePart(second[0], "own");
    if (matching)
        REQUIRE(fixture.answerTo(caller)->parts[0].body == "own");
}

TEST_CASE("an answer from a host that is not the owner is dropped", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    auto parts = fixture.takeSentParts();
    fixture.completePart(parts[0]);
    parts[1].server = { "other" };
    fixture.completePart(parts[1]);
    REQUIRE_FALSE(fixture.answerTo(caller).has_value());
    REQUIRE(fixture.counters.value("mismatched_answers_total") == 1);
}

// Guards against answers in which a key range is missing while its group has untried replicas.
TEST_CASE("refused parts and parts of lost owners are retried on other replicas", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    fixture.failPart(parts[0], PartOutcome::NotSent, PartReason::NotOwner);
    fixture.run([&](StepContext &context) {
        fixture.engine.onPeerLost(context, { "owner-" + parts[1].server.value });
    });
    const auto retries = fixture.takeSentParts();
    REQUIRE(retries.size() == 2);
    fixture.completePart(retries[0]);
    fixture.completePart(retries[1]);
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);

    // New queries avoid the failed servers.
    fixture.sendRequest();
    for (const PartRequest &part : fixture.takeSentParts())
        REQUIRE_FALSE(part.server.value.ends_with("shubra"));
}

// Guards against a broken response that ends a query although another replica could answer it, and
// against repeats beyond the budget.
TEST_CASE("after a broken response a part is sent to another replica within the budget", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const auto breakFirst = [&](const std::vector<PartRequest> &parts) {
        fixture.failPart(parts[0], PartOutcome::MayHaveRun, PartReason::Mismatch);
        for (std::size_t i = 1; i < parts.size(); ++i)
            fixture.completePart(parts[i]);
    };
    CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    breakFirst(parts);
    const auto repeats = fixture.takeSentParts();
    REQUIRE(repeats.size() == 1);
    REQUIRE(repeats[0].server != parts[0].server);
    fixture.completePart(repeats[0]);
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);

    std::size_t sentAgain = 0;
    for (int query = 0; query < 40; ++query) {
        caller = fixture.sendRequest();
        breakFirst(fixture.takeSentParts());
        for (const PartRequest &part : fixture.takeSentParts()) {
            ++sentAgain;
            fixture.completePart(part);
        }
    }
    // The budget holds 10 repeats; every 20 first attempts add one.
    REQUIRE(sentAgain >= 9);
    REQUIRE(sentAgain <= 10 + 40 * parts.size() / 20 + 1);
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Partial);
}

// Promise R6: the outcome is "not run" only if it is proved that no attempt was executed.
TEST_CASE(
        "a query without answered parts ends as failed if an attempt may have run, else as not run",
        "[query]")
{
    const bool ran = GENERATE(true, false);
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    for (int round = 0; round < 3; ++round) {
        for (const PartRequest &part : fixture.takeSentParts()) {
            if (ran)
                fixture.failPart(part, PartOutcome::MayHaveRun, PartReason::TimedOut);
            else
                fixture.failPart(part, PartOutcome::NotSent, PartReason::Overloaded);
        }
    }
    const auto answer = fixture.answerTo(caller);
    REQUIRE(answer.has_value());
    REQUIRE(answer->outcome == (ran ? QueryOutcome::Failed : QueryOutcome::NotRun));
    REQUIRE(answer->reason == (ran ? QueryReason::DeadlinePassed : QueryReason::Overloaded));
    REQUIRE(answer->missing.size() == 3);
}

// Guards against missing parts while servers load a new index version.
TEST_CASE("a query moves to an older snapshot when a group lacks the newest", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    auto parts = fixture.takeSentParts();
    fixture.completePart(parts[1]);
    PartAnswer lacking;
    lacking.outcome = PartOutcome::VersionNotHeld;
    lacking.reason = PartReason::VersionNotHeld;
    lacking.heldVersions = { { 7 }, { 6 } };
    for (PartRequest part = parts[0]; part.version == IndexVersion { 8 };) {
        fixture.answerPart(part, lacking);
        parts = fixture.takeSentParts();
        REQUIRE_FALSE(parts.empty());
        part = parts[0];
    }
    while (!parts.empty()) {
        for (const PartRequest &part : parts) {
            REQUIRE(part.version == IndexVersion { 7 });
            fixture.completePart(part);
        }
        parts = fixture.takeSentParts();
    }
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);
    REQUIRE(fixture.answerTo(caller)->snapshot == IndexVersion { 7 });

    // The next query uses version 7, which all groups hold, until the record that servers lack
    // version 8 expires.
    fixture.sendRequest();
    REQUIRE(fixture.takeSentParts()[0].version == IndexVersion { 7 });
    fixture.advanceTime(1100ms);
    fixture.sendRequest();
    REQUIRE(fixture.takeSentParts()[0].version == IndexVersion { 8 });
}

// Promises R7 and R6: the request is executed at most once, and is answered as "not run" only if
// that is proved.
TEST_CASE("a non-repeatable request", "[query]")
{
    MechanismSwitches mechanisms;
    mechanisms.refusalProof = GENERATE(true, false);
    EntryRoleFixture fixture(mechanisms);
    ClaimHandler claimed;
    RecordHandler recorded;
    REQUIRE_CALL(fixture.claims, claim(_, _, IdempotencyKey { "1796342400-a" }, _, _))
            .LR_SIDE_EFFECT(claimed = _5);
    const CallerId caller = fixture.sendRequest("book", "orders");
    REQUIRE(fixture.takeSentParts().empty());
    const auto finishClaim = [&](ClaimResult result) {
        fixture.run([&](StepContext &context) { claimed(context, result); });
    };

    SECTION("is recorded before it is answered")
    {
        finishClaim({ ClaimResult::Verdict::Claimed, QueryReason::None, {}, "" });
        const auto parts = fixture.takeSentParts();
        REQUIRE(parts.size() == 1);
        REQUIRE_FALSE(parts[0].repeatable);
        REQUIRE_CALL(fixture.claims, recordResult(_, _, _, IndexVersion { 8 }, "booked", _, _))
                .LR_SIDE_EFFECT(recorded = _7);
        fixture.completePart(parts[0], "booked");
        REQUIRE_FALSE(fixture.answerTo(caller).has_value());
        fixture.run([&](StepContext &context) { recorded(context, true); });
        REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);
        REQUIRE(fixture.answerTo(caller)->parts[0].body == "booked");
    }
    SECTION("is not hedged, and its late result is still recorded")
    {
        finishClaim({ ClaimResult::Verdict::Claimed, QueryReason::None, {}, "" });
        const auto parts = fixture.takeSentParts();
        fixture.advanceTime(50ms);
        REQUIRE(fixture.takeSentParts().empty());
        fixture.advanceTime(50ms);
        REQUIRE(fixture.answerTo(caller)->outcome
                == (mechanisms.refusalProof ? QueryOutcome::MayHaveRun : QueryOutcome::NotRun));
        REQUIRE_CALL(fixture.claims, recordResult(_, _, _, _, _, _, _))
                .LR_SIDE_EFFECT(recorded = _7);
        fixture.completePart(parts[0], "late");
        fixture.run([&](StepContext &context) { recorded(context, true); });
        REQUIRE(fixture.engine.idle());
    }
    SECTION("is retried only if the owner proved that it sent nothing")
    {
        finishClaim({ ClaimResult::Verdict::Claimed, QueryReason::None, {}, "" });
        auto parts = fixture.takeSentParts();
        fixture.failPart(parts[0], PartOutcome::NotSent, PartReason::NotOwner);
        parts = fixture.takeSentParts();
        REQUIRE(parts.size() == 1);
        fixture.run([&](StepContext &context) {
            fixture.engine.onPeerLost(context, { "owner-" + parts[0].server.value });
        });
        REQUIRE(fixture.takeSentParts().empty());
        REQUIRE(fixture.answerTo(caller)->outcome
                == (mechanisms.refusalProof ? QueryOutcome::MayHaveRun : QueryOutcome::NotRun));
    }
    SECTION("may have run after a broken response, and is not sent again")
    {
        finishClaim({ ClaimResult::Verdict::Claimed, QueryReason::None, {}, "" });
        fixture.failPart(fixture.takeSentParts()[0], PartOutcome::MayHaveRun, PartReason::Mismatch);
        REQUIRE(fixture.takeSentParts().empty());
        REQUIRE(fixture.answerTo(caller)->outcome
                == (mechanisms.refusalProof ? QueryOutcome::MayHaveRun : QueryOutcome::NotRun));
    }
    SECTION("has its claim released when every replica refused it")
    {
        finishClaim({ ClaimResult::Verdict::Claimed, QueryReason::None, {}, "" });
        REQUIRE_CALL(fixture.claims, release(_, _, _));
        for (int replica = 0; replica < 3; ++replica)
            fixture.failPart(fixture.takeSentParts()[0], PartOutcome::NotSent,
                             PartReason::Overloaded);
        REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::NotRun);
        REQUIRE(fixture.answerTo(caller)->reason == QueryReason::Overloaded);
    }
    SECTION("has its claim released when its caller disconnects before it is sent")
    {
        fixture.run(
                [&](StepContext &context) { fixture.engine.onCallerGone(context, { caller }); });
        REQUIRE_CALL(fixture.claims, release(_, _, _));
        finishClaim({ ClaimResult::Verdict::Claimed, QueryReason::None, {}, "" });
        REQUIRE(fixture.takeSentParts().empty());
        REQUIRE(fixture.engine.idle());
    }
    SECTION("occupies no admission slot while it waits for the platform")
    {
        ALLOW_CALL(fixture.claims, claim(_, _, _, _, _));
        for (int request = 0; request < 50; ++request)
            fixture.sendRequest("book", "orders");
        fixture.sendRequest("find", "orders");
        REQUIRE(fixture.takeSentParts().size() == 1);
    }
    SECTION("is answered as may have run if an earlier claim exists")
    {
        finishClaim({ ClaimResult::Verdict::MayHaveRun, QueryReason::ClaimedElsewhere, {}, "" });
        REQUIRE(fixture.takeSentParts().empty());
        REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::MayHaveRun);
    }
}
