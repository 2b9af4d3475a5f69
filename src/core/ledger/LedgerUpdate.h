#pragma once

#include "core/Interfaces.h"
#include "core/ledger/LedgerBucket.h"

#include <optional>
#include <string>
#include <utility>

namespace greengagestair {

/** Identifies a non-repeatable request: its service and the key that its caller chose. */
using RequestKey = std::pair<ServiceId, IdempotencyKey>;

/**
 * A change to one request's entry in a ledger bucket. RequestLedger applies it again to newly read
 * content until a write that contains it is confirmed.
 */
struct LedgerUpdate
{
    enum class Kind {
        Claim,        ///< claims the request for this process
        Abandon,      ///< releases a claim that may or may not have been written
        RecordResult, ///< records that the request ran, and its result
        Release,      ///< releases a claim whose request was not sent
        FindOutcome   ///< reads the outcome; a request that has not run is marked as NotRun
    };

    /** Outcome of an update, valid once the content to which it was applied is in the platform. */
    struct PendingOutcome
    {
        ClaimResult result; ///< set by Claim and FindOutcome
        bool recorded; ///< set by RecordResult: whether the entry now shows the request as Done
    };

    Kind kind = Kind::Claim;
    RequestKey request;
    ClaimToken token;
    IndexVersion snapshot;                        ///< set for RecordResult
    std::string body;                             ///< set for RecordResult
    std::optional<PendingOutcome> pendingOutcome; ///< empty until applied and after a failed write
};

/**
 * Applies an update to the content of its bucket and sets the pending outcome of the update.
 * Returns whether the content changed.
 */
bool applyUpdate(StepContext &context, LedgerUpdate &update, LedgerBucket &content);

/** Builds a result without a body. */
ClaimResult makeClaimResult(ClaimResult::Verdict verdict, QueryReason reason);
/** Result for a request that has not run. */
ClaimResult notRunResult(QueryReason reason);
/** Result for a request that may have run, or whose result is not available. */
ClaimResult mayHaveRunResult(QueryReason reason);

} // namespace greengagestair
