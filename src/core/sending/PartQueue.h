#pragma once

#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace greengagestair {

/** A part that waits at the owner of its backend server. */
struct QueuedPart
{
    HostId entryHost;
    PartRequest request;
    MonotonicTime queryStart; ///< arrival of the query at its entry host, in this host's time
    MonotonicTime deadline;
};

/**
 * Waiting parts of one backend server: urgent before routine, and the oldest query first within a
 * class, so that the parts of one query finish together on all servers.
 */
class PartQueue
{
public:
    /** Urgent parts taken in a row while a routine part waits. */
    static constexpr int kMaxConsecutiveUrgent = 7;

    void push(QueuedPart part);
    /** The part that pop() would return; the queue must not be empty. */
    const QueuedPart &front() const;
    QueuedPart pop();
    std::optional<QueuedPart> remove(const HostId &entryHost, PartId part);
    /** Removes the parts whose deadline has passed. */
    std::vector<QueuedPart> removeExpired(MonotonicTime now);
    std::vector<QueuedPart> removeAll();

    bool empty() const { return m_parts.empty(); }
    std::size_t size() const { return m_parts.size(); }
    /** Parts that would be taken before a new part of this class and query start. */
    std::size_t countAhead(Priority priority, MonotonicTime queryStart) const;
    /** kNever if empty. */
    MonotonicTime earliestDeadline() const;

private:
    using Position = std::tuple<Priority, MonotonicTime, std::uint64_t>;
    using PartKey = std::pair<HostId, PartId>;

    std::map<Position, QueuedPart>::const_iterator next() const;
    QueuedPart extract(std::map<Position, QueuedPart>::const_iterator position);

    std::map<Position, QueuedPart> m_parts;
    std::map<PartKey, Position> m_positions;
    std::set<std::pair<MonotonicTime, Position>> m_deadlines;
    std::uint64_t m_arrivals = 0;
    int m_consecutiveUrgent = 0;
};

} // namespace greengagestair
