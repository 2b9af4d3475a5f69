#include "core/CellSimulation.h"
#include "core/documents/DocumentParsers.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace greengagestair;
using namespace std::chrono_literals;

static const std::vector<std::string> kHosts { "shubra-1", "shubra-2", "shubra-3",
                                               "bulaq-1",  "bulaq-2",  "bulaq-3" };

static std::string domainOf(const std::string &host)
{
    return host.substr(0, host.find('-'));
}

static void startFleet(CellSimulation &fleet)
{
    fleet.platform.setHosts(kHosts);
    for (const std::string &host : kHosts)
        fleet.start(host, domainOf(host));
    fleet.run(15s);
}

/** Runs the simulation until all given hosts hold the configuration with this changeId, but no
 * longer than `limit`, and returns the elapsed time. */
static Duration timeUntilHeld(CellSimulation &fleet, const std::vector<std::string> &hosts,
                              const std::string &changeId, Duration limit)
{
    const MonotonicTime begin = fleet.now();
    const auto holds = [&](const std::string &host) {
        const Configuration *held = fleet.node(host).documents.configuration();
        return held && held->changeId == changeId;
    };
    while (!std::all_of(hosts.begin(), hosts.end(), holds) && fleet.now() - begin < limit)
        fleet.run(10ms);
    return fleet.now() - begin;
}

/** Writes a configuration with this changeId to the platform. */
static void putChange(CellSimulation &fleet, const std::string &changeId)
{
    fleet.platform.put("configuration", makeConfiguration({ "shubra", "bulaq" }, 12, changeId));
}

TEST_CASE("a change is in force on every host within 2 s", "[documents]")
{
    CellSimulation fleet(1);
    startFleet(fleet);
    putChange(fleet, "c2");
    REQUIRE(timeUntilHeld(fleet, kHosts, "c2", 5s) < 2s);
}

TEST_CASE("in a stable cell two members watch each document", "[documents]")
{
    CellSimulation fleet(1);
    startFleet(fleet);
    fleet.run(30s);
    fleet.platform.calls.clear();
    fleet.run(20s);
    // In each of 2 cells, 2 members watch 4 documents: configuration, quarantine, snapshots and own
    // member list. A watch is renewed every 20 s, so at most 2 renewals fall into these 20 s.
    REQUIRE(fleet.platform.calls["watch"] <= 2 * 2 * 4 * 2);
    // In each of 2 cells, one member polls the host list at least 1.5 s apart and each of the 3
    // members reads it at least 7.5 s apart: at most 14 polls and 3 * 3 reads in 20 s.
    REQUIRE(fleet.platform.calls["hosts"] <= 2 * (14 + 3 * 3));
}

TEST_CASE("a cell without connection to the platform receives changes from other cells",
          "[documents]")
{
    CellSimulation fleet(2);
    startFleet(fleet);
    for (const std::string host : { "shubra-1", "shubra-2", "shubra-3" })
        fleet.blockLink(host, "platform");
    putChange(fleet, "c2");
    REQUIRE(timeUntilHeld(fleet, kHosts, "c2", 10s) < 2s);
}

TEST_CASE("a change reaches a cell that lost its watchers and its connections to other cells",
          "[documents]")
{
    CellSimulation fleet(3);
    startFleet(fleet);
    for (const std::string other : { "bulaq-1", "bulaq-2", "bulaq-3" }) {
        for (const std::string host : { "shubra-1", "shubra-2", "shubra-3" }) {
            fleet.blockLink(other, host);
            fleet.blockLink(host, other);
        }
    }
    // Watchers that reach their peers but not the platform are the harder case: no other member
    // takes their place, so that a change arrives only by the reads at long intervals.
    fleet.blockLink("shubra-1", "platform");
    fleet.blockLink("shubra-2", "platform");
    fleet.run(30s);
    putChange(fleet, "c2");
    // A read follows the previous one after at most 12.5 s.
    REQUIRE(timeUntilHeld(fleet, kHosts, "c2", 60s) < 13s);
    fleet.kill("shubra-1");
    fleet.kill("shubra-2");
    fleet.run(6s);
    putChange(fleet, "c3");
    REQUIRE(timeUntilHeld(fleet, { "shubra-3" }, "c3", 60s) < 1s);
}

