#include "gateway/RequestDispatcher.h"

namespace greengagestair {

bool RequestDispatcher::isNeeded(const Exchange &exchange, std::size_t index)
{
    const Duration lateAfter = hedgeDelay(*exchange.route);
    std::size_t expected = 0;
    for (std::size_t other = 0; other < exchange.parts.size(); ++other) {
        const Part &part = exchange.parts[other];
        if (other == index || part.isSettled || part.openAttempts.empty())
            continue;
        const MonotonicTime sentAt = m_attempts.at(part.openAttempts.back()).startedAt;
        expected += m_now - sentAt < lateAfter ? 1 : 0;
    }
    return lackingParts(exchange) > expected;
}

bool RequestDispatcher::takeRetry(const Exchange &exchange, std::size_t index)
{
    RepeatBudget &budget = budgetOf(exchange.parts[index].service->name);
    const bool isRanked = m_observations.isEnabled() && exchange.route->gather;
    return isRanked && !isNeeded(exchange, index) ? budget.takeHedge(m_now)
                                                  : budget.takeRepeat(m_now);
}

} // namespace greengagestair
