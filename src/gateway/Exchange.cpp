#include "gateway/Exchange.h"

#include <algorithm>

namespace greengagestair {

/** Tolerance for rounding errors of fractions such as 8/9. */
static constexpr double kCoverageTolerance = 1e-9;

std::size_t answeredParts(const Exchange &exchange)
{
    return static_cast<std::size_t>(
            std::count_if(exchange.parts.begin(), exchange.parts.end(),
                          [](const Part &part) { return part.answer.has_value(); }));
}

std::size_t failedParts(const Exchange &exchange)
{
    return static_cast<std::size_t>(
            std::count_if(exchange.parts.begin(), exchange.parts.end(),
                          [](const Part &part) { return part.isSettled && !part.answer; }));
}

bool meetsMinCoverage(const Exchange &exchange, std::size_t parts)
{
    if (parts == 0)
        return false;
    const double coverage = static_cast<double>(parts) / static_cast<double>(exchange.parts.size());
    return coverage + kCoverageTolerance >= exchange.route->gather->minCoverage;
}

} // namespace greengagestair
