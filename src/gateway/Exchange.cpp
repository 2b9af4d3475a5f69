#include "gateway/Exchange.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagestair {

/** Tolerance for rounding errors of fractions such as 8/9. */
static constexpr double kCoverageTolerance = 1e-9;

void settlePart(Exchange &exchange, std::size_t index)
{
    Part &part = exchange.parts[index];
    if (std::exchange(part.isSettled, true))
        return;
    ++(part.answer ? exchange.answered : exchange.failed);
}

std::size_t lackingParts(const Exchange &exchange)
{
    if (!exchange.route->gather)
        return exchange.parts.size() - exchange.answered;
    const double needed =
            exchange.route->gather->minCoverage * static_cast<double>(exchange.parts.size())
            - kCoverageTolerance;
    const auto least = static_cast<std::size_t>(std::max(std::ceil(needed), 1.0));
    return least - std::min(least, exchange.answered);
}

bool hasReachedServer(const Exchange &exchange)
{
    return std::any_of(exchange.parts.begin(), exchange.parts.end(),
                       [](const Part &part) { return !part.reached.empty(); });
}

bool mayHaveRun(const Exchange &exchange)
{
    return std::any_of(exchange.parts.begin(), exchange.parts.end(), [](const Part &part) {
        return part.mayHaveRun || part.answer || !part.openAttempts.empty();
    });
}

bool meetsMinCoverage(const Exchange &exchange, std::size_t parts)
{
    if (parts == 0)
        return false;
    const double coverage = static_cast<double>(parts) / static_cast<double>(exchange.parts.size());
    return coverage + kCoverageTolerance >= exchange.route->gather->minCoverage;
}

} // namespace greengagestair
