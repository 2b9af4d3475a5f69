#include "GatewayFixture.h"
#include "gateway/RepeatBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <random>
#include <vector>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** A fleet, its load and what happens to its hosts, for RepeatFleet. */
struct FleetPattern
{
    std::size_t hosts = 7;
    double requestsPerSecond = 180; ///< requests to the service at all hosts together
    double slack = 54;              ///< joint slack
    double loadedShare = 1;         ///< share of the hosts that get requests
    double restartShare = 0;        ///< share of the hosts that are killed in each crowd
    double joinShare = 0;           ///< hosts that join during the trouble, relative to `hosts`
    double freezeShare = 0;         ///< share of the hosts that stand still for some seconds
    Duration trouble = 10s;         ///< from then on every host repeats whatever it may
};

/** Result of a RepeatFleet, over all spans of the limit's window. */
struct FleetOutcome
{
    double worstUse = 0; ///< repeats relative to the limit in the worst span
    double lastUse = 0;  ///< the same in the last span
};

/**
 * The repeats of a fleet to one service in virtual time, without network. The limit is that of the
 * users' rules: repeats in any window stay within the slack and the ratio of the requests in that
 * window, the one before it or the one half a window before it, whichever has most.
 */
class RepeatFleet
{
public:
    RepeatFleet(const FleetPattern &pattern, std::uint64_t seed)
        : m_pattern(pattern)
        , m_random(seed)
    {
        m_joint.slack = pattern.slack;
        m_counted = pattern.hosts;
        for (std::size_t host = 0; host < pattern.hosts; ++host)
            addHost();
    }

    FleetOutcome run(Duration length)
    {
        FleetOutcome outcome;
        const auto steps = static_cast<std::size_t>(length / kStep);
        for (m_step = 0; m_step < steps; ++m_step) {
            disturb();
            step();
            outcome.lastUse = use();
            outcome.worstUse = std::max(outcome.worstUse, outcome.lastUse);
        }
        return outcome;
    }

private:
    static constexpr Duration kStep = 100ms;
    static constexpr std::size_t kWindowSteps = 100;
    /** Time until all hosts have read that others have joined. */
    static constexpr std::size_t kCountDelaySteps = 20;

    struct Host
    {
        RepeatBudget budget;
        bool isLoaded = false;
        std::size_t absentUntil = 0; ///< step until which the host is stopped or frozen
    };

    MonotonicTime now() const { return MonotonicTime(100s) + m_step * kStep; }

    RepeatBudget newBudget(std::size_t counted) const
    {
        return RepeatBudget(shareOfRepeats(m_joint, counted), now());
    }

    void addHost()
    {
        const double loaded = static_cast<double>(m_hosts.size()) * m_pattern.loadedShare;
        const bool isLoaded =
                m_hosts.empty() || std::floor(loaded + m_pattern.loadedShare) > std::floor(loaded);
        m_hosts.push_back({ newBudget(std::max(m_counted, m_hosts.size() + 1)), isLoaded, 0 });
    }

    template <typename Change>
    void changeSome(double share, const Change &change)
    {
        std::bernoulli_distribution isAffected(share);
        for (Host &host : m_hosts) {
            if (isAffected(m_random))
                change(host);
        }
    }

    /** Crowds of restarts in close succession, freezes, and hosts that join. */
    void disturb()
    {
        const auto troubleStep = static_cast<std::size_t>(m_pattern.trouble / kStep);
        const bool isCrowd = m_step == troubleStep + 5 || m_step == troubleStep + 12
                || m_step == troubleStep + 60;
        if (isCrowd) {
            changeSome(m_pattern.restartShare, [this](Host &host) {
                host.budget = newBudget(m_counted);
                host.absentUntil = m_step + 3;
            });
        }
        if (m_step == troubleStep + 20)
            changeSome(m_pattern.freezeShare,
                       [this](Host &host) { host.absentUntil = m_step + 40; });
        if (m_step == troubleStep + 30) {
            const auto joining = static_cast<double>(m_hosts.size()) * m_pattern.joinShare;
            for (std::size_t i = 0; i < static_cast<std::size_t>(joining); ++i)
                addHost();
        }
        if (m_step == troubleStep + 30 + kCountDelaySteps) {
            m_counted = m_hosts.size();
            for (Host &host : m_hosts)
                host.budget.setLimits(shareOfRepeats(m_joint, m_counted));
        }
    }

