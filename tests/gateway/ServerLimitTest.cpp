#include "GatewayFixture.h"
#include "LimitFleet.h"
#include "core/Hashing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRuleWindow = 4s;

/** Requests that a server with this limit may get in some kRuleWindow. */
double allowedInWindow(double limit)
{
    const std::chrono::duration<double> seconds = kRuleWindow;
    return 1.5 * limit * seconds.count() + 5;
}

/** Answers lookups at a steady rate; one server names a limit in its responses. */
class LimitedServerRun
{
public:
    LimitedServerRun(GatewayFixture &fixture, ServerId server, double limit)
        : m_fixture(fixture)
        , m_server(std::move(server))
        , m_limit(limit)
    {
    }

    /** Sends a lookup every `interval` and answers its parts at once. */
    void run(Duration length, Duration interval)
    {
        const MonotonicTime end = m_fixture.now + length;
        while (m_fixture.now < end) {
            m_fixture.lookup();
            answerAll();
            m_fixture.wait(interval);
            answerAll();
        }
    }

    void setLimit(std::optional<double> limit) { m_limit = limit; }
    /** Most requests in some kRuleWindow since half a second after the first statement. */
    std::size_t worst() const { return m_worst; }
    std::size_t arrivals() const { return m_arrivals; }

private:
    void answerAll()
    {
        for (const StartAttempt &attempt : m_fixture.takeAttempts()) {
            BackendAnswer answer;
            answer.status = 200;
            answer.signature = "signature of " + attempt.server.value;
            if (attempt.server == m_server) {
                addArrival();
                answer.statement.requestLimit = m_limit;
            }
            m_fixture.send(AttemptEnded { attempt.attempt, answer });
        }
    }

    void addArrival()
    {
        ++m_arrivals;
        if (!m_firstStatedAt)
            m_firstStatedAt = m_fixture.now;
        if (m_fixture.now < *m_firstStatedAt + 500ms)
            return;
        m_window.push_back(m_fixture.now);
        while (m_window.front() + kRuleWindow < m_fixture.now)
            m_window.pop_front();
        m_worst = std::max(m_worst, m_window.size());
    }

    GatewayFixture &m_fixture;
    ServerId m_server;
    std::optional<double> m_limit;
    std::optional<MonotonicTime> m_firstStatedAt;
    std::deque<MonotonicTime> m_window;
    std::size_t m_worst = 0;
    std::size_t m_arrivals = 0;
};

} // namespace

// Guards against a limit that a server names in its responses and that is ignored: the server gets
// its share of the requests as before.
TEST_CASE("a server that names a limit gets no more requests than that", "[gateway][limit]")
{
    GatewayFixture fixture;
    fixture.start();
    LimitedServerRun run(fixture, { "shard-0-shubra" }, 5);
    run.run(20s, 20ms);
    CHECK(static_cast<double>(run.worst()) <= allowedInWindow(5));
    CHECK(run.arrivals() >= 20);
}

/** Fleets of the users' sizes, with limits of half of what a server gets there, and a large one. */
static std::vector<LimitPattern> fleets()
{
    std::vector<LimitPattern> fleets(4);
    fleets[1] = { .hosts = 83, .limit = 18, .demand = 37 };
    fleets[2] = { .hosts = 295, .limit = 16, .demand = 32 };
    fleets[3] = { .hosts = 4000, .limit = 300, .demand = 600 };
    return fleets;
}

// Guards against a sum over the hosts that exceeds a server's limit although each host keeps its
// share: when hosts restart, join or freeze, reach each other one way only, or the issuer is lost.
TEST_CASE("the hosts of a fleet together keep a server's limit through restarts, joins and cuts",
          "[gateway][limit][fleet]")
{
    for (LimitPattern pattern : fleets()) {
        const std::uint64_t seeds = pattern.hosts > 1000 ? 1 : 4;
        for (const double loadedShare : { 1.0, 0.1 }) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                pattern.loadedShare = loadedShare;
                pattern.restartShare = seed % 2 == 1 ? 1.0 : 0.5;
                pattern.joinShare = seed == 2 ? 0.5 : 0;
                pattern.freezeShare = seed >= 3 ? 0.4 : 0;
                pattern.cutShare = seed % 2 == 0 ? 0.3 : 0;
                pattern.isIssuerKilled = seed == 4;
                INFO(pattern.hosts << " hosts, " << loadedShare << " loaded, seed " << seed);
                CHECK(LimitFleet(pattern, seed).run().worstUse <= 1);
            }
        }
    }
}

