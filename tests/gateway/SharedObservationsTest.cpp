#include "gateway/observations/SharedObservations.h"

#include <catch2/catch.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** One host of three in its failure domain, next to another failure domain with two. */
struct ObservationsFixture
{
    explicit ObservationsFixture(std::size_t rank)
    {
        for (int index = 0; index < 5; ++index) {
            const std::string domain = index < 3 ? "d0" : "d1";
            hosts.push_back({ { "h" + std::to_string(index) }, { domain }, {}, 0 });
        }
        own = publisherRanking({ "d0" }, hosts);
        others = publisherRanking({ "d1" }, hosts);
        observations = std::make_unique<SharedObservations>(own[rank].host,
                                                            FailureDomainId { "d0" }, directory, 7);
        observations->setEnabled(true);
        for (const char *name : { "s0", "s1" }) {
            BackendRegistration registration;
            registration.server = { name };
            registration.service = { "shard" };
            registration.startedAt = 1;
            directory.put(registration, now);
        }
        observations->beginStep(now, effects);
        observations->setHosts(hosts);
    }

    Backend &server(const char *name) { return *directory.find({ name }); }

    /** Advances the time and returns the messages that were sent meanwhile. */
    std::vector<SendToHost> wait(Duration duration)
    {
        const MonotonicTime end = now + duration;
        while (observations->nextWakeUp() && *observations->nextWakeUp() <= end) {
            now = std::max(now, *observations->nextWakeUp());
            observations->beginStep(now, effects);
            observations->advance();
        }
        now = end;
        observations->beginStep(now, effects);
        std::vector<SendToHost> sent;
        for (const GatewayEffect &effect : std::exchange(effects, {})) {
            if (const auto *message = std::get_if<SendToHost>(&effect))
                sent.push_back(*message);
        }
        return sent;
    }

    void state(const HostId &sender, double answers, double refusals, std::uint64_t startedAt = 1)
    {
        const auto time = static_cast<Duration::rep>(answers * 10'000);
        observations->receive(
                sender,
                { true, { { { "s0" }, startedAt, answers, refusals, 0, Duration(time), 100ms } } });
    }

    Duration extra(const char *name) { return observations->extraTime(server(name), 10ms, now); }

    MonotonicTime now { 100s };
    BackendDirectory directory;
    GatewayEffects effects;
    std::vector<HostEntry> hosts;
    std::vector<HostEntry> own;
    std::vector<HostEntry> others;
    std::unique_ptr<SharedObservations> observations;
};

std::size_t countTo(const std::vector<SendToHost> &sent, const HostId &host)
{
    return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(), [&](const SendToHost &each) { return each.host == host; }));
}

} // namespace

// Guards against messages of hosts that have nothing to tell, and against results that are told
// twice.
TEST_CASE("a host reports each result once, to the collector", "[gateway][observations]")
{
    ObservationsFixture fixture(2);
    CHECK(fixture.wait(1s).empty());
    fixture.observations->addAnswer(fixture.server("s0"), 12ms);
    fixture.observations->addRefusal(fixture.server("s0"));
    const auto sent = fixture.wait(1s);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].host == fixture.own[0].host);
    const auto &report = std::get<ServerObservations>(sent[0].message);
    CHECK_FALSE(report.isSummary);
    REQUIRE(report.observations.size() == 1);
    CHECK(report.observations[0].answers == 1);
    CHECK(report.observations[0].refusals == 1);
    CHECK(report.observations[0].totalTime == 12ms);
}

// Row "collector". Guards against a failure domain that is left without a collector, and against
// two that go on at the same time.
TEST_CASE("the second in the ranking collects while the first is silent", "[gateway][observations]")
{
    ObservationsFixture fixture(1);
    fixture.wait(1400ms);
    CHECK_FALSE(fixture.observations->isCollector());
    const auto sent = fixture.wait(1200ms);
    CHECK(fixture.observations->isCollector());
    CHECK(countTo(sent, fixture.own[2].host) >= 1);
    CHECK(countTo(sent, fixture.others[0].host) >= 1);
    fixture.observations->receive(fixture.own[0].host, { true, {} });
    CHECK_FALSE(fixture.observations->isCollector());
    CHECK(fixture.wait(1s).empty());

    ObservationsFixture reporter(2);
    reporter.wait(1600ms);
    reporter.observations->addRefusal(reporter.server("s0"));
    const auto reports = reporter.wait(600ms);
    CHECK(countTo(reports, reporter.own[0].host) == 1);
    CHECK(countTo(reports, reporter.own[1].host) == 1);
}

