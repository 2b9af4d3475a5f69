#include "gateway/RepeatBudget.h"

#include <algorithm>

namespace greengagestair {

/**
 * Share of the ratio that each request earns. What neither this nor kSavedRatioShare takes covers
 * repeats that arrive later than they were counted.
 */
static constexpr double kEarnedRatioShare = 0.9;
/** Share of the ratio that can be saved for a time of trouble. */
static constexpr double kSavedRatioShare = 0.075;
/** Share of the slack that extends the savings, for hosts with few requests. */
static constexpr double kSavedSlackShare = 0.1;
/**
 * Share of the ratio that hedges may use. The slack is not reduced: a host with few requests has
 * little else.
 */
static constexpr double kHedgeRatioShare = 0.7;
/** Tolerance for rounding errors of sums. */
static constexpr double kTolerance = 1e-9;

RepeatLimits shareOfRepeats(RepeatLimits joint, std::size_t hosts)
{
    joint.slack /= static_cast<double>(hosts);
    return joint;
}

RepeatBudget::RepeatBudget(const RepeatLimits &limits, MonotonicTime startedAt)
    : m_limits(limits)
    , m_slotLength(limits.window / kSlots)
    , m_slackFrom(startedAt + limits.window)
{
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

double RepeatBudget::maxSavings(MonotonicTime now, double ratio) const
{
    // The requests have to be in the last window, of which the oldest slot is only a part.
    const std::int64_t newerThan = slotIndex(now) - static_cast<std::int64_t>(kSlots);
    double requests = 0;
    for (const Slot &slot : m_slots) {
        if (slot.index > newerThan)
            requests += slot.requests;
    }
    const double savings = m_limits.slack * kSavedSlackShare + ratio * kSavedRatioShare * requests;
    // A host with few requests may save a whole repeat if it has earned one.
    return std::max(savings, std::min(ratio * kEarnedRatioShare * requests, 1.0));
}

double RepeatBudget::remainingSlack(MonotonicTime now) const
{
    if (now < m_slackFrom)
        return 0;
    const std::int64_t oldest = slotIndex(now) - static_cast<std::int64_t>(kSlots);
    double used = m_limits.slack * kSavedSlackShare;
    for (const Slot &slot : m_slots) {
        if (slot.index >= oldest)
            used += slot.usedSlack;
    }
    return std::max(m_limits.slack - used, 0.0);
}

void RepeatBudget::limitSavings(MonotonicTime now)
{
    m_repeats = std::min(m_repeats, maxSavings(now, m_limits.ratio));
    m_hedges = std::min(m_hedges, maxSavings(now, m_limits.ratio * kHedgeRatioShare));
}

void RepeatBudget::addRequest(MonotonicTime now)
{
    ++currentSlot(now).requests;
    const double earned = m_limits.ratio * kEarnedRatioShare;
    m_repeats += earned;
    m_hedges += earned * kHedgeRatioShare;
    limitSavings(now);
}

bool RepeatBudget::takeRepeat(MonotonicTime now)
{
    limitSavings(now);
    if (m_repeats + remainingSlack(now) < 1 - kTolerance)
        return false;
    const double earned = std::min(m_repeats, 1.0);
    m_repeats -= earned;
    currentSlot(now).usedSlack += 1 - earned;
    return true;
}

bool RepeatBudget::takeHedge(MonotonicTime now)
{
    limitSavings(now);
    const double earned = std::min({ m_repeats, m_hedges, 1.0 });
    if (earned + remainingSlack(now) < 1 - kTolerance)
        return false;
    m_repeats -= earned;
    m_hedges -= earned;
    currentSlot(now).usedSlack += 1 - earned;
    return true;
}

} // namespace greengagestair
