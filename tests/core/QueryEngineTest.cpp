#include "EntryRoleFixture.h"
#include "core/quarantine/Signature.h"

using namespace greengagestair;
using namespace greengagestair::test;

// Guards against answers that omit or repeat key ranges, or assign bodies to wrong ranges.
TEST_CASE("an answer covers each key range of the snapshot once", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    REQUIRE(parts.size() == 2);
    for (const PartRequest &part : parts) {
        REQUIRE(part.version == IndexVersion { 8 });
        REQUIRE(part.server.value.ends_with("shubra"));
        // 1 ms is kept for the answer to the caller and 1 ms for the round trip to the owner.
        REQUIRE(part.deadline == 98ms);
    }
    fixture.completePart(parts[1], "one");
    REQUIRE_FALSE(fixture.answerTo(caller).has_value());
    fixture.completePart(parts[0], "zero");

    const auto answer = fixture.answerTo(caller);
    REQUIRE(answer.has_value());
    REQUIRE(answer->outcome == QueryOutcome::Complete);
    REQUIRE(answer->missing.empty());
    REQUIRE(answer->parts.size() == 3);
    REQUIRE(answer->parts[0].body == "zero");
    REQUIRE(answer->parts[1].body == "one");
    REQUIRE(answer->parts[1].from == "g");
    REQUIRE(answer->parts[2].body == "zero");
    REQUIRE(fixture.engine.idle());
}

// Promise R2: without coverage accounting, a partial answer would be labelled complete.
TEST_CASE("an answer at the deadline lists the missing ranges", "[query]")
{
    const bool accounting = GENERATE(true, false);
    MechanismSwitches mechanisms;
    mechanisms.coverageAccounting = accounting;
    EntryRoleFixture fixture(mechanisms);
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    fixture.completePart(parts[0]);
    // The query ends 1 ms before the deadline of its caller (100 ms).
    fixture.advanceTime(98ms);
    REQUIRE_FALSE(fixture.answerTo(caller).has_value());
    fixture.advanceTime(1ms);
    const auto answer = fixture.answerTo(caller);
    REQUIRE(answer.has_value());
    REQUIRE((answer->outcome == QueryOutcome::Partial) == accounting);
    REQUIRE(answer->missing.size() == (accounting ? 1 : 0));
    fixture.completePart(parts[1]);
    REQUIRE(fixture.counters.value("late_answers_total") == 1);
}

// Promise R1: without snapshot pinning, one answer could mix results of different index versions.
TEST_CASE("a part answer from another index version is rejected", "[query]")
{
    const bool pinning = GENERATE(true, false);
    MechanismSwitches mechanisms;
    mechanisms.snapshotPinning = pinning;
    EntryRoleFixture fixture(mechanisms);
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    fixture.completePart(parts[0]);
    PartAnswer other;
    other.outcome = PartOutcome::Answered;
    other.version = { 7 };
    fixture.answerPart(parts[1], other);
    REQUIRE(fixture.answerTo(caller).has_value() == !pinning);
}

// Guards against late answers to an earlier process of this host that match an attempt of the
// current process.
TEST_CASE("part identifiers of two incarnations differ", "[query]")
{
    EntryRoleFixture first;
    EntryRoleFixture second({}, { 2000000 });
    first.sendRequest();
    second.sendRequest();
    REQUIRE(first.takeSentParts().front().part != second.takeSentParts().front().part);
}

TEST_CASE("requests that cannot be accepted are refused as not run", "[query]")
{
    EntryRoleFixture fixture;
    const auto reasonOf = [&](CallerId caller) {
        const auto answer = fixture.answerTo(caller);
        REQUIRE(answer.has_value());
        REQUIRE(answer->outcome == QueryOutcome::NotRun);
        return answer->reason;
    };
    REQUIRE(reasonOf(fixture.sendRequest("find", "nothing")) == QueryReason::UnknownService);
    REQUIRE(reasonOf(fixture.sendRequest("nothing")) == QueryReason::UnknownOperation);
    fixture.documents.snapshotsOf.erase({ "lookup" });
    REQUIRE(reasonOf(fixture.sendRequest()) == QueryReason::NoSnapshot);
    fixture.documents.hasConfiguration = false;
    REQUIRE(reasonOf(fixture.sendRequest()) == QueryReason::NotReady);
}

// Promise R9: without draining, a stop would drop accepted queries.
TEST_CASE("a stop refuses new requests and completes accepted requests", "[query]")
{
    const bool draining = GENERATE(true, false);
    MechanismSwitches mechanisms;
    mechanisms.stopDraining = draining;
    EntryRoleFixture fixture(mechanisms);
    fixture.makeSignatureKnownGood();
    const CallerId accepted = fixture.sendRequest();
    fixture.engine.requestStop(fixture.now + 10s);
    const CallerId refused = fixture.sendRequest();
    REQUIRE(fixture.answerTo(refused)->reason == QueryReason::Stopping);
    REQUIRE(fixture.engine.idle() == !draining);
    for (const PartRequest &part : fixture.takeSentParts())
        fixture.completePart(part);
    REQUIRE(fixture.answerTo(accepted).has_value() == draining);
    REQUIRE(fixture.engine.idle());
}

// Guards against accepted requests that are cut off without an answer when the stop times out.
TEST_CASE("a stop answers the requests that are still in progress at its end", "[query]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    fixture.takeSentParts();
    fixture.engine.requestStop(fixture.now + 50ms);
    fixture.advanceTime(49ms);
    REQUIRE_FALSE(fixture.answerTo(caller).has_value());
    fixture.advanceTime(1ms);
    REQUIRE(fixture.answerTo(caller).has_value());
}

// Promise R4: without the check of the failure domain state, a server that is out of service would
// get new parts.
TEST_CASE("servers that accept no new work get no parts", "[query]")
{
    const bool checked = GENERATE(true, false);
    MechanismSwitches mechanisms;
    mechanisms.failureDomainState = checked;
    EntryRoleFixture fixture(mechanisms);
    fixture.makeSignatureKnownGood();
    fixture.documents.serversRefusingWork = { { "lookup-g0-shubra" }, { "lookup-g1-shubra" } };
    fixture.sendRequest();
    for (const PartRequest &part : fixture.takeSentParts())
        REQUIRE(part.server.value.ends_with("shubra") == !checked);
}

TEST_CASE("signatures depend on service, operation and body", "[query]")
{
    const Signature one = computeSignature({ "a" }, { "b" }, "c");
    REQUIRE(one == computeSignature({ "a" }, { "b" }, "c"));
    REQUIRE(one != computeSignature({ "ab" }, { "" }, "c"));
    REQUIRE(one != computeSignature({ "a" }, { "" }, "bc"));
}
