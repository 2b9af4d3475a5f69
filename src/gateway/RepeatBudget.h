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
 * Limits the repeats (retries and hedges) of one service in a sliding window. Each host keeps its
 * repeats within the ratio of its own requests plus its share of the slack. The sum over all hosts
 * therefore keeps the joint limit without messages between them.
 */
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatLimits &limits);

    /** Changes ratio and slack; the length of the window is fixed by the constructor. */
    void setLimits(const RepeatLimits &limits);
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
    bool take(MonotonicTime now, double ratioShare);

    struct Slot
    {
        std::int64_t index = -1; ///< index of the time slot since the clock's epoch; -1 if unused
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    static constexpr std::size_t kSlots = 20;

    std::int64_t slotIndex(MonotonicTime now) const;
    Slot &currentSlot(MonotonicTime now);

    RepeatLimits m_limits;
    Duration m_slotLength;
    std::array<Slot, kSlots + 1> m_slots {};
};

} // namespace greengagestair
