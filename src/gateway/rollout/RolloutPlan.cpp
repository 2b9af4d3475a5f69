#include "gateway/rollout/RolloutPlan.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace greengagestair {

using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * Time that a switch may need: a second until all hosts know of it, the requests in progress, and
 * 4 s until silent hosts are excluded.
 */
static constexpr Duration kSwitchTime = seconds(8);
/** Shortest step: a second until all hosts apply it, and a second of answers. */
static constexpr Duration kMinStep = seconds(2);
/** Hosts read an order up to a second late, and a write may take half a second. */
static constexpr Duration kEndMargin = milliseconds(1500);
/** A switch that begins later cannot be complete in time. */
static constexpr Duration kMinSwitchTime = milliseconds(4000);
/** Begins of the steps as shares of the time until the switch; the first begins at once. */
static constexpr std::array<double, kLastRolloutStep + 1> kStepBegins { 0, 0, 0.25, 0.6 };
/** The first step has this share of the allowed one. */
static constexpr double kFirstShare = 0.3;
/**
 * The target version is judged at full load for a part of the allowed exposure before the old
 * servers are given up. All hosts have switched within a second: in trials, versions that failed
 * under full load only were complete before the first reports of it.
 */
static constexpr double kFullLoadPart = 0.5;
static constexpr Duration kMinFullLoad = seconds(2);
static constexpr Duration kMaxFullLoad = seconds(3);
/** From the first bad answers until all hosts are told: two reports and the messages. */
static constexpr Duration kNoticeTime = seconds(1);
/** Highest part of the allowed requests that is reserved for the switch. */
static constexpr double kMaxReserve = 0.6;
/** The allowed slack is used in part: each host may be ahead of its share by one request. */
static constexpr double kUsedSlack = 0.5;
/** Parts of what is allowed and not reserved, for the steady share and for the surge. */
static constexpr double kSteadyPart = 0.45;
static constexpr double kSurgePart = 0.35;
static constexpr double kMaxShare = 0.5;
static constexpr double kSurgeShare = 0.6;
static constexpr Duration kMaxSurge = seconds(3);
/** A shorter surge is not noticed by hosts that read the state late. */
static constexpr Duration kMinSurge = milliseconds(300);

static double inSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

static Duration fromSeconds(double time)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(time));
}

RolloutPlan::RolloutPlan(const RolloutOptions &options, Duration duration)
    : m_options(options)
    , m_duration(duration)
{
}

Duration RolloutPlan::switchAt() const
{
    return std::min(m_duration * 3 / 4, std::max(m_duration - kSwitchTime, m_duration / 2));
}

Duration RolloutPlan::lastSwitchAt() const
{
    return std::max(switchAt(), m_duration - kMinSwitchTime);
}

Duration RolloutPlan::fullLoadTime() const
{
    const Duration part =
            fromSeconds(kFullLoadPart * m_options.exposedShare * inSeconds(m_duration));
    return std::clamp(part, kMinFullLoad, kMaxFullLoad);
}

Duration RolloutPlan::endAt() const
{
    return std::max(m_duration - kEndMargin, m_duration * 9 / 10);
}

Duration RolloutPlan::dueAt(std::uint32_t step, Duration formerBegan) const
{
    if (step <= 1)
        return Duration(0);
    const Duration planned = fromSeconds(inSeconds(switchAt()) * kStepBegins.at(step));
    return std::max(planned, formerBegan + std::min(kMinStep, m_duration / 10));
}

RolloutShare RolloutPlan::shareOf(std::uint32_t step, Duration time, double requestsPerSecond) const
{
    // Allowed exposure in seconds of the service's full load.
    const double slack =
            requestsPerSecond > 0 ? kUsedSlack * m_options.exposedSlack / requestsPerSecond : 0;
    const double allowed = m_options.exposedShare * inSeconds(m_duration) + slack;
    const double reserve = std::min(inSeconds(fullLoadTime() + kNoticeTime), kMaxReserve * allowed);
    const double usable = allowed - reserve;
    const double steadyTime = inSeconds(std::max(switchAt() - time, kMinStep));
    RolloutShare result;
    if (step <= 1) {
        result.share = kFirstShare * m_options.exposedShare;
        return result;
    }
    // The steady share of the last two steps is the same part of the time that each of them has.
    const double lastSteps = std::max(steadyTime, inSeconds(switchAt()) * (1 - kStepBegins.at(2)));
    result.share = std::min(kSteadyPart * usable / lastSteps, kMaxShare);
    if (step < kLastRolloutStep)
        return result;
    result.surgeShare = kSurgeShare;
    result.surge = std::min(fromSeconds(kSurgePart * usable / kSurgeShare), kMaxSurge);
    if (result.surge < kMinSurge || result.surgeShare <= result.share) {
        result.surge = Duration(0);
        result.surgeShare = result.share;
    }
    return result;
}

} // namespace greengagestair
