#pragma once

#include "greengagestair/Types.h"

#include <optional>
#include <random>

namespace greengagestair {

/** Source of a host's random choices. */
using RandomSource = std::mt19937_64;

/**
 * This host's share of a joint rate, without messages between the hosts. The share may be far below
 * one request in any useful span: what is saved of a request is then the probability of a random
 * draw, so the hosts together keep the rate although each of them sends whole requests.
 */
class RateShare
{
public:
    /** Sets the rate in requests per second. */
    void setRate(double perSecond, MonotonicTime now);
    /**
     * True if a request may be sent now. May draw, and the draw uses up what was saved; a draw that
     * was won stays valid for a short time.
     */
    bool mayTake(MonotonicTime now, RandomSource &random);
    /** Records a request that mayTake() has allowed. */
    void take(MonotonicTime now);

private:
    /** Requests that can be saved. */
    double depth() const;
    void save(MonotonicTime now);

    double m_perSecond = 0;
    double m_saved = 0; ///< requests
    MonotonicTime m_savedAt;
    std::optional<MonotonicTime> m_drawnUntil; ///< end of a draw that was won and not yet used
};

} // namespace greengagestair
