#pragma once

#include "greengagestair/Types.h"

#include <random>

namespace greengagestair {

/**
 * Decides when a host calls the store next. A call that fails, or brings nothing new without having
 * waited for it, is repeated at once; from the second such call in a row on, the pauses grow. So no
 * answer of the store, whatever it holds, lets calls follow each other without a pause.
 */
class StoreCallPace
{
public:
    /** Bounds on the pause after a call that has failed or brought nothing. */
    struct RetryDelays
    {
        Duration first;
        Duration longest;
    };

    explicit StoreCallPace(std::uint64_t randomSeed);

    /** The call has brought something new, or has waited for changes; the next one is due after
     * `pause`. */
    void addProgress(MonotonicTime now, Duration pause);
    /** The call has failed or has brought nothing new. */
    void addFruitlessCall(MonotonicTime now, const RetryDelays &delays);
    /** Postpones the next call to `time` unless it is due later. */
    void postpone(MonotonicTime time);
    /** Time at which the next call is due. */
    MonotonicTime nextCallAt() const { return m_nextCallAt; }
    /** Number of fruitless calls since the last progress. */
    int fruitlessCalls() const { return m_fruitlessCalls; }

private:
    std::mt19937_64 m_random;
    int m_fruitlessCalls = 0;
    MonotonicTime m_nextCallAt;
};

} // namespace greengagestair
