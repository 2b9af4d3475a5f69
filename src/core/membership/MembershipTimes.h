#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/** Between two heartbeats to each member of the cell. */
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);
/** Validity of a grant or failure report, from the sending of the heartbeat that it answers. */
inline constexpr Duration kGrantDuration = std::chrono::milliseconds(1500);
/** Between the last grant and the first failure report on a member, and the reverse. */
inline constexpr Duration kTakeoverDelay = std::chrono::seconds(2);

// A grant and a failure report of one member on another must never be valid at the same time; the
// difference covers clocks that run at different rates.
static_assert(kTakeoverDelay > kGrantDuration);

} // namespace greengagestair
