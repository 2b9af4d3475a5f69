#include "QuotaFleet.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

static double share(std::size_t part, std::size_t all)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(all, 1));
}

static QuotaPattern patternOf(std::size_t hosts, double rate, double demandFactor,
                              double loadedShare)
{
    QuotaPattern pattern;
    pattern.hosts = hosts;
    pattern.rate = rate;
    pattern.burst = rate;
    pattern.demand = rate * demandFactor;
    pattern.loadedShare = loadedShare;
    return pattern;
}

// Guards against refusals and delays below the limit in calm, and against many messages.
TEST_CASE("quota: a tenant below its limit is admitted at once in calm", "[quota]")
{
    const auto hosts =
            GENERATE(std::size_t(7), std::size_t(68), std::size_t(295), std::size_t(4000));
    const auto loadedShare = GENERATE(1.0, 0.1);
    const auto rate = GENERATE(16.0, 400.0);
    QuotaFleet fleet(patternOf(hosts, rate, 1 / 1.6, loadedShare), hosts);
    const QuotaOutcome outcome = fleet.run(rate > 100 ? 40s : 240s, 2s);
    CAPTURE(hosts, loadedShare, rate, outcome.requests, outcome.refused, outcome.waited,
            outcome.messages, outcome.longestWait.count());
    CHECK(outcome.worstUse <= 1);
    CHECK(share(outcome.refused, outcome.requests) < 0.001);
    CHECK(outcome.longestWait <= 24ms);
    CHECK(outcome.lost == 0);
    WARN(hosts << " hosts, share " << loadedShare << ", rate " << rate << ": messages per request "
               << share(outcome.messages, outcome.requests) << ", waited "
               << share(outcome.waited, outcome.requests) << ", refused " << outcome.refused
               << " of " << outcome.requests);
}

// Guards against a limit that is exceeded, or not used, under demand.
TEST_CASE("quota: under demand the limit is kept and used", "[quota]")
{
    const auto hosts =
            GENERATE(std::size_t(7), std::size_t(68), std::size_t(295), std::size_t(4000));
    const auto loadedShare = GENERATE(1.0, 0.1);
    const auto rate = GENERATE(1.6, 16.0, 400.0);
    const auto demand = GENERATE(1.2, 4.7);
    QuotaFleet fleet(patternOf(hosts, rate, demand, loadedShare), hosts);
    // Long enough for the number of arrivals at the lowest rate to deviate by less than 8 %.
    const Duration length = rate < 10 ? 600s : 30s;
    const QuotaOutcome outcome = fleet.run(10s + length, 10s);
    const std::chrono::duration<double> seconds = length;
    const double use = static_cast<double>(outcome.admitted) / (rate * seconds.count());
    CAPTURE(hosts, loadedShare, rate, demand);
    CHECK(outcome.worstUse <= 1);
    CHECK(use >= 0.92);
    CHECK(outcome.lost == 0);
    WARN(hosts << " hosts, share " << loadedShare << ", rate " << rate << ", demand " << demand
               << ": use " << use << ", worst " << outcome.worstUse << ", messages per request "
               << share(outcome.messages, outcome.requests));
}
