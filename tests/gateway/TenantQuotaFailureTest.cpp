#include "QuotaFleet.h"

#include <catch2/catch.hpp>

using namespace greengagestair;

namespace {

/** Runs a disturbed fleet with several seeds, sizes and rates and checks the limit in each window.
 */
template <typename Disturb>
void checkLimit(const std::string &name, double demandFactor, const Disturb &disturb)
{
    const auto hosts =
            GENERATE(std::size_t(7), std::size_t(68), std::size_t(295), std::size_t(4000));
    const auto rate = GENERATE(1.6, 16.0, 400.0);
    const auto burst = GENERATE(0.0, 1.0);
    const auto loadedShare = GENERATE(1.0, 0.1);
    // One kind of load suffices for the largest fleet, whose runs take long.
    if (hosts > 1000 && (rate < 100 || burst > 0 || loadedShare < 1))
        return;
    double worst = 0;
    for (std::uint64_t seed = 1; seed <= (hosts > 100 ? 1U : 2U); ++seed) {
        QuotaPattern pattern;
        pattern.hosts = hosts;
        pattern.rate = rate;
        pattern.burst = burst * rate;
        pattern.demand = rate * demandFactor;
        pattern.loadedShare = loadedShare;
        pattern.tenant = "tenant-" + std::to_string(seed);
        QuotaFleet fleet(pattern, seed);
        disturb(fleet, pattern);
        const QuotaOutcome outcome = fleet.run(45s);
        CAPTURE(name, hosts, rate, burst, loadedShare, seed, outcome.worstAt.count());
        CHECK(outcome.worstUse <= 1);
        CHECK(outcome.lost == 0);
        CHECK(outcome.longestWait <= 36ms);
        worst = std::max(worst, outcome.worstUse);
    }
    if (worst > 0.97)
        WARN(name << ": " << hosts << " hosts, rate " << rate << ", burst " << burst << ", share "
                  << loadedShare << ": worst " << worst);
}

/** Demand of a tenant that sends 7.5 times its usual rate; its limit is 1.6 times that rate. */
constexpr double kBurstDemand = 7.5 / 1.6;
constexpr double kUsualDemand = 1 / 1.6;

} // namespace

// Guards against two processes that both issue what the window allows.
TEST_CASE("quota: the limit holds when all hosts restart, also twice", "[quota][quota-failure]")
{
    checkLimit("all restart", kBurstDemand, [](QuotaFleet &fleet, const QuotaPattern &) {
        fleet.at(10s, [&fleet] { fleet.crashAll(300ms); });
        fleet.at(12s, [&fleet] { fleet.crashAll(300ms); });
        fleet.at(20s, [&fleet] { fleet.crashAll(1500ms); });
    });
}

// Guards against two issuers after the issuer has crashed, with and without a restart.
TEST_CASE("quota: the limit holds when the issuer crashes", "[quota][quota-failure]")
{
    const auto downTime = GENERATE(std::optional<Duration>(), std::optional<Duration>(300ms),
                                   std::optional<Duration>(4s));
    checkLimit("issuer crashes", kBurstDemand, [&](QuotaFleet &fleet, const QuotaPattern &) {
        fleet.at(10s, [&fleet, downTime] { fleet.crash(fleet.ranked(0), downTime); });
        fleet.at(11s, [&fleet, downTime] { fleet.crash(fleet.ranked(1), downTime); });
    });
}

// Guards against a stopping issuer and a standby that both issue.
TEST_CASE("quota: the limit holds when the issuer stops", "[quota][quota-failure]")
{
    checkLimit("issuer stops", kBurstDemand, [](QuotaFleet &fleet, const QuotaPattern &) {
        fleet.at(10s, [&fleet] { fleet.stop(fleet.ranked(0)); });
        fleet.at(14s, [&fleet] { fleet.stop(fleet.ranked(0)); });
    });
}

// Guards against hosts that follow different lists while many join.
TEST_CASE("quota: the limit holds while hosts join", "[quota][quota-failure]")
{
    checkLimit("joins", kBurstDemand, [](QuotaFleet &fleet, const QuotaPattern &pattern) {
        for (const Duration at : { 8s, 11s, 12s, 20s })
            fleet.at(at, [&fleet, &pattern] { fleet.join(pattern.hosts / 2); });
    });
}

// Guards against two sides of a cut that both use the whole quota.
TEST_CASE("quota: the limit holds through cuts", "[quota][quota-failure]")
{
    const auto share = GENERATE(0.3, 0.7);
    const bool fromPlatform = GENERATE(false, true);
    checkLimit("cut", kBurstDemand, [&](QuotaFleet &fleet, const QuotaPattern &) {
        fleet.at(8s, [&fleet, share, fromPlatform] { fleet.cut(share, fromPlatform); });
        fleet.at(33s, [&fleet] { fleet.heal(); });
    });
}

// Guards against what hosts send before they notice that nobody takes their reports.
TEST_CASE("quota: the limit holds when a cut comes while demand rises", "[quota][quota-failure]")
{
    const auto share = GENERATE(0.3, 0.7);
    const auto cutAt = GENERATE(Duration(9900ms), Duration(10400ms));
    checkLimit("cut in a burst", kUsualDemand, [&](QuotaFleet &fleet, const QuotaPattern &pattern) {
        fleet.at(10s, [&fleet, &pattern] { fleet.setDemand(kBurstDemand * pattern.rate); });
        fleet.at(cutAt, [&fleet, share] { fleet.cut(share, true); });
        fleet.at(20s, [&fleet] { fleet.heal(); });
    });
}

// Guards against an issuer that is alive but reaches only the platform.
TEST_CASE("quota: the limit holds when only the issuer or the standby is cut off",
          "[quota][quota-failure]")
{
    const bool isBoth = GENERATE(false, true);
    const auto place = GENERATE(std::size_t(0), std::size_t(1));
    checkLimit("one cut off", kBurstDemand, [&](QuotaFleet &fleet, const QuotaPattern &) {
        fleet.at(10s, [&fleet, isBoth, place] {
            fleet.cutHosts({ fleet.ranked(isBoth ? 0 : place), fleet.ranked(isBoth ? 1 : place) });
        });
        fleet.at(25s, [&fleet] { fleet.heal(); });
    });
}

// Guards against an issuer that stands still and answers old questions when it wakes up.
TEST_CASE("quota: the limit holds when the issuer stands still", "[quota][quota-failure]")
{
    const auto time = GENERATE(Duration(100ms), Duration(3s), Duration(18s));
    checkLimit("issuer frozen", kBurstDemand, [&](QuotaFleet &fleet, const QuotaPattern &) {
        fleet.at(10s, [&fleet, time] { fleet.freeze(fleet.ranked(0), time); });
    });
}

// Guards against a former, higher limit that stays in use.
TEST_CASE("quota: a lower limit is kept one window after every host could read it",
          "[quota][quota-failure]")
{
    checkLimit("lower limit", kBurstDemand, [](QuotaFleet &fleet, const QuotaPattern &pattern) {
        fleet.at(10s, [&fleet, &pattern] { fleet.setLimit(pattern.rate / 4, pattern.burst / 4); });
    });
}
