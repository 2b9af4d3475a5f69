#include "gateway/rollout/RolloutCounter.h"

#include <algorithm>

namespace greengagestair {

/** Times the usual time of an answer from which on it counts as a failure. */
static constexpr double kSlowFactor = 3;
/** Answers that are needed to know the usual time. */
static constexpr std::uint64_t kMinUsualAnswers = 10;
/** The usual time is a mean over about this number of answers. */
static constexpr std::uint64_t kUsualAnswers = 200;

bool RolloutCounter::isSlow(const std::string &route, Duration time) const
{
    const auto usual = m_usual.find(route);
    if (usual == m_usual.end() || usual->second.answers < kMinUsualAnswers)
        return false;
    return static_cast<double>(time.count()) >= kSlowFactor * usual->second.mean;
}

void RolloutCounter::add(const std::string &route, bool isTarget, RolloutResult result,
                         Duration time)
{
    RolloutCounts &counts = m_counts[{ route, isTarget }];
    counts.route = route;
    counts.isTarget = isTarget;
    if (result == RolloutResult::Failure || isSlow(route, time)) {
        ++counts.failures;
        return;
    }
    // The time of an abandoned attempt is too short; it shows only that the attempt was slow.
    if (result == RolloutResult::Abandoned)
        return;
    ++counts.answers;
    counts.totalTime += time;
    if (isTarget)
        return;
    Usual &usual = m_usual[route];
    usual.answers = std::min(usual.answers + 1, kUsualAnswers);
    usual.mean +=
            (static_cast<double>(time.count()) - usual.mean) / static_cast<double>(usual.answers);
}

std::vector<RolloutCounts> RolloutCounter::counts() const
{
    std::vector<RolloutCounts> list;
    for (const auto &[key, counts] : m_counts)
        list.push_back(counts);
    return list;
}

} // namespace greengagestair
