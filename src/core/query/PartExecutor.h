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
 * Brings the parts of a query from the pinned snapshot to their ends: canary, fan-out, hedges,
 * retries and restarts. The caller's side of a query is the engine's: it looks at a query again
 * after each call and ends it once no part is unsettled.
 */
class PartExecutor
{
public:
    PartExecutor(const ReducerOptions &options, DocumentView &documents, OwnershipView &ownership,
                 PartRouter &router, AdmissionControl &admission, Quarantine &quarantine,
                 IdentifierSource &identifiers, QueryTable &table);

    /** The snapshot for a new query of the service; null if there is none. */
    std::shared_ptr<const PinnedSnapshot> selectSnapshot(const ServiceId &service,
                                                         MonotonicTime now);
    /** False if the request cannot be mapped to key ranges of the snapshot. */
    bool createParts(Query &query, std::shared_ptr<const PinnedSnapshot> snapshot) const;
    /** Sends what the quarantine allows: every part, or one part that the others wait for. */
    void start(StepContext &context, Query &query);
    /** Looks again at held parts if plans may have changed; returns their queries. */
    std::vector<QueryId> replanHeldParts(StepContext &context);
    void hedgeDueParts(StepContext &context, Query &query);

    /** Applies the end of an attempt; returns its query, or null if it belongs to none. */
    Query *applyAnswer(StepContext &context, const HostId &owner, const PartAnswer &answer);
    /** The owner of an open attempt was lost; returns its query, or null if it has ended. */
    Query *failLostAttempt(StepContext &context, PartId id);
    void markMissingAtDeadline(StepContext &context, Query &query);
    /** Closes all attempts. Those of a request that may not be repeated are left to run. */
    void closeAttempts(StepContext &context, Query &query);
    /** Drops all queries. */
    void clear();
    void removeIdle(MonotonicTime now);
    boost::json::object dump(MonotonicTime now) const;

private:
    bool sendProbePart(StepContext &context, Query &query, const Quarantine::Plan &plan);
    void sendUnsentParts(StepContext &context, Query &query);
    void sendPart(StepContext &context, Query &query, std::size_t part,
                  PartDispatcher::Purpose purpose);
    void restartOrMarkMissing(StepContext &context, Query &query, std::size_t part,
                              PartReason reason);
    bool restart(StepContext &context, Query &query);
    void holdPart(Query &query, std::size_t part);
    void replanPart(StepContext &context, Query &query, std::size_t part);
    bool hedge(StepContext &context, Query &query, std::size_t part);
    bool hedgeCanary(StepContext &context, Query &query, std::size_t part);

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
    std::vector<QueryId> m_queriesWithHeldParts; ///< queries with held parts
    std::uint64_t m_plannedGeneration = 0;
};

} // namespace greengagestair