// Guards against a division of the limit that leaves the shares of idle hosts unused, or less than
// a request to each host of a large fleet.
TEST_CASE("a fleet uses four fifths of a server's limit, and no more than the limit",
          "[gateway][limit][fleet]")
{
    for (LimitPattern pattern : fleets()) {
        for (const double loadedShare : { 1.0, 0.1 }) {
            pattern.loadedShare = loadedShare;
            INFO(pattern.hosts << " hosts, " << loadedShare << " loaded");
            const LimitOutcome outcome = LimitFleet(pattern, 1).run();
            CHECK(outcome.worstUse <= 1);
            CHECK(outcome.lastUse >= 0.8);
            CHECK(outcome.lastUse <= 1);
        }
    }
}

namespace {

/** The two ends of the dialogue about one limited server, without a delay between them. */
class PermitDialogue
{
public:
    PermitDialogue()
    {
        for (Side &side : m_sides) {
            side.backend.registration.server = { "server" };
            side.backend.registration.startedAt = 1;
        }
        setHosts({ "h0", "h1" });
        m_now += 10s;
        for (Side &side : m_sides)
            state(side, 100);
    }

    struct Side
    {
        HostId id;
        JointServerLimits limits;
        Backend backend;
    };

    void setHosts(const std::vector<std::string> &names)
    {
        std::vector<HostEntry> hosts;
        for (const std::string &name : names)
            hosts.push_back({ { name }, {}, {}, 0 });
        for (Side &side : m_sides) {
            step(side);
            side.limits.setHosts(std::make_shared<const std::vector<HostEntry>>(hosts));
            side.limits.setHostCount(hosts.size());
        }
    }

    void state(Side &side, std::optional<double> limit)
    {
        step(side);
        ServerStatement statement;
        statement.requestLimit = limit;
        side.limits.addResponse(side.backend, statement, m_now);
        pass();
    }

    /** Asks for a permit if needed; true if a request may be sent. */
    bool mayRequest(Side &side)
    {
        step(side);
        const bool isNeeded = side.limits.permission(side.backend) != Permission::Granted;
        side.limits.addDemand(side.backend, true, isNeeded);
        pass();
        step(side);
        return side.limits.permission(side.backend) == Permission::Granted;
    }

    /** Whether a request may be sent now, without asking for a permit. */
    Permission permission(Side &side)
    {
        step(side);
        return side.limits.permission(side.backend);
    }

    void wait(Duration duration) { m_now += duration; }
    bool areMessagesLost = false;
    Side &asker() { return isIssuer(m_sides[0]) ? m_sides[1] : m_sides[0]; }
    Side &issuer() { return isIssuer(m_sides[0]) ? m_sides[0] : m_sides[1]; }

private:
    static bool isIssuer(const Side &side)
    {
        const std::string other = side.id.value == "h0" ? "h1" : "h0";
        return rendezvousScore("server", side.id.value) > rendezvousScore("server", other);
    }

    void step(Side &side) { side.limits.beginStep(m_now, m_effects); }

    /** Delivers messages until there are no more. */
    void pass()
    {
        while (!m_effects.empty()) {
            const GatewayEffects effects = std::exchange(m_effects, {});
            for (const GatewayEffect &effect : effects) {
                const auto *sent = std::get_if<SendToHost>(&effect);
                if (!sent || areMessagesLost)
                    continue;
                Side &to = sent->host == m_sides[0].id ? m_sides[0] : m_sides[1];
                Side &from = sent->host == m_sides[0].id ? m_sides[1] : m_sides[0];
                step(to);
                if (const auto *request = std::get_if<PermitRequest>(&sent->message))
                    to.limits.answer(from.id, *request, &to.backend);
                else if (const auto *grant = std::get_if<PermitGrant>(&sent->message))
                    to.limits.addGrant(to.backend, *grant);
            }
        }
    }

