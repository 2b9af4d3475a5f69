#pragma once

#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace greengagestair {

/** How an attempt ended, for the judgement of a version. */
enum class RolloutResult {
    Answer,
    Failure,  ///< an error response, a lost connection or no response in time
    Abandoned ///< no longer wanted before it was answered, so at least its time is known
};

/**
 * Counts the results of one service's attempts at the target version and at all others, by route,
 * since the current step of the roll-out began. An answer that takes several times as long as the
 * usual answer of the other versions on its route counts as a failure, on either side: a mean would
 * not show a version of which only some answers are slow.
 */
class RolloutCounter
{
public:
    /** Starts a new step; the usual times are kept. */
    void beginStep() { m_counts.clear(); }
    void add(const std::string &route, bool isTarget, RolloutResult result, Duration time);
    std::vector<RolloutCounts> counts() const;

private:
    struct Usual
    {
        std::uint64_t answers = 0;
        double mean = 0; ///< microseconds
    };

    bool isSlow(const std::string &route, Duration time) const;

    std::map<std::pair<std::string, bool>, RolloutCounts> m_counts; ///< by route and isTarget
    std::map<std::string, Usual> m_usual;                           ///< by route
};

} // namespace greengagestair
