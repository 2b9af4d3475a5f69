#pragma once

#include "gateway/GatewayEvent.h"
#include "greengagestair/Reducer.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace greengagestair {

/** What an event loop was busy with. */
enum class LoopWork {
    Requests, ///< requests of callers: choosing servers and sending the parts
    Results,  ///< responses and failures of attempts, until a reply was sent
    Timers,   ///< hedges, deadlines and other due times
    Store,    ///< what the store and other hosts have told
    NextTimer ///< finding the next due time
};

/** Number of enumerators of LoopWork. */
inline constexpr auto kLoopWorks = static_cast<std::size_t>(LoopWork::NextTimer) + 1;

/** The kind of work that an event causes. */
LoopWork loopWorkOf(const GatewayEvent &event);

/**
 * Sums up the time that an event loop spends on each kind of work, apart for deciding and for
 * carrying out the decisions. Waiting is not included; reading from sockets is not either.
 */
class LoopTimes
{
public:
    using Clock = std::chrono::steady_clock;

    void add(LoopWork work, Clock::duration deciding, Clock::duration applying);
    /** Microseconds and events by kind of work. */
    std::vector<Counter> counters() const;

private:
    struct Sum
    {
        Clock::duration deciding {};
        Clock::duration applying {};
        std::uint64_t events = 0;
    };

    std::array<Sum, kLoopWorks> m_sums;
};

} // namespace greengagestair
