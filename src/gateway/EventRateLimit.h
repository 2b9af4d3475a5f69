#pragma once

#include "greengagestair/Types.h"

#include <deque>

namespace greengagestair {

/** Limits how many events happen in any span of a given length. */
class EventRateLimit
{
public:
    EventRateLimit(std::size_t maxEvents, Duration window);

    /** Changes the maximum number of events; the window stays. */
    void setMaxEvents(std::size_t maxEvents) { m_maxEvents = maxEvents; }
    /** Records an event and returns true, or returns false if the limit does not allow it. */
    bool take(MonotonicTime now);

private:
    std::size_t m_maxEvents;
    Duration m_window;
    std::deque<MonotonicTime> m_events;
};

} // namespace greengagestair