TEST_CASE("a new process waits for the platform and its seeds before it is ready", "[documents]")
{
    CellSimulation fleet(10);
    startFleet(fleet);
    fleet.seeds = { fleet.node("shubra-1").options.peerEndpoint,
                    fleet.node("bulaq-1").options.peerEndpoint };
    fleet.start("shubra-3");
    REQUIRE_FALSE(fleet.node("shubra-3").documents.isReady());
    fleet.run(500ms);
    REQUIRE(fleet.node("shubra-3").documents.isReady());

    SECTION("it is ready 1 s after the first answer if a seed does not answer")
    {
        fleet.freeze("bulaq-1", 60s);
        fleet.start("shubra-3");
        fleet.run(900ms);
        REQUIRE(fleet.node("shubra-3").documents.configuration());
        REQUIRE_FALSE(fleet.node("shubra-3").documents.isReady());
        fleet.run(200ms);
        REQUIRE(fleet.node("shubra-3").documents.isReady());
    }
    SECTION("it gets all documents from its seeds during an outage of the platform")
    {
        fleet.platform.down = true;
        fleet.start("shubra-3");
        fleet.run(1500ms);
        REQUIRE(fleet.node("shubra-3").documents.isReady());
        REQUIRE(fleet.node("shubra-3").documents.members({ "bulaq" }));
    }
}

TEST_CASE("malformed content does not replace the last valid version", "[documents]")
{
    CellSimulation fleet(4);
    startFleet(fleet);
    fleet.platform.put("configuration", R"({"changeId": "broken"})");
    fleet.run(5s);
    const auto &node = fleet.node("shubra-1");
    REQUIRE(node.documents.configuration()->changeId == "test-1");
    REQUIRE(node.documents.configurationVersion() == Revision { 1 });
    std::uint64_t rejected = 0;
    for (const std::string &host : kHosts)
        rejected += fleet.node(host).counters.value("documents_rejected_total");
    REQUIRE(rejected > 0);
    putChange(fleet, "c3");
    REQUIRE(timeUntilHeld(fleet, kHosts, "c3", 5s) < 2s);
}

/** Pushes a configuration with a lower version than the one held and returns the changeId that is
 * in force afterwards. */
static std::string heldAfterStalePush(const MechanismSwitches &mechanisms)
{
    CellSimulation fleet(5, mechanisms);
    startFleet(fleet);
    putChange(fleet, "c2");
    fleet.run(2s);
    fleet.step("shubra-1", [&](StepContext &context) {
        const DocumentPush push { { "configuration" },
                                  { 1 },
                                  makeConfiguration({ "shubra", "bulaq" }, 12, "c1") };
        fleet.node("shubra-1").documents.onPush(context, { { "shubra-2" }, { 1 }, {}, push }, push);
    });
    return fleet.node("shubra-1").documents.configuration()->changeId;
}

TEST_CASE("a configuration in force is never replaced by an older version", "[documents]")
{
    REQUIRE(heldAfterStalePush({}) == "c2");
    MechanismSwitches mechanisms;
    mechanisms.versionOrder = false;
    REQUIRE(heldAfterStalePush(mechanisms) == "c1");
}

/** Whether a server accepts new work after the push of a document that should prevent it. */
static bool acceptsAfter(const MechanismSwitches &mechanisms, const std::string &key,
                         const std::string &content)
{
    const ServerId server { "shubra-server-0" };
    CellSimulation fleet(6, mechanisms);
    startFleet(fleet);
    REQUIRE(fleet.node("shubra-1").documents.acceptsNewWork(server));
    fleet.step("shubra-1", [&](StepContext &context) {
        const DocumentPush push { { key }, { 1000 }, content };
        fleet.node("shubra-1").documents.onPush(context, { { "shubra-2" }, { 1 }, {}, push }, push);
    });
    return fleet.node("shubra-1").documents.acceptsNewWork(server);
}

TEST_CASE("a server that is out of service or leaving accepts no new work", "[documents]")
{
    Configuration configuration =
            parseConfiguration(makeConfiguration({ "shubra", "bulaq" }, 1)).value();
    configuration.failureDomains[0].inService = false;
    const std::string domainOut = formatConfiguration(configuration);
    configuration.failureDomains[0].inService = true;
    configuration.services[0].groups[0].servers[0].inService = false;
    const std::string serverOut = formatConfiguration(configuration);
    const std::string leaving = R"({"hosts": [{"name": "shubra-server-0", "state": "leaving"}]})";
    CHECK_FALSE(acceptsAfter({}, "configuration", domainOut));
    CHECK_FALSE(acceptsAfter({}, "configuration", serverOut));
    CHECK_FALSE(acceptsAfter({}, "hosts", leaving));
    MechanismSwitches mechanisms;
    mechanisms.failureDomainState = false;
    CHECK(acceptsAfter(mechanisms, "configuration", domainOut));
    mechanisms = {};
    mechanisms.drainState = false;
    CHECK(acceptsAfter(mechanisms, "hosts", leaving));
}