// Row "statement wrong". Guards against a statement that keeps a server out for longer than 3 s.
TEST_CASE("a statement loses weight and is void after three seconds", "[gateway][observations]")
{
    ObservationsFixture fixture(2);
    fixture.state(fixture.own[0].host, 0, 8);
    const Duration first = fixture.extra("s0");
    CHECK(first >= 60ms);
    CHECK(fixture.extra("s1") == 0ms);
    CHECK(fixture.observations->evidenceOfOthers(fixture.server("s0"), fixture.now));
    fixture.wait(2s);
    CHECK(fixture.extra("s0") < first);
    CHECK(fixture.extra("s0") > 0ms);
    fixture.wait(950ms);
    CHECK(fixture.extra("s0") == 0ms);
    CHECK_FALSE(fixture.observations->evidenceOfOthers(fixture.server("s0"), fixture.now));
}

// Row "statement wrong". Guards against statements that outweigh what the host sees itself, also
// if the collector itself is wrong and repeats them.
TEST_CASE("own results outweigh a statement", "[gateway][observations]")
{
    ObservationsFixture fixture(2);
    fixture.state(fixture.own[0].host, 4, 4);
    const Duration stated = fixture.extra("s0");
    fixture.observations->addAnswer(fixture.server("s0"), 10ms);
    CHECK(fixture.extra("s0") < stated * 0.6);
    // An answer shows that a server does not refuse everything.
    fixture.state(fixture.own[0].host, 0, 8);
    fixture.observations->addAnswer(fixture.server("s0"), 10ms);
    fixture.wait(5s);
    fixture.state(fixture.own[0].host, 0, 8);
    CHECK(fixture.extra("s0") == 0ms);
    // This host's own failures end the doubt.
    fixture.observations->addRefusal(fixture.server("s0"));
    CHECK(fixture.extra("s0") > 60ms);
}

// Guards against statements about a process that has ended, and against summaries of hosts that do
// not collect.
TEST_CASE("statements about another process or from another host have no effect",
          "[gateway][observations]")
{
    ObservationsFixture fixture(0);
    fixture.state(fixture.own[1].host, 0, 8, 2);
    CHECK(fixture.extra("s0") == 0ms);
    fixture.state(fixture.own[2].host, 0, 8);
    CHECK(fixture.extra("s0") == 0ms);
    fixture.state({ "unknown" }, 0, 8);
    CHECK(fixture.extra("s0") == 0ms);
    fixture.state(fixture.own[1].host, 0, 8);
    CHECK(fixture.extra("s0") > 0ms);
    BackendRegistration registration = fixture.server("s0").registration;
    registration.startedAt = 2;
    fixture.directory.put(registration, fixture.now);
    CHECK(fixture.extra("s0") == 0ms);
}

// Guards against servers that no host tries any more, so that nobody learns of their recovery, and
// against trials that use up the requests.
TEST_CASE("a host tries a stated server from time to time", "[gateway][observations]")
{
    ObservationsFixture fixture(2);
    std::size_t trials = 0;
    for (int step = 0; step < 400; ++step) {
        fixture.state(fixture.own[0].host, 2, 6);
        fixture.observations->addFirstAttempt();
        if (fixture.observations->isTrialDue(fixture.server("s0"), 10ms, fixture.now)) {
            fixture.observations->takeTrial(fixture.server("s0"), fixture.now);
            ++trials;
        }
        CHECK_FALSE(fixture.observations->isTrialDue(fixture.server("s1"), 10ms, fixture.now));
        fixture.wait(100ms);
    }
    CHECK(trials >= 3);
    CHECK(trials <= 8);
}

// Guards against messages of a deployment that has not enabled the exchange.
TEST_CASE("nothing is sent or believed while the exchange is off", "[gateway][observations]")
{
    ObservationsFixture fixture(0);
    fixture.observations->setEnabled(false);
    fixture.observations->addRefusal(fixture.server("s0"));
    fixture.state(fixture.own[1].host, 0, 8);
    CHECK(fixture.wait(5s).empty());
    CHECK(fixture.extra("s0") == 0ms);
    CHECK_FALSE(fixture.observations->isCollector());
}
