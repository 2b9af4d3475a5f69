#pragma once

#include "greengagestair/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagestair {

/** Bounds on the repeated attempts of one service, over all entry hosts together. */
struct RepeatLimits
{
    double ratio = 0.2;                         ///< repeats per request
    Duration window = std::chrono::seconds(10); ///< any span of this length counts
    double slack = 0;                           ///< repeats beyond the ratio, for this host
};

/**
 * Counts requests and repeats of one service in a sliding window. Each host keeps its repeats below
 * the ratio of its own requests plus its share of the slack, so the sum over all hosts keeps the
 * joint bound without any message between them.
 */
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatLimits &limits);

    /** Changes ratio and slack; the window keeps its length. */
    void setLimits(const RepeatLimits &limits);
    /** Credits the first attempt of a request. */
    void addRequest(MonotonicTime now);
    /** Pays for one repeat; false if the budget does not allow it. */
    bool takeRepeat(MonotonicTime now);

private:
    struct Slot
    {
        std::int64_t index = -1; ///< number of the time slot since the clock's epoch
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