    void step()
    {
        std::vector<Host *> present;
        std::vector<Host *> loaded;
        for (Host &host : m_hosts) {
            if (host.absentUntil > m_step)
                continue;
            present.push_back(&host);
            if (host.isLoaded)
                loaded.push_back(&host);
        }
        const std::chrono::duration<double> seconds = kStep;
        std::poisson_distribution<std::size_t> arrivals(m_pattern.requestsPerSecond
                                                        * seconds.count());
        const std::size_t requests = loaded.empty() ? 0 : arrivals(m_random);
        for (std::size_t i = 0; i < requests; ++i)
            loaded[m_random() % loaded.size()]->budget.addRequest(now());
        std::size_t repeats = 0;
        if (now() >= MonotonicTime(100s) + m_pattern.trouble) {
            for (Host *host : present) {
                while (host->budget.takeRepeat(now()))
                    ++repeats;
            }
        }
        m_requests.push_back(static_cast<double>(requests));
        m_repeats.push_back(static_cast<double>(repeats));
    }

    /** Sum of the window that ends `back` steps before the current one. */
    static double windowSum(const std::vector<double> &values, std::size_t back)
    {
        const std::size_t end = values.size() - std::min(back, values.size());
        const std::size_t begin = end - std::min(kWindowSteps, end);
        double sum = 0;
        for (std::size_t i = begin; i < end; ++i)
            sum += values[i];
        return sum;
    }

    double use() const
    {
        const double requests =
                std::max({ windowSum(m_requests, 0), windowSum(m_requests, kWindowSteps / 2),
                           windowSum(m_requests, kWindowSteps) });
        return windowSum(m_repeats, 0) / (m_joint.ratio * requests + m_joint.slack);
    }

    FleetPattern m_pattern;
    RepeatLimits m_joint;
    std::mt19937_64 m_random;
    std::size_t m_counted = 0; ///< hosts that all hosts count
    std::size_t m_step = 0;
    std::vector<Host> m_hosts;
    std::vector<double> m_requests; ///< by step
    std::vector<double> m_repeats;  ///< by step
};

} // namespace

/** Fleets of the users' sizes, with their rates and slack for one shard. */
static std::vector<FleetPattern> fleets()
{
    std::vector<FleetPattern> fleets(4);
    fleets[1] = { 83, 112, 206 };
    fleets[2] = { 295, 96, 630 };
    fleets[3] = { 4000, 8400, 8400 };
    return fleets;
}

static constexpr std::uint64_t kSeeds = 3;

// Guards against repeats beyond the joint limit when most hosts restart after they have spent their
// shares: the new processes know nothing of what the former ones have sent.
TEST_CASE(
        "the repeats of a fleet keep the joint limit through crowds of restarts, joins and freezes",
        "[gateway][fleet]")
{
    for (FleetPattern pattern : fleets()) {
        for (const double loadedShare : { 1.0, 0.1 }) {
            for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
                pattern.loadedShare = loadedShare;
                pattern.restartShare = seed == 1 ? 1.0 : 0.6;
                pattern.joinShare = seed == 2 ? 0.5 : 0;
                pattern.freezeShare = 0.3;
                INFO(pattern.hosts << " hosts, " << loadedShare << " loaded, seed " << seed);
                CHECK(RepeatFleet(pattern, seed).run(30s).worstUse <= 1);
            }
        }
    }
}

