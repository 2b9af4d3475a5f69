#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/** Interval between the heartbeats to each member of the cell. */
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
/** Validity of a grant or failure report, counted from the sending of the acked heartbeat. */
inline constexpr Duration kGrantDuration = std::chrono::milliseconds(1500);
/**
 * Minimum time between the last grant to a member and the first failure report on it, and between
 * the last failure report and the first grant. A member without heartbeats for this time is
 * reported as failed.
 */
inline constexpr Duration kTakeoverDelay = std::chrono::seconds(2);

// A grant and a failure report from one member about another must never be valid at the same time.
// The difference between the two constants covers clocks that run at different rates.
static_assert(kTakeoverDelay > kGrantDuration);

} // namespace greengagestair
