#include "ObservationFleet.h"

#include "gateway/StoreRoleElection.h"

using namespace greengagestair;

static constexpr std::uint64_t kSeed = 20261206;

/** Half of the servers are in the given state all the time; in one of eight shards all are. */
static ObservationPattern halfOfServers(const ServerState &state, bool isShared)
{
    ObservationPattern pattern;
    pattern.hosts = 68;
    pattern.isShared = isShared;
    pattern.state = [state](const ServerId &, double random, Duration) {
        return random < 0.5 ? state : ServerState {};
    };
    return pattern;
}

static ObservationPattern soundServers()
{
    return halfOfServers({}, true);
}

static HostId collectorOf(const std::vector<HostEntry> &hosts, const std::string &domain,
                          std::size_t rank = 0)
{
    return publisherRanking({ domain }, hosts).at(rank).host;
}

static void checkGain(const ServerState &state, double leastInTime)
{
    const ObservationOutcome alone = ObservationFleet(halfOfServers(state, false), kSeed).run();
    const ObservationOutcome shared = ObservationFleet(halfOfServers(state, true), kSeed).run();
    CHECK(shared.queries > 1000);
    CHECK(shared.inTimeShare() >= leastInTime);
    CHECK(shared.inTimeShare() > alone.inTimeShare());
    CHECK(shared.repeats < 0.7 * static_cast<double>(alone.repeats));
}

// Load pattern: half of the servers refuse 60 % of their requests, and each host sees a server
// every few seconds only. Guards against hosts that go on sending to servers of which the others
// know that they refuse, until the limit on repeats is used up.
TEST_CASE("hosts avoid servers that refuse requests of other hosts", "[gateway][observations]")
{
    checkGain({ .refuses = 0.6 }, 0.98);
}

// The same with servers that never answer. Guards against a hedge for every second part.
TEST_CASE("hosts avoid servers that hang for other hosts", "[gateway][observations]")
{
    checkGain({ .hangs = true }, 0.98);
}

// The same with servers that fail requests although they are registered as sound.
TEST_CASE("hosts avoid servers that fail requests of other hosts", "[gateway][observations]")
{
    checkGain({ .fails = 0.6 }, 0.98);
}

// The same with slow servers, where hedges and retries are what the knowledge saves.
TEST_CASE("hosts avoid servers that are slow for other hosts", "[gateway][observations]")
{
    const ServerState slow { .slowness = 8 };
    const ObservationOutcome alone = ObservationFleet(halfOfServers(slow, false), kSeed).run();
    const ObservationOutcome shared = ObservationFleet(halfOfServers(slow, true), kSeed).run();
    CHECK(shared.inTimeShare() >= 0.99);
    CHECK(shared.repeats < alone.repeats);
}

// Load pattern: half of the servers refuse for a while and are sound again. Guards against
// statements that keep servers out after they have recovered, so that the rest is overloaded.
TEST_CASE("servers that have recovered get their share again", "[gateway][observations]")
{
    ObservationPattern pattern = soundServers();
    pattern.warmUp = 12s;
    pattern.state = [](const ServerId &, double random, Duration sinceStart) {
        return random < 0.5 && sinceStart < 6s ? ServerState { .refuses = 0.6 } : ServerState {};
    };
    const ObservationOutcome recovered = ObservationFleet(pattern, kSeed).run();
    const ObservationOutcome always = ObservationFleet(soundServers(), kSeed).run();
    CHECK(recovered.inTimeShare() >= 0.995);
    for (const auto &[server, requests] : always.served) {
        INFO(server);
        CHECK(static_cast<double>(recovered.served.at(server))
              >= 0.6 * static_cast<double>(requests));
    }
}

// Row "collector" of the table of failures. Guards against a failure domain whose hosts know
// nothing more once the collector is lost.
TEST_CASE("the second in the ranking takes over from a lost collector", "[gateway][observations]")
{
    ObservationPattern pattern = halfOfServers({ .refuses = 0.6 }, true);
    const HostId lost = collectorOf(ObservationFleet(pattern, kSeed).hosts(), "d0");
    const HostId second = collectorOf(ObservationFleet(pattern, kSeed).hosts(), "d0", 1);
    const ObservationOutcome whole = ObservationFleet(pattern, kSeed).run();
    pattern.isLost = [lost](const HostEntry &from, const HostEntry &to, Duration) {
        return from.host == lost || to.host == lost;
    };
    const ObservationOutcome outcome = ObservationFleet(pattern, kSeed).run();
    CHECK(outcome.inTimeShare() >= 0.97);
    // Each host reports twice a second; a collector sends to all hosts of its failure domain.
    CHECK(whole.messages.at(second.value) < 2 * 13 * 2);
    CHECK(outcome.messages.at(second.value) > 13 * 2 * 20);
}

// Row "link between failure domains". Guards against knowledge that needs all failure domains, and
// against failures of a link that are taken for failures of the servers behind it.
TEST_CASE("hosts know of servers while failure domains are cut off from each other",
          "[gateway][observations]")
{
    const auto isCut = [](const FailureDomainId &from, const FailureDomainId &to) {
        return from != to && from.value != "d2" && to.value != "d2";
    };
    ObservationPattern pattern = halfOfServers({ .refuses = 0.6 }, true);
    pattern.isCut = isCut;
    const ObservationOutcome shared = ObservationFleet(pattern, kSeed).run();
    pattern.isShared = false;
    const ObservationOutcome alone = ObservationFleet(pattern, kSeed).run();
    CHECK(shared.inTimeShare() > alone.inTimeShare());

    ObservationPattern sound = soundServers();
    const ObservationOutcome whole = ObservationFleet(sound, kSeed).run();
    sound.isCut = isCut;
    const ObservationOutcome cut = ObservationFleet(sound, kSeed).run();
    CHECK(cut.inTimeShare() >= 0.99);
    // Servers of d1 keep the requests of the hosts of d1.
    for (const auto &[server, requests] : whole.served) {
        INFO(server);
        CHECK(static_cast<double>(cut.served.at(server)) >= 0.6 * static_cast<double>(requests));
    }
}

// Row "statement wrong". Guards against one host whose wrong reports or summaries keep a sound
// server out.
TEST_CASE("a host that lies does not keep a sound server out", "[gateway][observations]")
{
    const ServerId victim { "shard-3-d0-0" };
    const ObservationOutcome honest = ObservationFleet(soundServers(), kSeed).run();
    const std::vector<HostEntry> hosts = ObservationFleet(soundServers(), kSeed).hosts();
    const bool isCollector = GENERATE(false, true);
    const HostId liar = isCollector ? collectorOf(hosts, "d0") : collectorOf(hosts, "d0", 5);
    ObservationPattern pattern = soundServers();
    pattern.change = [&](const HostEntry &from, ServerObservations &message) {
        if (from.host != liar)
            return;
        std::erase_if(message.observations,
                      [&](const ServerObservation &other) { return other.server == victim; });
        message.observations.push_back({ victim, 1, 0, 1000, 0, 0ms, 0ms });
    };
    const ObservationOutcome outcome = ObservationFleet(pattern, kSeed).run();
    INFO((isCollector ? "collector" : "host"));
    CHECK(outcome.inTimeShare() >= 0.99);
    const double kept = static_cast<double>(outcome.served.at(victim.value))
            / static_cast<double>(honest.served.at(victim.value));
    CHECK(kept >= (isCollector ? 0.3 : 0.6));
}
