#include "core/ledger/LedgerUpdate.h"

#include <utility>

namespace greengagestair {

/** Buckets above this size take no new entries. The space between this and the platform's limit of
 * 1 MB is reserved for the results of the claims that are already in the bucket. */
static constexpr std::size_t kMaxBucketBytesForNewEntries = 900'000;
/** The platform's limit on the size of a value. */
static constexpr std::size_t kMaxValueBytes = 1'000'000;

/** A longer result is omitted; its request is still recorded as done. */
static constexpr std::size_t kMaxResultBytes = 4096;

ClaimResult makeClaimResult(ClaimResult::Verdict verdict, QueryReason reason)
{
    ClaimResult result;
    result.verdict = verdict;
    result.reason = reason;
    return result;
}

ClaimResult notRunResult(QueryReason reason)
{
    return makeClaimResult(ClaimResult::Verdict::NotRun, reason);
}

ClaimResult mayHaveRunResult(QueryReason reason)
{
    return makeClaimResult(ClaimResult::Verdict::MayHaveRun, reason);
}

/** The result of a request that was recorded as done. */
static ClaimResult recordedResult(const LedgerEntry &entry)
{
    if (entry.resultOmitted)
        return mayHaveRunResult(QueryReason::ClaimedElsewhere);
    ClaimResult result;
    result.verdict = ClaimResult::Verdict::Done;
    result.snapshot = entry.snapshot;
    result.body = entry.body;
    return result;
}

static LedgerEntry makeEntry(const StepContext &context, const IdempotencyKey &key,
                             LedgerState state, const ClaimToken &token)
{
    LedgerEntry entry;
    entry.key = key;
    entry.state = state;
    entry.token = token;
    entry.time = context.instant.wall;
    return entry;
}

static bool applyClaim(StepContext &context, LedgerUpdate &update, LedgerBucket &content)
{
    const IdempotencyKey &key = update.request.second;
    const LedgerEntry *entry = content.find(key);
    ClaimResult &result = update.pendingOutcome->result;
    if (!entry && content.maxSerializedBytes() > kMaxBucketBytesForNewEntries) {
        result = notRunResult(QueryReason::Overloaded);
        return false;
    }
    if (!entry || entry->state == LedgerState::Released) {
        content.put(makeEntry(context, key, LedgerState::Claimed, update.token));
        result = makeClaimResult(ClaimResult::Verdict::Claimed, QueryReason::None);
        return true;
    }
    if (entry->state == LedgerState::Done)
        result = recordedResult(*entry);
    else if (entry->state == LedgerState::NotRun)
        result = notRunResult(QueryReason::None);
    else if (entry->token == update.token)
        result = makeClaimResult(ClaimResult::Verdict::Claimed, QueryReason::None);
    else
        result = mayHaveRunResult(QueryReason::ClaimedElsewhere);
    return false;
}

/**
 * Releases a claim that may or may not have been written. If the claim is not in the bucket, an
 * entry is written anyway: this raises the revision of the bucket, so that a delayed write of
 * the claim fails with a conflict.
 */
static bool applyAbandon(StepContext &context, LedgerUpdate &update, LedgerBucket &content)
{
    const IdempotencyKey &key = update.request.second;
    const LedgerEntry *entry = content.find(key);
    const bool own = entry && entry->token == update.token;
    const bool released = entry && entry->state == LedgerState::Released;
    const bool ownClaim = own && entry->state == LedgerState::Claimed;
    const bool claimMayStillArrive = !entry || (released && !own);
    if (!ownClaim && !claimMayStillArrive)
        return false;
    content.put(makeEntry(context, key, LedgerState::Released, update.token));
    return true;
}

static bool applyRecordResult(StepContext &context, LedgerUpdate &update, LedgerBucket &content)
{
    const IdempotencyKey &key = update.request.second;
    const LedgerEntry *entry = content.find(key);
    const bool own = !entry || entry->token.sameProcess(update.token);
    const bool done = entry && entry->state == LedgerState::Done;
    const bool claimed = !entry || entry->state == LedgerState::Claimed;
    update.pendingOutcome->recorded = own && (done || claimed);
    if (!own || !claimed)
        return false;
    LedgerEntry finished = makeEntry(context, key, LedgerState::Done, update.token);
    finished.snapshot = update.snapshot;
    finished.body = update.body;
    const std::size_t bytes = content.maxSerializedBytes() + LedgerBucket::maxEntryBytes(finished);
    if (finished.body.size() > kMaxResultBytes || bytes > kMaxValueBytes) {
        finished.body.clear();
        finished.resultOmitted = true;
        context.counters.add("ledger_results_omitted_total");
    }
    content.put(std::move(finished));
    return true;
}

static bool applyRelease(StepContext &context, LedgerUpdate &update, LedgerBucket &content)
{
    const IdempotencyKey &key = update.request.second;
    const LedgerEntry *entry = content.find(key);
    const bool ownClaim =
            entry && entry->state == LedgerState::Claimed && entry->token.sameProcess(update.token);
    if (!ownClaim)
        return false;
    content.put(makeEntry(context, key, LedgerState::Released, entry->token));
    return true;
}

static bool applyFindOutcome(StepContext &context, LedgerUpdate &update, LedgerBucket &content)
{
    const IdempotencyKey &key = update.request.second;
    const LedgerEntry *entry = content.find(key);
    ClaimResult &result = update.pendingOutcome->result;
    if (entry && entry->state == LedgerState::Claimed) {
        result = mayHaveRunResult(QueryReason::ClaimedElsewhere);
        return false;
    }
    if (entry && entry->state == LedgerState::Done) {
        result = recordedResult(*entry);
        return false;
    }
    if (!entry && content.maxSerializedBytes() > kMaxBucketBytesForNewEntries) {
        result = mayHaveRunResult(QueryReason::Overloaded);
        return false;
    }
    result = notRunResult(QueryReason::None);
    if (entry && entry->state == LedgerState::NotRun)
        return false;
    content.put(makeEntry(context, key, LedgerState::NotRun, update.token));
    return true;
}

bool applyUpdate(StepContext &context, LedgerUpdate &update, LedgerBucket &content)
{
    update.pendingOutcome = LedgerUpdate::PendingOutcome { ClaimResult(), false };
    switch (update.kind) {
    case LedgerUpdate::Kind::Claim:
        return applyClaim(context, update, content);
    case LedgerUpdate::Kind::Abandon:
        return applyAbandon(context, update, content);
    case LedgerUpdate::Kind::RecordResult:
        return applyRecordResult(context, update, content);
    case LedgerUpdate::Kind::Release:
        return applyRelease(context, update, content);
    case LedgerUpdate::Kind::FindOutcome:
        return applyFindOutcome(context, update, content);
    }
    return false;
}

} // namespace greengagestair
