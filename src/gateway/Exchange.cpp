#include "gateway/Exchange.h"

#include <algorithm>
#include <cmath>

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

std::size_t lackingParts(const Exchange &exchange)
{
    const std::size_t answered = answeredParts(exchange);
    if (!exchange.route->gather)
        return exchange.parts.size() - answered;
    const double needed =
            exchange.route->gather->minCoverage * static_cast<double>(exchange.parts.size())
            - kCoverageTolerance;
    const auto least = static_cast<std::size_t>(std::max(std::ceil(needed), 1.0));
    return least - std::min(least, answered);
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
