#pragma once

#include "core/query/Query.h"

#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengagestair {

/** The queries in progress, found by identifier, caller, attempt, owner and time. */
class QueryTable
{
public:
    /** Where an open attempt belongs. */
    struct AttemptLocation
    {
        QueryId query;
        std::size_t part = 0;
    };

    Query &add(Query query);
    /** Also forgets the query's open attempts. */
    void remove(QueryId id);
    void clear();
    Query *find(QueryId id);
    Query *findByCaller(CallerId caller);
    std::size_t size() const { return m_queries.size(); }
    const std::unordered_map<QueryId, std::unique_ptr<Query>> &all() const { return m_queries; }

    void addAttempt(Query &query, std::size_t part, Attempt attempt);
    /** Closes an open attempt and returns it. */
    Attempt closeAttempt(Query &query, std::size_t part, PartId id);
    std::optional<AttemptLocation> findAttempt(PartId id) const;
    /** Open attempts at one owner, in the order of their identifiers. */
    std::vector<PartId> attemptsOfOwner(const HostId &owner) const;
    std::size_t openAttemptCount() const { return m_attempts.size(); }

    /** Wakes the query at `time` unless it has an earlier timer. */
    void scheduleWakeUp(Query &query, MonotonicTime time);
    /** The next query whose timer is due; its timer is removed. Null if there is none. */
    Query *takeDueQuery(MonotonicTime now);
    /** Time of the earliest live timer. */
    MonotonicTime nextWakeUp() const;
    /** Drops timers of queries that are gone from the front of the queue. */
    void dropStaleTimers();

private:
    struct Timer
    {
        MonotonicTime time;
        QueryId query;

        bool operator>(const Timer &other) const { return time > other.time; }
    };

    bool isLive(const Timer &timer) const;

    std::unordered_map<QueryId, std::unique_ptr<Query>> m_queries;
    std::unordered_map<CallerId, QueryId> m_queriesByCaller;
    std::unordered_map<PartId, AttemptLocation> m_attempts;
    std::unordered_map<HostId, std::unordered_set<PartId>> m_attemptsByOwner;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
};

} // namespace greengagestair
