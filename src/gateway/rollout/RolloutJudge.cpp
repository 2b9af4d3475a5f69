#include "gateway/rollout/RolloutJudge.h"

#include <algorithm>
#include <boost/math/distributions/binomial.hpp>

namespace greengagestair {

/**
 * Probability below which failures are no chance. The test is repeated twice a second, on each
 * route and for each of more than a hundred services.
 */
static constexpr double kSignificance = 1e-5;
/** Fewer failures may all come from one interrupted connection. */
static constexpr std::uint64_t kMinFailures = 4;
/**
 * Results that are assumed for the other versions in addition to those seen, so that a baseline of
 * few answers does not pass for one without failures.
 */
static constexpr double kAssumedResults = 10;
static constexpr double kAssumedFailures = 0.5;
/** Answers of each side that are needed for a comparison of mean response times. */
static constexpr std::uint64_t kMinTimedAnswers = 20;
static constexpr double kSlowFactor = 2;
/**
 * Answers over all routes that suffice for a good verdict. A version that fails a fifth of its
 * requests passes these with a probability of 1 %, and is then judged on while it gets more.
 */
static constexpr std::uint64_t kEnoughAnswers = 20;

RolloutTally &RolloutTally::operator+=(const RolloutTally &other)
{
    answers += other.answers;
    failures += other.failures;
    totalTime += other.totalTime;
    return *this;
}

static bool failsMore(const RouteTally &route)
{
    const RolloutTally &target = route.target;
    if (target.failures < kMinFailures)
        return false;
    const double failureRate = (static_cast<double>(route.others.failures) + kAssumedFailures)
            / (static_cast<double>(route.others.results()) + kAssumedResults);
    const boost::math::binomial_distribution<double> expected(static_cast<double>(target.results()),
                                                              std::min(failureRate, 1.0));
    const auto fewer = static_cast<double>(target.failures - 1);
    return cdf(complement(expected, fewer)) < kSignificance;
}

static bool isSlower(const RouteTally &route)
{
    if (route.target.answers < kMinTimedAnswers || route.others.answers < kMinTimedAnswers)
        return false;
    const auto mean = [](const RolloutTally &tally) {
        return static_cast<double>(tally.totalTime.count()) / static_cast<double>(tally.answers);
    };
    return mean(route.target) >= kSlowFactor * mean(route.others);
}

RolloutVerdict judge(const RouteTallies &routes)
{
    std::uint64_t answers = 0;
    for (const auto &[name, route] : routes) {
        if (failsMore(route) || isSlower(route))
            return RolloutVerdict::Bad;
        answers += route.target.answers;
    }
    return answers >= kEnoughAnswers ? RolloutVerdict::Good : RolloutVerdict::Open;
}

} // namespace greengagestair