// Guards against a limit that keeps the hosts within bounds but leaves most of it unused.
TEST_CASE("a fleet whose hosts all have load uses four fifths of the joint limit on repeats",
          "[gateway][fleet]")
{
    for (const FleetPattern &pattern : fleets()) {
        INFO(pattern.hosts << " hosts");
        const FleetOutcome outcome = RepeatFleet(pattern, 1).run(40s);
        CHECK(outcome.worstUse <= 1);
        CHECK(outcome.lastUse >= 0.8);
    }
}

// Load pattern: servers crash for good and their addresses go to servers of another shard
// (replace_with_reuse). Guards against parts of the former shard that arrive at the new server,
// where they count against the joint limit of a service that no host charges. Without this, each
// host of a fleet sends at least one part before it learns from status 421.
TEST_CASE("a server that registers at the address of another one replaces it at once",
          "[gateway][fleet]")
{
    GatewayFixture fixture;
    fixture.start();
    const BackendRegistration former = GatewayFixture::registration("shard-0", "shubra");
    BackendRegistration successor = GatewayFixture::registration("shard-1", "helwan");
    successor.endpoint = former.endpoint;
    successor.startedAt = 2;
    fixture.send(RegistrationWritten { successor });
    const auto sendsToFormer = [&] {
        for (int i = 0; i < 10; ++i)
            fixture.lookup();
        const auto attempts = fixture.takeAttempts();
        return std::any_of(attempts.begin(), attempts.end(),
                           [&](const auto &attempt) { return attempt.server == former.server; });
    };
    CHECK_FALSE(sendsToFormer());
    // The registration of the former server has not expired when all are read again.
    fixture.send(RegistrationsRead { { former, successor,
                                       GatewayFixture::registration("shard-0", "bulaq"),
                                       GatewayFixture::registration("shard-1", "bulaq") } });
    CHECK_FALSE(sendsToFormer());
    // A server that registers again lives.
    BackendRegistration restarted = former;
    restarted.startedAt = 3;
    fixture.send(RegistrationWritten { restarted });
    CHECK(sendsToFormer());
}

/** Starts a process that knows one cold server of orders, but no other hosts. */
static void startWithColdServer(GatewayFixture &fixture)
{
    fixture.configuration.services[{ "orders" }].coldRequestsPerSecond = 4;
    fixture.send(ConfigurationRead {
            std::make_shared<const RoutingConfiguration>(fixture.configuration) });
    BackendRegistration cold = GatewayFixture::registration("orders", "shubra");
    cold.coldFor = 10s;
    fixture.send(RegistrationsRead { { cold } });
}

/** Orders that reach a cold server from a gateway in the second after `fixture.now`. */
static std::size_t coldOrdersInOneSecond(GatewayFixture &fixture)
{
    std::size_t sent = 0;
    for (int i = 0; i < 50; ++i) {
        fixture.order();
        for (const StartAttempt &attempt : fixture.takeAttempts()) {
            ++sent;
            fixture.answer(attempt);
        }
        fixture.wait(20ms);
    }
    return sent;
}

// Guards against a cold server that gets twice what it bears when all hosts restart after they have
// sent it their shares, and many times that while they do not know how many they are.
TEST_CASE("a new process sends nothing to cold servers until its share is its own",
          "[gateway][fleet]")
{
    GatewayFixture fixture;
    startWithColdServer(fixture);
    fixture.send(GatewayFixture::hosts(1, 2));
    CHECK(coldOrdersInOneSecond(fixture) == 0);
    // (4 requests per second * 1.5 + 5) / 3 hosts, rounded down.
    CHECK(coldOrdersInOneSecond(fixture) == 3);
}

// Guards against a process that takes a joint limit for its own while it counts no other hosts.
TEST_CASE("a process that has not read the host list sends nothing to cold servers",
          "[gateway][fleet]")
{
    GatewayFixture fixture;
    startWithColdServer(fixture);
    fixture.wait(2s);
    CHECK(coldOrdersInOneSecond(fixture) == 0);
}
