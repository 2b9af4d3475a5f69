#include "gateway/EventRateLimit.h"

namespace greengagestair {

EventRateLimit::EventRateLimit(std::size_t maxEvents, Duration window)
    : m_maxEvents(maxEvents)
    , m_window(window)
{
}

bool EventRateLimit::take(MonotonicTime now)
{
    while (!m_events.empty() && now - m_events.front() > m_window)
        m_events.pop_front();
    if (m_events.size() >= m_maxEvents)
        return false;
    m_events.push_back(now);
    return true;
}

} // namespace greengagestair
