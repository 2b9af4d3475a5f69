#pragma once

#include "core/quarantine/Quarantine.h"
#include "core/query/AdmissionControl.h"
#include "core/query/PartDispatcher.h"
#include "core/query/QueryTable.h"

#include <boost/json/fwd.hpp>

#include <memory>
#include <vector>

namespace greengagestair {

/**
 * Executes the parts of queries: it creates them from the pinned snapshot, sends a canary where the
 * quarantine requires one, fans out, hedges, retries and restarts on another snapshot. QueryEngine
 * calls it, checks the query after each call, and answers the caller once every part is settled.
 */
class PartExecutor
{
public:
    /** All arguments must outlive the executor. */
    PartExecutor(const ReducerOptions &options, DocumentView &documents, OwnershipView &ownership,
                 PartRouter &router, AdmissionControl &admission, Quarantine &quarantine,
                 IdentifierSource &identifiers, QueryTable &table);

    /**
     * Returns the snapshot for a new query of the service; null if the service is not declared or
     * has no snapshot.
     */
    std::shared_ptr<const PinnedSnapshot> selectSnapshot(const ServiceId &service,
                                                         MonotonicTime now);
    /**
     * Pins the query to the snapshot and creates its parts. Returns false if no key range contains
     * the routing key, or if a non-repeatable request would need more than one part.
     */
    bool createParts(Query &query, std::shared_ptr<const PinnedSnapshot> snapshot) const;
    /**
     * Sends the parts that the quarantine allows: either all parts, or only a probe part, while the
     * other parts wait for its answer. If the quarantine allows no part, holds the probe part or
     * settles all parts as missing.
     */
    void start(StepContext &context, Query &query);
    /**
     * Requests new quarantine plans for the held parts of all queries and applies them, if the
     * state of the quarantine has changed since the last call. Returns the queries of these parts.
     */
    std::vector<QueryId> replanHeldParts(StepContext &context);
    /** Hedges the parts of the query whose hedge delay has passed, and schedules the next check. */
    void hedgeDueParts(StepContext &context, Query &query);

    /**
     * Applies the end of an attempt. Returns its query; null if the attempt is closed or belongs to
     * another owner.
     */
    Query *applyAnswer(StepContext &context, const HostId &owner, const PartAnswer &answer);
    /**
     * Fails an attempt because the connection to its owner was lost. Returns its query; null if
     * the attempt is closed.
     */
    Query *failLostAttempt(StepContext &context, PartId id);
    /** Cancels the open attempts of the query and settles its unsettled parts as missing. */
    void markMissingAtDeadline(StepContext &context, Query &query);
    /**
     * Closes all attempts of the query. The attempts of a repeatable request are cancelled, those
     * of a non-repeatable one run on at their owners.
     */
    void closeAttempts(StepContext &context, Query &query);
    /** Drops all queries without cancelling their attempts at the owners. */
    void clear();
    /** Drops expired state of backend servers; may be called at any time. */
    void removeIdle(MonotonicTime now);
    /** Returns the state of this module for the operator's report. */
    boost::json::object dump(MonotonicTime now) const;

private:
    /** Returns false if no part can be sent to the server of the plan. */
    bool sendProbePart(StepContext &context, Query &query, const Quarantine::Plan &plan);
    void sendUnsentParts(StepContext &context, Query &query);
    void sendPart(StepContext &context, Query &query, std::size_t part,
                  PartDispatcher::Purpose purpose);
    void restartOrMarkMissing(StepContext &context, Query &query, std::size_t part,
                              PartReason reason);
    /** Returns false if the query cannot be moved to another snapshot. */
    bool restart(StepContext &context, Query &query);
    void holdPart(Query &query, std::size_t part);
    void replanPart(StepContext &context, Query &query, std::size_t part);
    bool hedge(StepContext &context, Query &query, std::size_t part);
    bool hedgeCanary(StepContext &context, Query &query, std::size_t part);

    /**
     * Drops an answer that belongs to no open attempt. If the mechanism `answerMatching` is
     * switched off, applies it to any query that waits for the same group, and returns that query.
     */
    Query *applyUnmatchedAnswer(StepContext &context, const PartAnswer &answer);
    void acceptAnswer(StepContext &context, Query &query, std::size_t part,
                      const PartAnswer &answer);
    void failAttempt(StepContext &context, Query &query, std::size_t part, const ServerId &server,
                     PartOutcome outcome, PartReason reason);
    void failNonRepeatableAttempt(StepContext &context, Query &query, PartOutcome outcome,
                                  PartReason reason);
    void retry(StepContext &context, Query &query, std::size_t part, PartOutcome outcome,
               PartReason reason);
    void retryProbePart(StepContext &context, Query &query, PartReason reason);
    void markMissing(StepContext &context, Query &query, std::size_t part, PartReason reason);
    void markUnsettledMissing(StepContext &context, Query &query, PartReason reason);
    void cancelOpenAttempts(StepContext &context, Query &query, std::size_t part);

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    AdmissionControl &m_admission;
    Quarantine &m_quarantine;
    QueryTable &m_table;
    PartDispatcher m_dispatcher;
    std::vector<QueryId> m_queriesWithHeldParts;
    std::uint64_t m_plannedGeneration = 0; ///< quarantine generation at the last replanning
};

} // namespace greengagestair
