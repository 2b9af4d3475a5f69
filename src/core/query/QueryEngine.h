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

/** The entry role: takes callers' requests, collects the answers of their parts and answers. */
class QueryEngine
{
public:
    QueryEngine(const ReducerOptions &options, DocumentView &documents, OwnershipView &ownership,
                PartRouter &router, RequestClaims &claims, AdmissionControl &admission,
                Quarantine &quarantine, IdentifierSource &identifiers);

    void onCallerRequest(StepContext &context, const CallerRequest &request);
    void onOutcomeQuery(StepContext &context, const OutcomeQuery &outcomeQuery);
    void onCallerGone(StepContext &context, const CallerGone &gone);
    void onPartAnswer(StepContext &context, const HostId &owner, const PartAnswer &answer);
    void onPeerLost(StepContext &context, const HostId &host);
    void onTick(StepContext &context);

    MonotonicTime nextWakeUp() const;
    /** Refuses new requests from now on; accepted ones end normally. */
    void requestStop();
    /** Whether every accepted request has ended. */
    bool idle() const;
    boost::json::object dump(MonotonicTime now) const;

private:
    using Step = std::function<void(StepContext &context)>;

    /** Runs one step. Steps that arrive while one runs are put off to its end. */
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
    void leaveAdmission(StepContext &context, Query &query);

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    RequestClaims &m_claims;
    AdmissionControl &m_admission;
    Quarantine &m_quarantine;
    QueryTable m_table;
    PartExecutor m_partExecutor;
    std::deque<Step> m_deferredSteps;
    std::unordered_set<CallerId> m_outcomeCallers;
    std::uint64_t m_lastQuery = 0;
    bool m_stepRunning = false;
    bool m_stopping = false;
};

} // namespace greengagestair
