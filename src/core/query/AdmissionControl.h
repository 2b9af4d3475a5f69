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

/** Bounds the queries in progress of each service and refuses early what would end late. */
class AdmissionControl
{
public:
    enum class Verdict { Admitted, Queued, Refused };

    /** The end of a waiting query's time in the queue. */
    struct Decision
    {
        QueryId query;
        bool admitted = false;
        ServiceId service;
        Priority priority = Priority::Routine;
    };

    AdmissionControl(const ReducerOptions &options, DocumentView &documents);

    /** Each admitted query must be reported by `finished`. */
    Verdict request(StepContext &context, const Service &service, Priority priority, QueryId query,
                    MonotonicTime deadline);
    /** Whether `request` would refuse now; takes no place. */
    bool wouldRefuse(StepContext &context, const ServiceId &service, Priority priority,
                     MonotonicTime deadline);
    /** A queued query is no longer wanted; others are ignored. */
    void withdraw(QueryId query);
    /** An admitted query ended after `inProgress`. */
    void finished(StepContext &context, const ServiceId &service, Priority priority,
                  Duration inProgress);
    /** An attempt of a part was answered after `partTime`. */
    void partAnswered(StepContext &context, const ServiceId &service, Duration partTime);
    /** A part of an admitted query went unanswered because all owners refused it for load. */
    void partRefused(StepContext &context, const ServiceId &service);
    /**
     * The next queued query that is now admitted or refused, if any. An admitted one that is gone
     * by now must be reported by `finished` all the same.
     */
    std::optional<Decision> takeNextDecision(StepContext &context);

    MonotonicTime nextWakeUp() const;
    boost::json::object dump(MonotonicTime now) const;

private:
    /** Position in the queues: order of arrival. */
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
        Duration queryTime; ///< smoothed time in progress
        std::map<Sequence, QueuedQuery> urgent;
        std::map<Sequence, QueuedQuery> routine;
        std::size_t urgentInProgress = 0;
        std::size_t routineInProgress = 0;
        std::size_t consecutiveUrgent = 0;
        std::multiset<MonotonicTime> pauses; ///< ends of pauses between routine queries
    };

    struct QueuePosition
    {
        ServiceId name;
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
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_expiries; ///< time and query
    std::deque<Decision> m_decisions;
    Sequence m_lastSequence = 0;
};

} // namespace greengagestair
