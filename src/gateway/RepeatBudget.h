#pragma once

#include "greengagestair/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagestair {

/** Limits on the repeats (retries and hedges) of one service. */
struct RepeatLimits
{
    double ratio = 0.2;                         ///< allowed repeats per request
    Duration window = std::chrono::seconds(10); ///< the limit holds in any span of this length
    double slack = 0; ///< repeats allowed in addition; in RepeatBudget, this host's share
};

/** This host's share of a joint limit, if `hosts` entry hosts are counted. */
RepeatLimits shareOfRepeats(RepeatLimits joint, std::size_t hosts);

/**
 * Limits the repeats (retries and hedges) of one service at this host, so that the sum over all
 * hosts keeps a joint limit without messages between them, also when hosts restart.
 *
 * Each request earns a part of the ratio. What can be saved of it is bounded by the rest of the
 * ratio of the requests in the last window. This host's share of the slack may be used in any
 * window, but not in the first one after the process has started: its predecessor may have used it.
 * In any window, a host with all its restarts therefore repeats no more than its share of the
 * slack, plus the ratio of its requests in that window or in the one before it.
 */
class RepeatBudget
{
public:
    /** Creates the budget of a process that started at `startedAt`. */
    RepeatBudget(const RepeatLimits &limits, MonotonicTime startedAt);

    /** Changes ratio and slack; the length of the window is fixed by the constructor. */
    void setLimits(const RepeatLimits &limits) { m_limits = limits; }
    /** Records the first attempt of a request, which raises the allowed number of repeats. */
    void addRequest(MonotonicTime now);
    /** Records one repeat and returns true, or returns false if the limit does not allow it. */
    bool takeRepeat(MonotonicTime now);
    /**
     * Like takeRepeat(), but leaves a part of the limit to retries: a hedge only makes an answer
     * faster, while a request without its retry may fail.
     */
    bool takeHedge(MonotonicTime now);

private:
    /** What happened in a span of one slot. */
    struct Slot
    {
        std::int64_t index = -1; ///< index of the time slot since the clock's epoch; -1 if unused
        std::uint32_t requests = 0;
        double usedSlack = 0; ///< in repeats
    };

    static constexpr std::size_t kSlots = 20;

    std::int64_t slotIndex(MonotonicTime now) const;
    Slot &currentSlot(MonotonicTime now);
    /** Repeats that may be saved if requests earn the given ratio of repeats. */
    double maxSavings(MonotonicTime now, double ratio) const;
    /** Rest of the slack in the last window. */
    double remainingSlack(MonotonicTime now) const;
    /** Drops what exceeds the bound on savings. */
    void limitSavings(MonotonicTime now);

    RepeatLimits m_limits;
    Duration m_slotLength;
    MonotonicTime m_slackFrom; ///< the slack is not used before this time
    double m_repeats = 0;      ///< earned repeats; the remaining slack comes in addition
    double m_hedges = 0;       ///< earned hedges, each of which takes from m_repeats, too
    /** The last slots; one more than a window, which does not begin with a slot. */
    std::array<Slot, kSlots + 1> m_slots {};
};

} // namespace greengagestair
