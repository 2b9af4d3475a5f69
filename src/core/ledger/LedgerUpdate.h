#pragma once

#include "core/Interfaces.h"
#include "core/ledger/LedgerBucket.h"

#include <optional>
#include <string>
#include <utility>

namespace greengagestair {

/** A non-repeatable request: its service and the identifier that its caller gave it. */
using RequestKey = std::pair<ServiceId, IdempotencyKey>;

/** A change that is to be brought into a bucket of the ledger. */
struct LedgerUpdate
{
    enum class Kind { Claim, Abandon, RecordDone, Release, FindOutcome };

    /** What an update comes to if the content that it was applied to is in the platform. */
    struct PendingOutcome
    {
        ClaimResult result;
        bool recorded;
    };

    Kind kind = Kind::Claim;
    RequestKey request;
    ClaimToken token;
    IndexVersion snapshot; ///< of RecordDone
    std::string body;      ///< of RecordDone
    std::optional<PendingOutcome> pendingOutcome;
};

/** Applies the update and settles it; returns whether it changed the content. */
bool applyUpdate(StepContext &context, LedgerUpdate &update, LedgerBucket &content);

ClaimResult makeClaimResult(ClaimResult::Verdict verdict, QueryReason reason);
/** Verdict on a request that has not run. */
ClaimResult notRunResult(QueryReason reason);
/** Verdict on a request of which that is not known. */
ClaimResult mayHaveRunResult(QueryReason reason);

} // namespace greengagestair
