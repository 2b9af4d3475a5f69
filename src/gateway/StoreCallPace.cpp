#include "gateway/StoreCallPace.h"

#include "core/Backoff.h"

#include <algorithm>

namespace greengagestair {

StoreCallPace::StoreCallPace(std::uint64_t randomSeed)
    : m_random(randomSeed)
{
}

void StoreCallPace::addProgress(MonotonicTime now, Duration pause)
{
    m_fruitlessCalls = 0;
    m_nextCallAt = now + pause;
}

void StoreCallPace::addFruitlessCall(MonotonicTime now, const RetryDelays &delays)
{
    ++m_fruitlessCalls;
    m_nextCallAt = now;
    if (m_fruitlessCalls > 1)
        m_nextCallAt += backoffDelay(m_fruitlessCalls - 1, delays.first, delays.longest, m_random);
}

void StoreCallPace::postpone(MonotonicTime time)
{
    m_nextCallAt = std::max(m_nextCallAt, time);
}

} // namespace greengagestair
