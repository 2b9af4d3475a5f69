#include "core/query/RetryBudget.h"

#include <algorithm>

namespace greengagestair {

/** Ratio of hedges and retries to first attempts; bounds their extra load on backend servers. */
static constexpr double kTokensPerFirstAttempt = 0.05;
/** Bounds the burst of hedges and retries after a long time without any. */
static constexpr double kMaxTokens = 50.0;

void RetryBudget::addFirstAttempt()
{
    m_tokens = std::min(m_tokens + kTokensPerFirstAttempt, kMaxTokens);
}

bool RetryBudget::tryTake()
{
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace greengagestair
