#pragma once

#include "net/Adapters.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace greengagestair {

/** Timeout for events that a test expects. Long, so that tests do not fail on a busy machine. */
constexpr std::chrono::seconds kTestTimeout(20);

/** EventQueue that stores the posted events, so that a test can wait for them and check them. */
class RecordingEventQueue : public EventQueue
{
public:
    /** Stores an event; thread-safe. */
    void post(Event event) override
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_all();
    }

    /** Waits for the next event and removes it. Returns nothing, and removes nothing, if there is
     * none within `timeout` or if it is not a `Kind`. */
    template <typename Kind>
    std::optional<Kind> take(std::chrono::milliseconds timeout = kTestTimeout)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, timeout, [this] { return !m_events.empty(); });
        if (m_events.empty() || !std::holds_alternative<Kind>(m_events.front()))
            return std::nullopt;
        Kind event = std::get<Kind>(std::move(m_events.front()));
        m_events.pop_front();
        return event;
    }

    /** Number of events that are posted and not taken yet. */
    std::size_t size()
    {
        const std::lock_guard lock(m_mutex);
        return m_events.size();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Event> m_events;
};

} // namespace greengagestair
