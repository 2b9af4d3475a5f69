#include "gateway/RepeatBudget.h"

#include <algorithm>

namespace greengagestair {

/** Minimum number of shares into which the joint slack for repeats is divided. */
static constexpr double kMinSlackShares = 12;
/** Shares per counted host; the excess is reserved for hosts that are not counted yet. */
static constexpr double kSlackReserve = 1.25;

RepeatLimits shareOfRepeats(RepeatLimits joint, std::size_t hosts)
{
    joint.slack /= std::max(kMinSlackShares, static_cast<double>(hosts) * kSlackReserve);
    return joint;
}

/**
 * Share of the ratio that is used. The rest covers repeats that no host counts against the requests
 * of the same window: those before a restart, and those of hosts whose callers have moved on.
 */
static constexpr double kUsableRatioShare = 0.75;

/**
 * Share of the ratio that hedges may use. The slack is not reduced: a host with few requests has
 * little else.
 */
static constexpr double kHedgeRatioShare = 0.7;

RepeatBudget::RepeatBudget(const RepeatLimits &limits)
    : m_limits(limits)
    , m_slotLength(limits.window / kSlots)
{
}

void RepeatBudget::setLimits(const RepeatLimits &limits)
{
    m_limits = limits;
}

std::int64_t RepeatBudget::slotIndex(MonotonicTime now) const
{
    return now.time_since_epoch() / m_slotLength;
}

RepeatBudget::Slot &RepeatBudget::currentSlot(MonotonicTime now)
{
    const std::int64_t index = slotIndex(now);
    Slot &slot = m_slots[static_cast<std::size_t>(index) % m_slots.size()];
    if (slot.index != index)
        slot = { index, 0, 0 };
    return slot;
}

void RepeatBudget::addRequest(MonotonicTime now)
{
    ++currentSlot(now).requests;
}

bool RepeatBudget::takeRepeat(MonotonicTime now)
{
    return take(now, 1);
}

bool RepeatBudget::takeHedge(MonotonicTime now)
{
    return take(now, kHedgeRatioShare);
}

bool RepeatBudget::take(MonotonicTime now, double ratioShare)
{
    Slot &current = currentSlot(now);
    double requests = 0;
    double repeats = 0;
    // Requests count for one slot less than repeats, so the limit holds in any span of the window's
    // length, not only in spans that are aligned to slots.
    for (const Slot &slot : m_slots) {
        const std::int64_t age = current.index - slot.index;
        if (slot.index < 0 || age > static_cast<std::int64_t>(kSlots))
            continue;
        repeats += slot.repeats;
        if (age < static_cast<std::int64_t>(kSlots))
            requests += slot.requests;
    }
    const double ratio = m_limits.ratio * kUsableRatioShare * ratioShare;
    if (repeats + 1 > requests * ratio + m_limits.slack)
        return false;
    ++current.repeats;
    return true;
}

} // namespace greengagestair