/** Returns a change function that appends a line to a document that lacks it. `calls` counts how
 * often the function is called. */
static DocumentChangeFunction addLine(const std::string &line, int &calls)
{
    return [line, &calls](const std::optional<std::string> &current) -> std::optional<std::string> {
        ++calls;
        const std::string text = current.value_or("");
        if (text.find(line) != std::string::npos)
            return std::nullopt;
        return text + line;
    };
}

TEST_CASE("concurrent changes all take effect and each is reported once", "[documents]")
{
    CellSimulation fleet(7);
    startFleet(fleet);
    int calls = 0;
    int accepted = 0;
    for (const std::string &host : kHosts) {
        fleet.step(host, [&](StepContext &context) {
            fleet.node(host).documents.change(context, { "notes" }, addLine(host + ";", calls), 3s,
                                              [&](StepContext &, bool ok) { accepted += ok; });
        });
    }
    fleet.run(5s);
    REQUIRE(accepted == 6);
    REQUIRE(calls > 6);
    for (const std::string &host : kHosts)
        REQUIRE(fleet.platform.get("notes").find(host + ";") != std::string::npos);
    REQUIRE(fleet.platform.revision("notes") == Revision { 6 });
}

TEST_CASE("a change is not written twice if the answer to its first write is lost", "[documents]")
{
    CellSimulation fleet(8);
    startFleet(fleet);
    int calls = 0;
    std::vector<bool> results;
    fleet.step("shubra-1", [&](StepContext &context) {
        fleet.node("shubra-1")
                .documents.change(context, { "notes" }, addLine("x;", calls), 5s,
                                  [&](StepContext &, bool ok) { results.push_back(ok); });
    });
    fleet.run(1ms); // the read has been sent, the write has not
    fleet.platform.losesAnswers = true;
    fleet.run(500ms);
    fleet.platform.losesAnswers = false;
    fleet.run(10s);
    REQUIRE(results == std::vector<bool> { true });
    REQUIRE(fleet.platform.get("notes") == "x;");
}

TEST_CASE("a change fails at its timeout during an outage of the platform", "[documents]")
{
    CellSimulation fleet(9);
    startFleet(fleet);
    fleet.platform.down = true;
    int calls = 0;
    std::vector<bool> results;
    const MonotonicTime begin = fleet.now();
    MonotonicTime ended;
    fleet.step("shubra-1", [&](StepContext &context) {
        fleet.node("shubra-1")
                .documents.change(context, { "notes" }, addLine("x;", calls), 2500ms,
                                  [&](StepContext &step, bool ok) {
                                      results.push_back(ok);
                                      ended = step.now();
                                  });
    });
    fleet.run(20s);
    REQUIRE(results == std::vector<bool> { false });
    REQUIRE(ended - begin == 2500ms);
    REQUIRE(fleet.node("shubra-1").platform.outageDuration(fleet.now()) > 15s);
    fleet.heal();
    fleet.run(20s);
    REQUIRE(fleet.node("shubra-1").platform.outageDuration(fleet.now()) == 0s);
    REQUIRE(fleet.node("shubra-1").changes[StateChangeKind::PlatformUnreachable] == 1);
    REQUIRE(fleet.node("shubra-1").changes[StateChangeKind::PlatformReachable] == 1);
}

// Guards against cells that start at the same time and do not get each other's member lists for ten
// seconds.
TEST_CASE("cells that start at the same time get each other's member lists within seconds",
          "[documents]")
{
    CellSimulation fleet(20);
    fleet.platform.setHosts(kHosts);
    for (const std::string &host : kHosts)
        fleet.start(host, domainOf(host));
    const auto holdsBothLists = [&](const std::string &host) {
        const DocumentStore &documents = fleet.node(host).documents;
        return documents.members({ "shubra" }) && documents.members({ "bulaq" });
    };
    const MonotonicTime begin = fleet.now();
    while (!std::all_of(kHosts.begin(), kHosts.end(), holdsBothLists) && fleet.now() - begin < 20s)
        fleet.run(10ms);
    // A cell forms within 3.4 s, and a member list that was missing is read again within 1.25 s.
    REQUIRE(fleet.now() - begin < 5s);
}
