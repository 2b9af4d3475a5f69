#include "gateway/observations/ObservationCollector.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** A collector in domain d0 for one service with three servers, one in each failure domain. */
struct CollectorFixture
{
    CollectorFixture()
    {
        for (int index = 0; index < 3; ++index) {
            BackendRegistration registration;
            registration.server = { "s" + std::to_string(index) };
            registration.service = { "shard" };
            registration.failureDomain = { "d" + std::to_string(index) };
            registration.startedAt = 1;
            directory.put(registration, now);
        }
    }

    void report(const std::string &host, const std::string &server, double answers, double refusals,
                double failures = 0)
    {
        collector.addReport({ host }, { row(server, answers, refusals, failures) }, now);
    }

    static ServerObservation row(const std::string &server, double answers, double refusals,
                                 double failures = 0)
    {
        const auto time = static_cast<Duration::rep>(answers * 10'000);
        return { { server }, 1, answers, refusals, failures, Duration(time), 0ms };
    }

    /** What the summary says of a server; nullopt if the server is not listed. */
    std::optional<ServerObservation> stated(const std::string &server)
    {
        for (const ServerObservation &row : collector.summaryForHosts(200, now)) {
            if (row.server.value == server)
                return row;
        }
        return std::nullopt;
    }

    MonotonicTime now { 100s };
    BackendDirectory directory;
    ObservationCollector collector { directory, { "d0" } };
};

} // namespace

// Guards against summaries that grow with the number of servers, or that omit the worst ones.
TEST_CASE("a summary lists the servers that deviate, the most deviating first",
          "[gateway][observations]")
{
    CollectorFixture fixture;
    for (const char *host : { "a", "b", "c", "d" }) {
        fixture.report(host, "s0", 4, 0);
        fixture.report(host, "s1", 2, 2);
        fixture.report(host, "s2", 0, 4);
    }
    const auto summary = fixture.collector.summaryForHosts(200, fixture.now);
    REQUIRE(summary.size() == 2);
    CHECK(summary[0].server.value == "s2");
    CHECK(summary[1].server.value == "s1");
    CHECK(fixture.collector.summaryForHosts(1, fixture.now).size() == 1);
}

// Guards against statements about all servers of a service that is overloaded as a whole: hosts
// have no better server then.
TEST_CASE("servers that refuse as much as the rest of their service are not listed",
          "[gateway][observations]")
{
    CollectorFixture fixture;
    for (const char *server : { "s0", "s1", "s2" })
        fixture.report("a", server, 2, 3);
    CHECK(fixture.collector.summaryForHosts(200, fixture.now).empty());
}

// Guards against old results, and against memory that is never freed.
TEST_CASE("results lose weight with their age and are void after three seconds",
          "[gateway][observations]")
{
    CollectorFixture fixture;
    fixture.report("a", "s0", 0, 8);
    const auto fresh = fixture.stated("s0");
    fixture.now += 1s;
    const auto older = fixture.stated("s0");
    REQUIRE(fresh);
    REQUIRE(older);
    CHECK(older->refusals == Approx(fresh->refusals / 2));
    CHECK(older->age == 1s);
    fixture.now += 2100ms;
    CHECK_FALSE(fixture.stated("s0"));
    fixture.now += 4s;
    fixture.collector.forgetOld(fixture.now);
    CHECK(fixture.collector.size() == 0);
}

// Guards against statements about a process that has ended, in reports that come late.
TEST_CASE("a restart of a server voids the results of its former process",
          "[gateway][observations]")
{
    CollectorFixture fixture;
    fixture.report("a", "s0", 0, 8);
    BackendRegistration registration = fixture.directory.find({ "s0" })->registration;
    registration.startedAt = 2;
    fixture.directory.put(registration, fixture.now);
    CHECK_FALSE(fixture.stated("s0"));
    fixture.report("a", "s0", 0, 8);
    CHECK_FALSE(fixture.stated("s0"));
}

// Guards against one host whose reports of a sound server outweigh those of all others.
TEST_CASE("wrong reports of one host have little effect", "[gateway][observations]")
{
    CollectorFixture fixture;
    for (int round = 0; round < 4; ++round) {
        for (const char *host : { "a", "b", "c", "d", "e", "f", "g", "h" })
            fixture.report(host, "s0", 1, 0);
        fixture.report("liar", "s0", 0, 1e9);
        fixture.now += 500ms;
    }
    CHECK_FALSE(fixture.stated("s0"));
}

// Guards against numbers in a message that make all sums invalid.
TEST_CASE("invalid numbers in reports are ignored", "[gateway][observations]")
{
    CollectorFixture fixture;
    fixture.report("a", "s0", std::numeric_limits<double>::quiet_NaN(), 1);
    fixture.report("a", "s0", -5, 1);
    fixture.report("a", "s0", std::numeric_limits<double>::infinity(), 1);
    fixture.report("a", "unknown", 0, 5);
    fixture.collector.addReport({ "a" }, { { { "s0" }, 1, 0, 5, 0, 0ms, -1s } }, fixture.now);
    CHECK(fixture.collector.size() == 0);
}

// Row "link between failure domains". Guards against failures of a link between two other failure
// domains that are taken for those of the servers behind it.
TEST_CASE("failures count from the own failure domain and from that of the server only",
          "[gateway][observations]")
{
    CollectorFixture fixture;
    fixture.collector.addSummary({ "d1" }, { CollectorFixture::row("s2", 0, 0, 8) }, fixture.now);
    CHECK_FALSE(fixture.stated("s2"));
    fixture.collector.addSummary({ "d2" }, { CollectorFixture::row("s2", 0, 0, 8) }, fixture.now);
    CHECK(fixture.stated("s2"));
    // What a collector has from others is not passed on to collectors, which would come back.
    CHECK(fixture.collector.summaryForCollectors(200, fixture.now).empty());
}

// Guards against hosts that keep out a server that has recovered until the statement is void.
TEST_CASE("a server that has recovered is listed with its new state for a time",
          "[gateway][observations]")
{
    CollectorFixture fixture;
    fixture.report("a", "s0", 0, 4);
    CHECK(fixture.stated("s0"));
    for (int round = 0; round < 4; ++round) {
        fixture.now += 500ms;
        fixture.report("a", "s0", 8, 0);
    }
    const auto recovered = fixture.stated("s0");
    REQUIRE(recovered);
    CHECK(recovered->refusals < 0.1 * recovered->answers);
}