    MonotonicTime m_now { 100s };
    GatewayEffects m_effects;
    std::array<Side, 2> m_sides { Side { { "h0" }, { { "h0" }, 1 }, {} },
                                  Side { { "h1" }, { { "h1" }, 2 }, {} } };
};

} // namespace

// Guards against permits that are saved up: a host that holds them for seconds would send more in
// one span than the limit of that span.
TEST_CASE("a permit that is not used soon expires", "[gateway][limit]")
{
    PermitDialogue dialogue;
    PermitDialogue::Side &asker = dialogue.asker();
    dialogue.mayRequest(asker); // Permits accrue from the first request.
    dialogue.wait(300ms);
    REQUIRE(dialogue.mayRequest(asker));
    dialogue.wait(600ms);
    CHECK(dialogue.permission(asker) != Permission::Granted);
}

// Guards against two issuers of one limit: the former one's permits are still in use, and other
// hosts still ask it.
TEST_CASE("a host that takes over a server's limit issues nothing at first", "[gateway][limit]")
{
    PermitDialogue dialogue;
    PermitDialogue::Side &successor = dialogue.asker();
    dialogue.setHosts({ successor.id.value });
    dialogue.mayRequest(successor);
    const auto issued = [&] { return successor.limits.counters().value("permits_issued_total"); };
    for (int i = 0; i < 9; ++i) {
        dialogue.wait(200ms);
        dialogue.mayRequest(successor);
    }
    CHECK(issued() == 0);
    for (int i = 0; i < 10; ++i) {
        dialogue.wait(200ms);
        dialogue.mayRequest(successor);
    }
    CHECK(issued() > 0);
}

// Guards against a limit that a host keeps although it has ended, since its share of the requests
// is too small for it to notice, and it has missed the notice of the issuing host.
TEST_CASE("a host learns with its permits that a limit has ended", "[gateway][limit]")
{
    PermitDialogue dialogue;
    dialogue.wait(1s);
    dialogue.areMessagesLost = true;
    dialogue.state(dialogue.issuer(), std::nullopt);
    dialogue.areMessagesLost = false;
    REQUIRE_FALSE(dialogue.issuer().backend.needs.requestLimit());
    REQUIRE(dialogue.asker().backend.needs.requestLimit());
    dialogue.mayRequest(dialogue.asker());
    CHECK_FALSE(dialogue.asker().backend.needs.requestLimit());
}

// Guards against hosts that have no request for a limited server for a while: in a large fleet they
// would send to it as before for many seconds, each until its own first answer.
TEST_CASE("all hosts learn from the issuing host that a server has named a limit",
          "[gateway][limit]")
{
    PermitDialogue dialogue;
    dialogue.wait(1s);
    dialogue.state(dialogue.asker(), 50);
    CHECK(dialogue.issuer().backend.needs.requestLimit() == 50);
    dialogue.wait(1s);
    dialogue.state(dialogue.issuer(), 40);
    CHECK(dialogue.asker().backend.needs.requestLimit() == 40);
    dialogue.wait(1s);
    dialogue.state(dialogue.issuer(), std::nullopt);
    CHECK_FALSE(dialogue.asker().backend.needs.requestLimit());
}

// Guards against an issuing host that does not answer: its servers would get nothing at all.
TEST_CASE("a host without an answer from the issuing host uses its share", "[gateway][limit]")
{
    PermitDialogue dialogue;
    PermitDialogue::Side &issuer = dialogue.issuer();
    PermitDialogue::Side &asker = dialogue.asker();
    issuer.id = { "unreachable" };
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        if (dialogue.mayRequest(asker)) {
            asker.limits.take(asker.backend);
            ++sent;
        }
        dialogue.wait(10ms);
    }
    // A tenth of the limit is divided between the two hosts; one of them sends for 10 s.
    CHECK(sent >= 30);
    CHECK(sent <= 60);
}
