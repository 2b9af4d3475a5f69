#pragma once

#include "core/Interfaces.h"
#include "core/query/QueryId.h"
#include "core/sending/ConcurrencyLimit.h"

#include <boost/json/fwd.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace greengagestair {

/**
 * Limits the queries in progress of each service, queues the excess for a short time, and refuses
 * a query at once if it would miss its deadline. QueryEngine requests admission for each query and
 * reports its end. Urgent queries start before routine queries, but at most seven urgent queries
 * start in a row while a routine query waits.
 */
class AdmissionControl
{
public:
    /** Result of a request for admission. A queued query gets a Decision later. */
    enum class Verdict { Admitted, Queued, Refused };

    /** Decision about a query that was queued. */
    struct Decision
    {
        QueryId query;
        bool admitted = false; ///< false if the query waited too long and is refused
        ServiceId service;
        Priority priority = Priority::Routine;
    };

    /** Creates an admission control without queries. The arguments are ignored. */
    AdmissionControl(const ReducerOptions &options, DocumentView &documents);

    /**
     * Admits, queues or refuses a query. The end of each admitted query must be reported with
     * `queryEnded`.
     */
    Verdict request(StepContext &context, const Service &service, Priority priority, QueryId query,
                    MonotonicTime deadline);
    /** Returns whether `request` would refuse a query with these arguments; does not queue it. */
    bool wouldRefuse(StepContext &context, const ServiceId &service, Priority priority,
                     MonotonicTime deadline);
    /** Removes a query from the queue; does nothing if it is not queued. */
    void withdraw(QueryId query);
    /** Reports that an admitted query ended; `inProgress` is the time since its admission. */
    void queryEnded(StepContext &context, const ServiceId &service, Priority priority,
                    Duration inProgress);
    /** Reports that an attempt of a part was answered `partTime` after it was sent. */
    void partAnswered(StepContext &context, const ServiceId &service, Duration partTime);
    /** Reports that a part of an admitted query is missing because its replicas were overloaded. */
    void partRefused(StepContext &context, const ServiceId &service);
    /**
     * Removes and returns the next decision about a queued query; nothing if there is none now.
     * `queryEnded` must be called for an admitted query even if the query no longer exists.
     */
    std::optional<Decision> takeNextDecision(StepContext &context);

    /** Returns the time of the next possible decision; `kNever` if no query is queued. */
    MonotonicTime nextWakeUp() const;
    /** Returns the limits and queue lengths of all services for the operator's report. */
    boost::json::object dump(MonotonicTime now) const;

private:
    /** Arrival number of a queued query; orders the queues. */
    using Sequence = std::uint64_t;

    struct QueuedQuery
    {
        QueryId query;
        MonotonicTime expiresAt;
    };

    struct ServiceState
    {
        explicit ServiceState(const Service &service);

        ConcurrencyLimit limit;
        Duration queryTime; ///< smoothed time from admission to end
        std::map<Sequence, QueuedQuery> urgent;
        std::map<Sequence, QueuedQuery> routine;
        std::size_t urgentInProgress = 0;
        std::size_t routineInProgress = 0;
        std::size_t consecutiveUrgent = 0;   ///< urgent starts in a row while a routine query waits
        std::multiset<MonotonicTime> pauses; ///< end times of slots' pauses between routine queries
    };

    struct QueuePosition
    {
        ServiceId serviceName;
        ServiceState *service = nullptr;
        Priority priority = Priority::Routine;
        Sequence sequence = 0;
    };

    static std::size_t slots(const ServiceState &state);
    static bool routineIsDue(const ServiceState &state);
    static bool mayStart(ServiceState &state, Priority priority, MonotonicTime now);
    static Duration longestWait(const ServiceState &state, MonotonicTime deadline,
                                MonotonicTime now);
    static bool hasFreeSlot(ServiceState &state, Priority priority, MonotonicTime now);
    static Duration expectedWait(const ServiceState &state, Priority priority);
    static void start(ServiceState &state, Priority priority);
    void startQueued(StepContext &context, ServiceState &state);
    void admitFirst(StepContext &context, ServiceState &state, Priority priority);
    void expireQueued(StepContext &context);
    void removeFromQueue(QueryId query);

    std::unordered_map<ServiceId, ServiceState> m_services;
    std::unordered_map<QueryId, QueuePosition> m_queuePositions;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_expiries; ///< time and query id
    std::deque<Decision> m_decisions;
    Sequence m_lastSequence = 0;
};

} // namespace greengagestair
