#include "EntryRoleFixture.h"

#include "core/quarantine/Signature.h"

#include <boost/json.hpp>

using namespace greengagestair;
using namespace greengagestair::test;

namespace {

const Signature kSignature = computeSignature({ "lookup" }, { "find" }, "query");

/** Applies the pending changes of the document and makes the fixture read the result. */
void applyWrites(EntryRoleFixture &fixture, std::optional<std::string> &content)
{
    for (const TestWriter::Change &write : std::exchange(fixture.writer.changes, {})) {
        REQUIRE(write.key == PlatformKey { "quarantine" });
        if (auto next = write.change(content))
            content = next;
        fixture.run([&](StepContext &context) { write.done(context, true); });
    }
    fixture.documents.quarantined.entries.clear();
    if (!content.has_value())
        return;
    const boost::json::value document = boost::json::parse(*content);
    for (const auto &item : document.at("entries").as_array()) {
        QuarantineEntry entry;
        entry.signature = { std::stoull(std::string(item.at("signature").as_string()), nullptr,
                                        16) };
        if (item.at("state").as_string() == "quarantined")
            entry.state = QuarantineState::Quarantined;
        for (const auto &server : item.at("lostServers").as_array())
            entry.lostServers.push_back({ std::string(server.as_string()) });
        fixture.documents.quarantined.entries.push_back(entry);
    }
    fixture.run([](StepContext &) {});
}

void reportCrash(EntryRoleFixture &fixture, const PartRequest &part)
{
    fixture.run([&](StepContext &context) {
        fixture.quarantine.serverLost(context, part.server, { part.signature });
    });
    fixture.failPart(part, PartOutcome::ServerLost, PartReason::ConnectionLost);
}

} // namespace

// Without a canary, a request that crashes servers would reach one server of every group at once.
TEST_CASE("an unknown request is sent to one server first", "[quarantine]")
{
    EntryRoleFixture fixture;
    fixture.sendRequest();
    const auto canary = fixture.takeSentParts();
    REQUIRE(canary.size() == 1);
    REQUIRE_FALSE(canary[0].isolated);
    fixture.completePart(canary[0]);
    const auto rest = fixture.takeSentParts();
    REQUIRE(rest.size() == 1);
    REQUIRE(rest[0].group != canary[0].group);
    fixture.sendRequest();
    REQUIRE(fixture.takeSentParts().size() == 2);
    // Another entry host chooses the same server.
    EntryRoleFixture other;
    other.sendRequest();
    REQUIRE(other.takeSentParts()[0].server == canary[0].server);
}

// Without the quarantine, retries lose every replica of every group.
TEST_CASE("a request that crashes servers reaches two servers at most, however often it is sent",
          "[quarantine]")
{
    const bool enabled = GENERATE(true, false);
    MechanismSwitches mechanisms;
    mechanisms.quarantine = enabled;
    EntryRoleFixture fixture(mechanisms);
    std::optional<std::string> content;
    std::set<ServerId> lost;
    for (int round = 0; round < 10; ++round) {
        fixture.sendRequest();
        for (int attempt = 0; attempt < 5; ++attempt) {
            for (const PartRequest &part : fixture.takeSentParts()) {
                lost.insert(part.server);
                reportCrash(fixture, part);
            }
            applyWrites(fixture, content);
        }
        fixture.advanceTime(100ms);
    }
    REQUIRE(lost.size() == (enabled ? 2 : 6));
    if (!enabled)
        return;
    const CallerId caller = fixture.sendRequest();
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::NotRun);
    REQUIRE(fixture.answerTo(caller)->reason == QueryReason::Quarantined);
    REQUIRE(fixture.quarantine.isBlocked(kSignature));
}

// There must be no second attempt before the first loss is in the document.
TEST_CASE("a suspect request waits for the document and is then sent in isolation", "[quarantine]")
{
    EntryRoleFixture fixture;
    const CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    REQUIRE(parts.size() == 1);
    reportCrash(fixture, parts[0]);
    REQUIRE(fixture.takeSentParts().empty());
    REQUIRE_FALSE(fixture.quarantine.mayRun(kSignature, true));
    const CallerId refused = fixture.sendRequest();
    REQUIRE(fixture.answerTo(refused)->reason == QueryReason::Quarantined);

    std::optional<std::string> content;
    applyWrites(fixture, content);
    const auto isolated = fixture.takeSentParts();
    REQUIRE(isolated.size() == 1);
    REQUIRE(isolated[0].isolated);
    REQUIRE(isolated[0].group == parts[0].group);
    REQUIRE(isolated[0].server != parts[0].server);
    REQUIRE(fixture.quarantine.mayRun(kSignature, true));
    REQUIRE_FALSE(fixture.quarantine.mayRun(kSignature, false));

    // A request that did not cause the loss is cleared by the answer to its isolated part, and all
    // its parts are sent at once again.
    fixture.completePart(isolated[0]);
    for (const PartRequest &part : fixture.takeSentParts())
        fixture.completePart(part);
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);
    fixture.run([&](StepContext &context) {
        fixture.quarantine.signatureAnswered(context, kSignature);
    });
    applyWrites(fixture, content);
    REQUIRE(fixture.documents.quarantined.entries.empty());
    fixture.sendRequest();
    const auto again = fixture.takeSentParts();
    REQUIRE(again.size() == 2);
    REQUIRE_FALSE(again[0].isolated);
}

