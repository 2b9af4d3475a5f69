#pragma once

#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace greengagestair {

/** A part of a query, to be sent to one backend server, that waits on the host that owns the
 * server. */
struct QueuedPart
{
    HostId entryHost;
    PartRequest request;
    MonotonicTime queryStart; ///< arrival of the query at its entry host, by this host's clock
    MonotonicTime deadline;   ///< by this host's clock
};

/**
 * The parts that wait for one backend server. BackendScheduler takes the next part when the server
 * has a free slot. Urgent parts come before routine ones. Within a priority class the part of the
 * oldest query comes first, so that the parts of one query finish together on all servers.
 */
class PartQueue
{
public:
    /** Maximum number of consecutive urgent parts while a routine part waits. */
    static constexpr int kMaxConsecutiveUrgent = 7;

    /** Adds a part, unless the queue already holds this part of this entry host. */
    void push(QueuedPart part);
    /** The part that pop() would return; the queue must not be empty. */
    const QueuedPart &front() const;
    /** Removes and returns the next part; the queue must not be empty. */
    QueuedPart pop();
    /** Removes and returns a part; nothing if it is not queued. */
    std::optional<QueuedPart> remove(const HostId &entryHost, PartId part);
    /** Removes and returns the parts whose deadline has passed. */
    std::vector<QueuedPart> removeExpired(MonotonicTime now);
    /** Removes and returns all parts. */
    std::vector<QueuedPart> removeAll();

    bool empty() const { return m_parts.empty(); }
    std::size_t size() const { return m_parts.size(); }
    /** Number of queued parts that precede a new part with this priority and query start. */
    std::size_t countAhead(Priority priority, MonotonicTime queryStart) const;
    /** The earliest deadline of all queued parts; kNever if the queue is empty. */
    MonotonicTime earliestDeadline() const;

private:
    /** Priority, start of the query, and the order of arrival in this queue. */
    using Position = std::tuple<Priority, MonotonicTime, std::uint64_t>;
    using PartKey = std::pair<HostId, PartId>;

    std::map<Position, QueuedPart>::const_iterator next() const;
    QueuedPart extract(std::map<Position, QueuedPart>::const_iterator position);

    std::map<Position, QueuedPart> m_parts;
    std::map<PartKey, Position> m_positions;
    std::set<std::pair<MonotonicTime, Position>> m_deadlines;
    std::uint64_t m_arrivals = 0; ///< number of parts added so far
    int m_consecutiveUrgent = 0;
};

} // namespace greengagestair
