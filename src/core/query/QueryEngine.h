#pragma once

#include "core/Interfaces.h"
#include "core/quarantine/Quarantine.h"
#include "core/query/AdmissionControl.h"
#include "core/query/PartExecutor.h"
#include "core/query/QueryTable.h"
#include "greengagestair/Event.h"

#include <boost/json/fwd.hpp>

#include <deque>
#include <functional>
#include <unordered_set>

namespace greengagestair {

/**
 * Implements the entry role of this process: accepts the requests of callers, has their parts
 * executed and answers each caller. The reducer passes events to it and runs its tick after each of
 * them. Every accepted request is answered once, at its deadline at the latest, unless its caller
 * disconnects. A non-repeatable request is sent only after this host has claimed it.
 */
class QueryEngine
{
public:
    /** All arguments must outlive the engine. */
    QueryEngine(const ReducerOptions &options, DocumentView &documents, OwnershipView &ownership,
                PartRouter &router, RequestClaims &claims, AdmissionControl &admission,
                Quarantine &quarantine, IdentifierSource &identifiers);

    /** Accepts or refuses a new request of a caller. */
    void onCallerRequest(StepContext &context, const CallerRequest &request);
    /** Looks up the outcome of a non-repeatable request and sends it to the caller of the query. */
    void onOutcomeQuery(StepContext &context, const OutcomeQuery &outcomeQuery);
    /**
     * Handles the disconnect of a caller. A query that waits for admission or is repeatable is
     * cancelled. A non-repeatable request that was sent runs on, so that its result is recorded; a
     * claim that is granted after the disconnect is released.
     */
    void onCallerGone(StepContext &context, const CallerGone &gone);
    /** Handles the end of an attempt that `owner` reports. */
    void onPartAnswer(StepContext &context, const HostId &owner, const PartAnswer &answer);
    /** Fails all open attempts at an owner to which the connection was lost. */
    void onPeerLost(StepContext &context, const HostId &host);
    /** Does all work that is due: deadlines, hedges, held parts and admissions. */
    void onTick(StepContext &context);

    /** Returns the time at which `onTick` must be called next; `kNever` if no work is scheduled. */
    MonotonicTime nextWakeUp() const;
    /**
     * Refuses new requests from now on. Accepted requests end normally, but at `answerBy` at the
     * latest, unless the mechanism `stopDraining` is switched off: then they are dropped.
     */
    void requestStop(MonotonicTime answerBy);
    /** Returns whether every accepted request and outcome query has ended. */
    bool idle() const;
    /** Returns the state of this module for the operator's report. */
    boost::json::object dump(MonotonicTime now) const;

private:
    using Step = std::function<void(StepContext &context)>;

    /**
     * Runs a step, or defers it if another step is running. Does all due work after the last step.
     */
    void runStep(StepContext &context, Step work);
    void processDueQueries(StepContext &context);
    bool applyNextDecision(StepContext &context);

    void handleRequest(StepContext &context, const CallerRequest &request);
    QueryReason checkRequest(const CallerRequest &request) const;
    void refuseRequest(StepContext &context, const CallerRequest &request, QueryReason reason);
    void claim(StepContext &context, Query &query);
    void admit(StepContext &context, Query &query);
    void handleClaimResult(StepContext &context, QueryId id, const ServiceId &service,
                           const IdempotencyKey &key, const ClaimResult &result);
    void handleOutcomeResult(StepContext &context, CallerId caller, const ServiceId &service,
                             const ClaimResult &result);

    void start(StepContext &context, Query &query);
    void endAtDeadline(StepContext &context, Query &query);
    void endPartsAtDeadline(StepContext &context, Query &query);
    void awaitLateResult(StepContext &context, Query &query);
    void finishIfSettled(StepContext &context, Query &query, bool deadlinePassed = false);
    void finishNonRepeatable(StepContext &context, Query &query, bool deadlinePassed);
    void answer(StepContext &context, Query &query, CallerAnswer answer);
    void refuse(StepContext &context, Query &query, QueryReason reason);
    void end(StepContext &context, Query &query, QueryOutcome outcome, QueryReason reason);
    void remove(StepContext &context, Query &query);
    /** Reports the end of an admitted query, or removes a waiting query from the queue. */
    void leaveAdmission(StepContext &context, Query &query);

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    RequestClaims &m_claims;
    AdmissionControl &m_admission;
    Quarantine &m_quarantine;
    QueryTable m_table;
    PartExecutor m_partExecutor;
    std::deque<Step> m_deferredSteps;
    std::unordered_set<CallerId> m_outcomeCallers; ///< callers whose outcome query is in progress
    std::uint64_t m_lastQuery = 0;                 ///< last query identifier assigned
    bool m_stepRunning = false;
    bool m_stopping = false;
};

} // namespace greengagestair
