#pragma once

#include "core/Interfaces.h"
#include "core/query/PartTimeEstimator.h"
#include "core/query/QueryTable.h"
#include "core/query/ReplicaSelector.h"
#include "core/query/RetryBudget.h"
#include "core/query/SnapshotSelector.h"

#include <boost/json/fwd.hpp>

#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Sends, cancels and closes the attempts of parts for PartExecutor, and chooses the replica of each
 * attempt. For this choice and for hedges it keeps part times, retry budgets, the load of servers
 * and the index versions that servers lack. `send` uses each replica of a part at most once.
 */
class PartDispatcher
{
public:
    /** Restriction under which the owner runs an attempt of a signature that is not known good. */
    enum class Trial {
        None,    ///< no restriction
        Canary,  ///< the other parts of the query wait for the answer of this part
        Isolated ///< like Canary, and runs only while nothing else is in flight on the server
    };

    /** Result of an attempt to send a part. */
    enum class Result {
        Sent,      ///< the part was passed to the owner of the server
        NoReplica, ///< no replica is left, or the server has no owner
        TooLate    ///< too little time is left until the deadline
    };
    /** Reason for which an attempt is made; decides the budget and the counter that it uses. */
    enum class Purpose { First, Retry, Hedge };
    /** Service and group of an attempt that was sent. */
    struct SentPart
    {
        ServiceId service;
        GroupId group;
    };

    /** All arguments must outlive the dispatcher. */
    PartDispatcher(const ReducerOptions &options, DocumentView &documents, OwnershipView &ownership,
                   PartRouter &router, IdentifierSource &identifiers, QueryTable &table);

    /** Returns whether the server accepts new work and has an owner. */
    bool isUsable(const ServerId &server, MonotonicTime now) const;
    /** Returns the group of a part in the current configuration; null if it is not declared. */
    const Group *findGroup(const Query &query, std::size_t part) const;
    /** Appends the servers of the group that are recorded as lacking the query's index version. */
    void addServersLackingVersion(const Query &query, const Group &group, MonotonicTime now,
                                  std::vector<ServerId> &servers) const;
    /** Returns whether a usable replica of the part has had no attempt yet. */
    bool hasReplica(const Query &query, std::size_t part, MonotonicTime now) const;
    /** Sends the part to the best usable replica that has had no attempt yet. */
    Result send(StepContext &context, Query &query, std::size_t part, Purpose purpose);
    /** Sends the part to the given server, even if that server had an attempt already. */
    Result sendTo(StepContext &context, Query &query, std::size_t part, const BackendServer &server,
                  Purpose purpose, Trial trial);
    /** Closes the open attempts of a part and asks their owners to cancel them. */
    void cancelOpenAttempts(StepContext &context, Query &query, std::size_t part);
    /** Closes the open attempts of a part without cancelling them at their owners. */
    void abandonOpenAttempts(Query &query, std::size_t part);
    /** Closes an attempt whose end its owner reported, and updates the statistics from `answer`. */
    Attempt closeEndedAttempt(StepContext &context, Query &query, std::size_t part,
                              const PartAnswer &answer);
    /** Closes an attempt whose owner was lost, and records a failure of its server. */
    Attempt closeLostAttempt(StepContext &context, Query &query, std::size_t part, PartId id);
    /** Marks the servers of the part's open attempts as slow. */
    void markSlow(const Query &query, std::size_t part, MonotonicTime now);

    /** Returns the time after which an unanswered part of the service is hedged. */
    Duration hedgeDelay(const ServiceId &service) const;
    /** Returns the budget that hedges and retries of the service share. */
    RetryBudget &retryBudget(const ServiceId &service) { return m_services[service].retryBudget; }
    /** Returns the selector that holds the index versions which servers lack. */
    SnapshotSelector &snapshots() { return m_snapshots; }
    /**
     * Returns the service and group of an open or closed attempt. Returns null unless the mechanism
     * `answerMatching` is switched off, because attempts are recorded only then.
     */
    const SentPart *findSentPart(PartId id) const;
    /** Drops the state of idle servers and expired version records, at most once in 30 s. */
    void removeIdle(MonotonicTime now);
    /** Returns the state of this module for the operator's report. */
    boost::json::object dump(MonotonicTime now) const;

private:
    struct ServiceState
    {
        RetryBudget retryBudget;
        PartTimeEstimator partTimes;
    };

    std::vector<const BackendServer *> candidates(const Query &query, std::size_t part,
                                                  MonotonicTime now) const;
    const Service *findService(const ServiceId &service) const;
    void recordAttemptEnd(StepContext &context, const Query &query, const Attempt &attempt,
                          const PartAnswer &answer);

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    OwnershipView &m_ownership;
    PartRouter &m_router;
    IdentifierSource &m_identifiers;
    QueryTable &m_table;
    ReplicaSelector m_replicas;
    SnapshotSelector m_snapshots;
    std::unordered_map<ServiceId, ServiceState> m_services;
    std::unordered_map<PartId, SentPart> m_sentParts; ///< empty unless `answerMatching` is off
    MonotonicTime m_removeIdleAt;
};

} // namespace greengagestair
