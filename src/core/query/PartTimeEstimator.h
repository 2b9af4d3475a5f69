#pragma once

#include "greengagestair/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagestair {

/**
 * Recent part times of one service, in buckets of logarithmic width. Old samples fade by halving
 * all counts, so the quantile follows a change of load within some hundred parts.
 */
class PartTimeEstimator
{
public:
    void add(Duration partTime);
    /** Time after which a part is sent again; never below the declared warm part time. */
    Duration hedgeDelay(Duration warmPartTime) const;
    /** Median of the recent part times; the declared time until there are enough samples. */
    Duration typicalPartTime(Duration warmPartTime) const;

private:
    Duration quantile(double share) const;
    void updateQuantiles();

    static constexpr std::size_t kBuckets = 96;

    std::array<std::uint32_t, kBuckets> m_counts {};
    std::uint32_t m_weightedTotal = 0;
    std::uint32_t m_samplesSinceUpdate = 0;
    std::uint64_t m_sampleCount = 0;
    Duration m_median {};
    Duration m_hedgeQuantile {};
};

} // namespace greengagestair
