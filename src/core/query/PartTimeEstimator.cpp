#include "core/query/PartTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace greengagestair {

static constexpr std::uint64_t kMinSamples = 50;
static constexpr std::uint32_t kUpdateInterval = 16;     ///< samples between quantile updates
static constexpr std::uint32_t kHalvingThreshold = 2048; ///< sum at which counts are halved
static constexpr Duration kSmallestBucket = std::chrono::microseconds(50);
/** Ratio of neighbouring bucket bounds; 96 buckets reach from 50 us to about 2.4 s. */
static constexpr double kBucketRatio = 1.12;
/** With fewer than `kMinSamples`, the hedge delay is this multiple of the declared part time. */
static constexpr int kInitialHedgeFactor = 3;

static std::size_t bucketOf(Duration partTime, std::size_t buckets)
{
    if (partTime <= kSmallestBucket)
        return 0;
    static const double kLogRatio = std::log(kBucketRatio);
    const double ratio = static_cast<double>(partTime.count()) / kSmallestBucket.count();
    const auto bucket = static_cast<std::size_t>(std::ceil(std::log(ratio) / kLogRatio));
    return std::min(bucket, buckets - 1);
}

static Duration upperBound(std::size_t bucket)
{
    const double micros = kSmallestBucket.count() * std::pow(kBucketRatio, bucket);
    return Duration(static_cast<Duration::rep>(micros));
}

void PartTimeEstimator::add(Duration partTime)
{
    ++m_counts[bucketOf(partTime, kBuckets)];
    ++m_weightedTotal;
    ++m_sampleCount;
    ++m_samplesSinceUpdate;
    if (m_weightedTotal >= kHalvingThreshold) {
        m_weightedTotal = 0;
        for (std::uint32_t &count : m_counts) {
            count /= 2;
            m_weightedTotal += count;
        }
    }
    if (m_samplesSinceUpdate >= kUpdateInterval || m_sampleCount == kMinSamples)
        updateQuantiles();
}

Duration PartTimeEstimator::hedgeDelay(Duration warmPartTime) const
{
    if (m_sampleCount < kMinSamples)
        return warmPartTime * kInitialHedgeFactor;
    return std::max(m_hedgeQuantile, warmPartTime);
}

Duration PartTimeEstimator::typicalPartTime(Duration warmPartTime) const
{
    return m_sampleCount < kMinSamples ? warmPartTime : m_median;
}

Duration PartTimeEstimator::quantile(double share) const
{
    const auto targetCount = static_cast<std::uint32_t>(std::ceil(share * m_weightedTotal));
    std::uint32_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
        cumulative += m_counts[bucket];
        if (cumulative >= targetCount)
            return upperBound(bucket);
    }
    return upperBound(kBuckets - 1);
}

void PartTimeEstimator::updateQuantiles()
{
    m_samplesSinceUpdate = 0;
    m_median = quantile(0.5);
    m_hedgeQuantile = quantile(m_hedgeShare);
}

} // namespace greengagestair
