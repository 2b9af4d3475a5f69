#include "core/Backoff.h"

#include <algorithm>

namespace greengagestair {

// Does not use std::uniform_int_distribution, whose results differ between standard libraries: the
// replay of a trace must give the same values with any of them.
static Duration randomBelow(Duration limit, std::mt19937_64 &random)
{
    const auto count = static_cast<std::uint64_t>(std::max<Duration::rep>(limit.count(), 1));
    return Duration(static_cast<Duration::rep>(random() % count));
}

Duration backoffDelay(int failures, Duration first, Duration longest, std::mt19937_64 &random)
{
    Duration delay = first;
    for (int failure = 1; failure < failures && delay < longest; ++failure)
        delay *= 2;
    delay = std::min(delay, longest);
    return delay - randomBelow(delay / 2, random);
}

Duration jittered(Duration interval, std::mt19937_64 &random)
{
    return interval * 3 / 4 + randomBelow(interval / 2, random);
}

} // namespace greengagestair
