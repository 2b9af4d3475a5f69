#pragma once

#include "greengagestair/Types.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace greengagestair {

/** Actions ordered by virtual time; equal times run in the order in which they were added. */
class VirtualTime
{
public:
    MonotonicTime now() const { return m_now; }

    void at(MonotonicTime time, std::function<void()> action)
    {
        m_actions.emplace(std::pair { std::max(time, m_now), ++m_added }, std::move(action));
    }

    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    void runUntil(MonotonicTime end)
    {
        while (!m_actions.empty() && m_actions.begin()->first.first <= end) {
            auto node = m_actions.extract(m_actions.begin());
            m_now = node.key().first;
            node.mapped()();
        }
        m_now = end;
    }

private:
    std::map<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> m_actions;
    MonotonicTime m_now {};
    std::uint64_t m_added = 0;
};

} // namespace greengagestair