// A loss must not be discarded because the platform is unavailable when it is written.
TEST_CASE("a loss is written again until it is accepted", "[quarantine]")
{
    EntryRoleFixture fixture;
    fixture.run([&](StepContext &context) {
        fixture.quarantine.serverLost(context, { "lookup-g0-shubra" }, { kSignature });
    });
    REQUIRE(fixture.writer.changes.size() == 1);
    fixture.run([&](StepContext &context) { fixture.writer.changes[0].done(context, false); });
    REQUIRE(fixture.quarantine.isBlocked(kSignature));
    REQUIRE(fixture.quarantine.nextWakeUp() == fixture.now + 500ms);
    fixture.advanceTime(500ms);
    REQUIRE(fixture.writer.changes.size() == 2);
    fixture.run([&](StepContext &context) { fixture.writer.changes[1].done(context, true); });
    REQUIRE_FALSE(fixture.quarantine.isBlocked(kSignature));
}

// Requests must not be refused because servers were lost for other reasons. The fault that this
// test guards against: with ten replicas killed at once, most known requests were quarantined.
TEST_CASE("a loss does not make a signature suspect if it was answered before", "[quarantine]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood();
    const CallerId caller = fixture.sendRequest();
    for (const PartRequest &part : fixture.takeSentParts())
        fixture.failPart(part, PartOutcome::ServerLost, PartReason::ConnectionLost);
    const auto retries = fixture.takeSentParts();
    REQUIRE(retries.size() == 2);
    for (const PartRequest &part : retries)
        fixture.completePart(part);
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);
    REQUIRE_FALSE(fixture.quarantine.isBlocked(kSignature));
}

TEST_CASE("updates keep other entries and write nothing if nothing changes", "[quarantine]")
{
    QuarantineUpdate update;
    update.time = WallTime(1796342400s);
    update.losses = { { { 1 }, { { "a" } } } };
    const auto first = update.applyTo("not JSON");
    REQUIRE(first
            == R"({"entries":[{"signature":"0000000000000001","state":"suspect",)"
               R"("lostServers":["a"],"changedAtMs":1796342400000}]})");
    REQUIRE_FALSE(update.applyTo(first).has_value());
    update.losses = { { { 1 }, { { "b" } } }, { { 2 }, { { "b" } } } };
    const auto second = update.applyTo(first);
    update.losses.clear();
    update.cleared = { { 1 }, { 2 } };
    // An answer does not clear a quarantined signature.
    REQUIRE(update.applyTo(second)->find("quarantined") != std::string::npos);
    REQUIRE(update.applyTo(second)->find("0000000000000002") == std::string::npos);
}

// An unknown request must not fail because the first server in its order is down.
TEST_CASE("a canary that could not be sent goes to the next server in order", "[quarantine]")
{
    EntryRoleFixture fixture;
    const CallerId caller = fixture.sendRequest();
    std::set<ServerId> servers;
    for (int attempt = 0; attempt < 4; ++attempt) {
        const auto canary = fixture.takeSentParts();
        REQUIRE(canary.size() == 1);
        REQUIRE(servers.insert(canary[0].server).second);
        if (attempt < 3)
            fixture.failPart(canary[0], PartOutcome::NotSent, PartReason::Unreachable);
        else
            fixture.completePart(canary[0]);
    }
    fixture.completePart(fixture.takeSentParts()[0]);
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Complete);
}

TEST_CASE("without the platform a suspect request fails", "[quarantine]")
{
    EntryRoleFixture fixture;
    const CallerId caller = fixture.sendRequest();
    const auto parts = fixture.takeSentParts();
    reportCrash(fixture, parts[0]);
    fixture.advanceTime(100ms);
    REQUIRE(fixture.takeSentParts().empty());
    REQUIRE(fixture.answerTo(caller)->outcome == QueryOutcome::Failed);
    REQUIRE(fixture.answerTo(caller)->missing.size() == 3);
}
