#pragma once

#include "core/query/Query.h"

#include <memory>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengagestair {

/**
 * Stores the queries in progress and their timers, with lookup by identifier, by caller, by attempt
 * and by owner, the entry host to which an attempt was sent. QueryEngine adds and removes queries;
 * PartDispatcher opens and closes their attempts. References to a query stay valid until it is
 * removed.
 */
class QueryTable
{
public:
    /** Query and part to which an open attempt belongs. */
    struct AttemptLocation
    {
        QueryId query;
        std::size_t part = 0; ///< index into the parts of the query
    };

    /** Stores a query; its identifier must be new. */
    Query &add(Query query);
    /** Removes a query with its open attempts; the identifier must exist. */
    void remove(QueryId id);
    /** Removes all queries, attempts and timers. */
    void clear();
    /** Returns a query; null if it has ended. */
    Query *find(QueryId id);
    /** Returns the query of a caller; null if there is none in progress. */
    Query *findByCaller(CallerId caller);
    /** Returns the number of queries in progress. */
    std::size_t size() const { return m_queries.size(); }
    /** Returns all queries in progress, in no particular order. */
    const std::unordered_map<QueryId, std::unique_ptr<Query>> &all() const { return m_queries; }

    /** Adds an open attempt to a part; its identifier must be new. */
    void addAttempt(Query &query, std::size_t part, Attempt attempt);
    /** Removes an open attempt from its part and returns it. */
    Attempt closeAttempt(Query &query, std::size_t part, PartId id);
    /** Returns the location of an open attempt; nothing if the attempt is closed. */
    std::optional<AttemptLocation> findAttempt(PartId id) const;
    /** Returns the open attempts that were sent to this owner, ordered by identifier. */
    std::vector<PartId> attemptsOfOwner(const HostId &owner) const;
    /** Returns the number of open attempts of all queries. */
    std::size_t openAttemptCount() const { return m_attempts.size(); }

    /** Sets the timer of the query to `time`, unless it has an earlier one. */
    void scheduleWakeUp(Query &query, MonotonicTime time);
    /** Brings forward the deadlines after `latest` of the queries whose callers wait. */
    void limitDeadlines(MonotonicTime latest);
    /** Removes the next due timer and returns its query; null if no timer is due. */
    Query *takeDueQuery(MonotonicTime now);
    /**
     * Returns the time of the earliest timer; `kNever` if there is none. Call `dropStaleTimers`
     * first if queries or timers have changed; otherwise the result may be the time of a stale
     * timer.
     */
    MonotonicTime nextWakeUp() const;
    /** Removes the earliest timers that are stale: their query has ended or has a newer timer. */
    void dropStaleTimers();

private:
    struct Timer
    {
        MonotonicTime time;
        QueryId query;

        bool operator>(const Timer &other) const { return time > other.time; }
    };

    /** Returns whether the timer is the current one of its query. */
    bool isCurrent(const Timer &timer) const;

    std::unordered_map<QueryId, std::unique_ptr<Query>> m_queries;
    std::unordered_map<CallerId, QueryId> m_queriesByCaller;
    std::unordered_map<PartId, AttemptLocation> m_attempts;
    std::unordered_map<HostId, std::unordered_set<PartId>> m_attemptsByOwner;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
};

} // namespace greengagestair
