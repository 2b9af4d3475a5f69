#pragma once

#include "greengagestair/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace greengagestair {

/**
 * Estimates quantiles of the recent part times of one service, for PartDispatcher and the gateway.
 * Samples are counted in buckets of logarithmic width. All counts are halved whenever their sum
 * reaches 2048, so that the quantiles follow a change of load within a few hundred parts.
 */
class PartTimeEstimator
{
public:
    /**
     * `hedgeQuantile` is the share of the part times below hedgeDelay(), 0 to 1. The 3 % of parts
     * above the default include the stragglers (1 in 100) and fit into a retry budget of 5 %.
     */
    explicit PartTimeEstimator(double hedgeQuantile = 0.97)
        : m_hedgeShare(hedgeQuantile)
    {
    }

    /** Adds a sample: the time from sending a part to its answer. */
    void add(Duration partTime);
    /**
     * Returns the time after which an unanswered part is hedged: the hedge quantile of the recent
     * part times, but at least the declared `warmPartTime`. Returns three times `warmPartTime` as
     * long as there are fewer than 50 samples.
     */
    Duration hedgeDelay(Duration warmPartTime) const;
    /** Returns the median of the recent part times; `warmPartTime` with fewer than 50 samples. */
    Duration typicalPartTime(Duration warmPartTime) const;

private:
    Duration quantile(double share) const;
    void updateQuantiles();

    static constexpr std::size_t kBuckets = 96; ///< covers part times up to about 2.4 s

    double m_hedgeShare;
    std::array<std::uint32_t, kBuckets> m_counts {};
    std::uint32_t m_weightedTotal = 0; ///< sum of all counts
    std::uint32_t m_samplesSinceUpdate = 0;
    std::uint64_t m_sampleCount = 0; ///< all samples so far, without halving
    Duration m_median {};
    Duration m_hedgeQuantile {};
};

} // namespace greengagestair
