#pragma once

#include "greengagestair/Types.h"

#include <cstdint>
#include <memory>
#include <string>

namespace greengagestair {

/** One histogram of latencies in seconds, with their sum. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void add(Duration latency);
    /** The lines that introduce all histograms of this name in the Prometheus text format. */
    static std::string heading();
    /** Appends the lines of this histogram, with the outcome as a label. */
    void render(const std::string &outcome, std::string &text) const;

private:
    class Bins;
    std::unique_ptr<Bins> m_bins;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

} // namespace greengagestair
