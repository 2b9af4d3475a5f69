#pragma once

#include "net/Adapters.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace greengagestair {

/** Generous, so that a busy machine does not decide a verdict. */
constexpr std::chrono::seconds kTestTimeout(20);

/** Keeps events for tests. */
class RecordingEventQueue : public EventQueue
{
public:
    void post(Event event) override
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_all();
    }

    /** Takes the next event; nothing if none of this kind comes next in time. */
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
