#include "core/sending/PartQueue.h"

#include "core/Assert.h"
#include "core/StepContext.h"

#include <iterator>
#include <limits>

namespace greengagestair {

void PartQueue::push(QueuedPart part)
{
    const PartKey key { part.entryHost, part.request.part };
    if (m_positions.contains(key))
        return; // the frame with this part was received twice
    const Position position { part.request.priority, part.queryStart, ++m_arrivals };
    m_deadlines.emplace(part.deadline, position);
    m_positions.emplace(key, position);
    m_parts.emplace(position, std::move(part));
}

std::map<PartQueue::Position, QueuedPart>::const_iterator PartQueue::next() const
{
    GREENGAGESTAIR_ASSERT(!m_parts.empty());
    if (m_consecutiveUrgent < kMaxConsecutiveUrgent)
        return m_parts.begin();
    const auto routine = m_parts.lower_bound({ Priority::Routine, MonotonicTime::min(), 0 });
    return routine == m_parts.end() ? m_parts.begin() : routine;
}

const QueuedPart &PartQueue::front() const
{
    return next()->second;
}

QueuedPart PartQueue::pop()
{
    const auto position = next();
    const bool urgent = position->second.request.priority == Priority::Urgent;
    m_consecutiveUrgent = urgent ? m_consecutiveUrgent + 1 : 0;
    return extract(position);
}

QueuedPart PartQueue::extract(std::map<Position, QueuedPart>::const_iterator position)
{
    QueuedPart part = position->second;
    m_deadlines.erase({ part.deadline, position->first });
    m_positions.erase({ part.entryHost, part.request.part });
    m_parts.erase(position);
    return part;
}

std::optional<QueuedPart> PartQueue::remove(const HostId &entryHost, PartId part)
{
    const auto found = m_positions.find({ entryHost, part });
    if (found == m_positions.end())
        return std::nullopt;
    return extract(m_parts.find(found->second));
}

std::vector<QueuedPart> PartQueue::removeExpired(MonotonicTime now)
{
    std::vector<QueuedPart> expired;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
        expired.push_back(extract(m_parts.find(m_deadlines.begin()->second)));
    return expired;
}

std::vector<QueuedPart> PartQueue::removeAll()
{
    std::vector<QueuedPart> parts;
    while (!m_parts.empty())
        parts.push_back(extract(m_parts.begin()));
    return parts;
}

std::size_t PartQueue::countAhead(Priority priority, MonotonicTime queryStart) const
{
    const auto end = m_parts.upper_bound(
            { priority, queryStart, std::numeric_limits<std::uint64_t>::max() });
    return static_cast<std::size_t>(std::distance(m_parts.begin(), end));
}

MonotonicTime PartQueue::earliestDeadline() const
{
    return m_deadlines.empty() ? kNever : m_deadlines.begin()->first;
}

} // namespace greengagestair
