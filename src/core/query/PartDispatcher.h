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

/** Chooses replicas and sends, cancels and closes the attempts of parts. */
class PartDispatcher
{
public:
    /** How an attempt of a signature that is not known good is bounded at its owner. */
    enum class Trial { None, Canary, Isolated };

    enum class Result { Sent, NoReplica, TooLate };
    enum class Purpose { First, Retry, Hedge };
    /** Service and group that an attempt was sent for. */
    struct SentPart
    {
        ServiceId service;
        GroupId group;
    };

    PartDispatcher(const ReducerOptions &options, DocumentView &documents, OwnershipView &ownership,
                   PartRouter &router, IdentifierSource &identifiers, QueryTable &table);

    /** Whether the server accepts work and has an owner. */
    bool isUsable(const ServerId &server, MonotonicTime now) const;
    /** The group of a part in the configuration in force; null if it is not declared. */
    const Group *findGroup(const Query &query, std::size_t part) const;
    /** Adds the servers of the group that are known to lack the query's snapshot. */
    void addServersLackingVersion(const Query &query, const Group &group, MonotonicTime now,
                                  std::vector<ServerId> &servers) const;
    /** Whether some replica of the part could still be tried. */
    bool hasReplica(const Query &query, std::size_t part, MonotonicTime now) const;
    /** Sends the part to the best replica that had no attempt yet. */
    Result send(StepContext &context, Query &query, std::size_t part, Purpose purpose);
    /** Sends the part to the given server. */
    Result sendTo(StepContext &context, Query &query, std::size_t part, const BackendServer &server,
                  Purpose purpose, Trial trial);
    /** Cancels and closes the open attempts of a part. */
    void cancelOpenAttempts(StepContext &context, Query &query, std::size_t part);
    /** Closes the open attempts of a part and leaves their requests to run. */
    void abandonOpenAttempts(Query &query, std::size_t part);
    /** Closes an attempt that ended, and learns from its end. */
    Attempt closeEndedAttempt(StepContext &context, Query &query, std::size_t part,
                              const PartAnswer &answer);
    /** Closes an attempt whose owner was lost. */
    Attempt closeLostAttempt(StepContext &context, Query &query, std::size_t part, PartId id);
    /** Marks the servers of open attempts as slow and returns the time of the next look. */
    void markSlow(const Query &query, std::size_t part, MonotonicTime now);

    Duration hedgeDelay(const ServiceId &service) const;
    RetryBudget &budget(const ServiceId &service) { return m_services[service].budget; }
    SnapshotSelector &snapshots() { return m_snapshots; }
    /** Only with answer matching switched off: what a closed attempt was sent for. */
    const SentPart *findSentPart(PartId id) const;
    /** Forgets idle servers from time to time. */
    void removeIdle(MonotonicTime now);
    boost::json::object dump(MonotonicTime now) const;

private:
    struct ServiceState
    {
        RetryBudget budget;
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
    std::unordered_map<PartId, SentPart> m_sentParts; ///< only with answer matching switched off
    MonotonicTime m_removeIdleAt;
};

} // namespace greengagestair
