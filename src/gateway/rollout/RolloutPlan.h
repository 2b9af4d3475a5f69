#pragma once

#include "gateway/GatewayOptions.h"
#include "gateway/rollout/RolloutState.h"

#include <cstdint>

namespace greengagestair {

/** Last step of a plan before the switch; its begin is a short surge. */
inline constexpr std::uint32_t kLastRolloutStep = 3;

/** Share of the requests that a step gives to the target version. */
struct RolloutShare
{
    double share = 0;
    double surgeShare = 0;
    Duration surge {};
};

/**
 * Steps and shares of a roll-out: a few percent first, then up to the allowed share, then a short
 * surge that gives single servers about the load that they will have later. The sum over all steps
 * stays below the allowed share of all requests between the order and its deadline, with a reserve
 * for the requests that are sent in the switch before a version that is bad only then is noticed.
 * All times count from the order.
 */
class RolloutPlan
{
public:
    RolloutPlan(const RolloutOptions &options, Duration duration);

    /** Time at which `step` is due, if the step before it began at `formerBegan`. */
    Duration dueAt(std::uint32_t step, Duration formerBegan) const;
    /** Time at which the switch is due. */
    Duration switchAt() const;
    /** Latest time at which the switch may begin. */
    Duration lastSwitchAt() const;
    /** Shortest time from the begin of the switch until the old servers are given up. */
    Duration fullLoadTime() const;
    /** Time at which a roll-out that is not complete is rolled back. */
    Duration endAt() const;
    /**
     * Shares of a step that begins at `time`.
     * @param requestsPerSecond rate of the service over all hosts; 0 if it is unknown
     */
    RolloutShare shareOf(std::uint32_t step, Duration time, double requestsPerSecond) const;

private:
    RolloutOptions m_options;
    Duration m_duration;
};

} // namespace greengagestair
