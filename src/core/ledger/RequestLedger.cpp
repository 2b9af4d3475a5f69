#include "core/ledger/RequestLedger.h"

#include "core/Assert.h"
#include "core/ledger/LedgerIdentifier.h"

#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace greengagestair {

/** The platform normally answers within milliseconds; no answer for this long means an outage. */
static constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);

/** Delay after a failed call. It doubles with each further failure, except while a handler waits
 * for the bucket. */
static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

/** Limits the load of retries on the platform during an outage, when each host may have updates for
 * many buckets. */
static constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);

/** A claim or outcome query is refused after this number of failed platform calls, even if its
 * deadline has not passed. */
static constexpr int kFailuresBeforeRefusal = 3;

/** Content up to this age is updated without reading it again. Because all hosts share
 * the buckets, a write based on older content would mostly fail with a conflict. */
static constexpr Duration kMaxContentAge = std::chrono::milliseconds(100);

/** Results and releases are retried for this long after the caller was answered. */
static constexpr Duration kBackgroundUpdateTimeout = std::chrono::minutes(5);

/** Maximum number of pending updates and requests in progress on this host. Further claims and
 * outcome queries are refused. */
static constexpr std::size_t kMaxPendingRequests = 4096;

RequestLedger::RequestLedger(const ReducerOptions &options, PlatformAccess &platform)
    : m_processToken { options.host, options.incarnation, 0 }
    , m_mechanisms(options.mechanisms)
    , m_platform(platform)
{
}

// Calls from the query engine

std::optional<ClaimResult> RequestLedger::validateRequest(const StepContext &context,
                                                          const IdempotencyKey &key,
                                                          MonotonicTime deadline) const
{
    const auto issued = issueTime(key);
    if (!issued)
        return notRunResult(QueryReason::BadRequest);
    if (*issued < context.instant.wall - kLedgerRetention)
        return mayHaveRunResult(QueryReason::IdentifierExpired);
    if (*issued > context.instant.wall + kLedgerFutureMargin)
        return notRunResult(QueryReason::IdentifierInFuture);
    if (deadline <= context.now())
        return mayHaveRunResult(QueryReason::DeadlinePassed);
    std::size_t pending = m_inProgress.size();
    for (const auto &[bucketKey, bucket] : m_buckets)
        pending += bucket.updates.size();
    if (pending >= kMaxPendingRequests)
        return mayHaveRunResult(QueryReason::Overloaded);
    return std::nullopt;
}

void RequestLedger::claim(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                          MonotonicTime deadline, ClaimHandler handler)
{
    if (!m_mechanisms.ledgerClaims) {
        handler(context, makeClaimResult(ClaimResult::Verdict::Claimed, QueryReason::None));
        return;
    }
    if (const auto refused = validateRequest(context, key, deadline)) {
        handler(context, *refused);
        return;
    }
    const RequestKey request { service, key };
    const auto running = m_inProgress.find(request);
    if (running != m_inProgress.end()) {
        running->second.waiters.push_back({ deadline, std::move(handler) });
        wakeUpAt(deadline);
        return;
    }
    startNextCall(context, enqueueUpdate(makeClaimUpdate(request, deadline, std::move(handler))));
}

RequestLedger::Update RequestLedger::makeClaimUpdate(const RequestKey &request,
                                                     MonotonicTime deadline, ClaimHandler handler)
{
    Update update;
    update.kind = LedgerUpdate::Kind::Claim;
    update.request = request;
    update.token = m_processToken;
    update.token.counter = ++m_lastClaimCounter;
    update.deadline = deadline;
    update.claimHandler = std::move(handler);
    m_inProgress[request] = { update.token, deadline, {} };
    return update;
}

void RequestLedger::recordResult(StepContext &context, const ServiceId &service,
                                 const IdempotencyKey &key, IndexVersion snapshot,
                                 const std::string &body, MonotonicTime deadline,
                                 RecordHandler handler)
{
    if (!m_mechanisms.ledgerClaims) {
        handler(context, true);
        return;
    }
    Update update;
    update.kind = LedgerUpdate::Kind::RecordResult;
    update.request = { service, key };
    update.token = m_processToken;
    update.snapshot = snapshot;
    update.body = body;
    update.deadline = deadline;
    update.recordHandler = std::move(handler);
    const auto running = m_inProgress.find(update.request);
    if (running != m_inProgress.end()) {
        update.token = running->second.token;
        running->second.deadline = deadline;
    }
    startNextCall(context, enqueueUpdate(std::move(update)));
}

void RequestLedger::release(StepContext &context, const ServiceId &service,
                            const IdempotencyKey &key)
{
    if (!m_mechanisms.ledgerClaims)
        return;
    Update update;
    update.kind = LedgerUpdate::Kind::Release;
    update.request = { service, key };
    update.token = m_processToken;
    update.deadline = context.now() + kBackgroundUpdateTimeout;
    std::vector<Waiter> waiters;
    const auto running = m_inProgress.find(update.request);
    if (running != m_inProgress.end()) {
        update.token = running->second.token;
        waiters = std::move(running->second.waiters);
        m_inProgress.erase(running);
    }
    const RequestKey request = update.request;
    BucketState &bucket = enqueueUpdate(std::move(update));
    if (!waiters.empty()) {
        // The first waiting request claims the identifier; its claim is applied after the release.
        Waiter first = std::move(waiters.front());
        waiters.erase(waiters.begin());
        enqueueUpdate(makeClaimUpdate(request, first.deadline, std::move(first.handler)));
        m_inProgress.at(request).waiters = std::move(waiters);
    }
    startNextCall(context, bucket);
}

void RequestLedger::findOutcome(StepContext &context, const ServiceId &service,
                                const IdempotencyKey &key, MonotonicTime deadline,
                                ClaimHandler handler)
{
    const RequestKey request { service, key };
    if (auto refused = validateRequest(context, key, deadline)) {
        // The ledger was not read, and a host whose clock is ahead may have run the request.
        if (refused->reason != QueryReason::BadRequest)
            refused->verdict = ClaimResult::Verdict::MayHaveRun;
        handler(context, *refused);
        return;
    }
    if (m_inProgress.contains(request)) {
        handler(context, mayHaveRunResult(QueryReason::ClaimedElsewhere));
        return;
    }
    Update update;
    update.kind = LedgerUpdate::Kind::FindOutcome;
    update.request = request;
    update.token = m_processToken;
    update.deadline = deadline;
    update.claimHandler = std::move(handler);
    startNextCall(context, enqueueUpdate(std::move(update)));
}

RequestLedger::BucketState &RequestLedger::enqueueUpdate(Update update)
{
    const auto &[service, identifier] = update.request;
    const PlatformKey key = ledgerBucketKey(service, identifier);
    BucketState &bucket = m_buckets[key];
    bucket.key = key;
    bucket.retryAt = std::min(bucket.retryAt, bucket.failedAt + kRetryDelay);
    wakeUpAt(update.deadline);
    bucket.updates.push_back(std::move(update));
    return bucket;
}

// Platform calls

/** Starts the next platform call for a bucket with pending updates, unless one is in progress or
 * the retry delay has not passed. */
void RequestLedger::startNextCall(StepContext &context, BucketState &bucket)
{
    if (bucket.callInProgress || bucket.updates.empty())
        return;
    if (context.now() < bucket.retryAt) {
        wakeUpAt(bucket.retryAt);
        return;
    }
    if (bucket.content && context.now() - bucket.contentUpdatedAt <= kMaxContentAge)
        applyUpdates(context, bucket);
    else
        startRead(context, bucket);
}

void RequestLedger::startRead(StepContext &context, BucketState &bucket)
{
    bucket.callInProgress = true;
    bucket.content.reset();
    m_platform.call(context, ReadKey { bucket.key }, kCallTimeout,
                    [this, &bucket](StepContext &later, const PlatformFinished &finished) {
                        onReadFinished(later, bucket, finished);
                    });
}

void RequestLedger::onReadFinished(StepContext &context, BucketState &bucket,
                                   const PlatformFinished &finished)
{
    DeferredCalls deferredCalls;
    bucket.callInProgress = false;
    expire(context, deferredCalls);
    if (!storeReadContent(context, bucket, finished))
        onCallFailed(context, bucket, deferredCalls);
    startNextCall(context, bucket);
    for (const DeferredCall &deferredCall : deferredCalls)
        deferredCall(context);
}

/** Stores the content that was read; false if the read failed or returned unusable content. */
bool RequestLedger::storeReadContent(StepContext &context, BucketState &bucket,
                                     const PlatformFinished &finished)
{
    const auto *value = std::get_if<KeyValue>(&finished.result);
    const bool absent = std::holds_alternative<KeyAbsent>(finished.result);
    if (!value && !absent)
        return false;
    const Revision revision = value ? value->revision : Revision();
    if (revision < bucket.revision) {
        context.counters.add("ledger_stale_reads_total");
        return false;
    }
    const auto malformed = [&] {
        context.counters.add("ledger_malformed_buckets_total");
        return false;
    };
    return leaf::try_handle_all(
            [&]() -> leaf::result<bool> {
                LedgerBucket content;
                if (value) {
                    BOOST_LEAF_ASSIGN(content, LedgerBucket::parse(value->value));
                }
                bucket.content = std::move(content);
                bucket.revision = revision;
                bucket.contentUpdatedAt = context.now();
                bucket.retryDelay = {};
                return true;
            },
            [&](const MalformedLedgerBucket &) { return malformed(); },
            [&] { return malformed(); });
}

/** Applies all updates to the content and writes it, or completes them if nothing changed. */
void RequestLedger::applyUpdates(StepContext &context, BucketState &bucket)
{
    bucket.nextContent = *bucket.content;
    bucket.nextContent.dropExpired(context.instant.wall);
    bool changed = false;
    for (Update &update : bucket.updates) {
        const bool changedByUpdate = applyUpdate(context, update, bucket.nextContent);
        changed = changed || changedByUpdate;
    }
    if (changed) {
        startWrite(context, bucket);
        return;
    }
    DeferredCalls deferredCalls;
    completeUpdates(context, bucket, deferredCalls);
    for (const DeferredCall &deferredCall : deferredCalls)
        deferredCall(context);
}

void RequestLedger::startWrite(StepContext &context, BucketState &bucket)
{
    bucket.callInProgress = true;
    for (Update &update : bucket.updates)
        update.inWrite = true;
    context.counters.add("ledger_writes_total");
    m_platform.call(
            context, WriteKey { bucket.key, bucket.revision, bucket.nextContent.serialize() },
            kCallTimeout, [this, &bucket](StepContext &later, const PlatformFinished &finished) {
                onWriteFinished(later, bucket, finished);
            });
}

void RequestLedger::onWriteFinished(StepContext &context, BucketState &bucket,
                                    const PlatformFinished &finished)
{
    DeferredCalls deferredCalls;
    expire(context, deferredCalls);
    bucket.callInProgress = false;
    const auto *failure = std::get_if<PlatformFailure>(&finished.result);
    const auto *accepted = std::get_if<WriteAccepted>(&finished.result);
    const auto *conflict = std::get_if<RevisionConflict>(&finished.result);
    const bool outcomeUnknown = !accepted && !conflict && (!failure || failure->sent);
    for (Update &update : bucket.updates) {
        update.maybeWritten = update.maybeWritten || (update.inWrite && outcomeUnknown);
        update.inWrite = false;
        if (!accepted)
            update.pendingOutcome.reset();
    }
    if (accepted) {
        bucket.revision = accepted->revision;
        bucket.content = std::move(bucket.nextContent);
        bucket.contentUpdatedAt = context.now();
        completeUpdates(context, bucket, deferredCalls);
    } else {
        bucket.content.reset();
        context.counters.add(conflict ? "ledger_conflicts_total" : "ledger_failed_writes_total");
        if (conflict)
            bucket.revision = std::max(bucket.revision, conflict->current);
        else
            onCallFailed(context, bucket, deferredCalls);
    }
    startNextCall(context, bucket);
    for (const DeferredCall &deferredCall : deferredCalls)
        deferredCall(context);
}

/** Schedules a retry and refuses the claims and outcome queries that have failed too often. */
void RequestLedger::onCallFailed(StepContext &context, BucketState &bucket,
                                 DeferredCalls &deferredCalls)
{
    bucket.retryDelay = std::clamp(bucket.retryDelay * 2, kRetryDelay, kMaxRetryDelay);
    bucket.failedAt = context.now();
    std::deque<Update> kept;
    for (Update &update : bucket.updates) {
        ++update.failures;
        const bool refused = update.claimHandler && update.failures >= kFailuresBeforeRefusal;
        if (!refused || expireUpdate(context, update, deferredCalls))
            kept.push_back(std::move(update));
    }
    bucket.updates = std::move(kept);
    const bool hasWaitingHandler =
            std::any_of(bucket.updates.begin(), bucket.updates.end(), [](const Update &update) {
                return update.claimHandler || update.recordHandler;
            });
    bucket.retryAt = context.now() + (hasWaitingHandler ? kRetryDelay : bucket.retryDelay);
    wakeUpAt(bucket.retryAt);
}

// Completed updates

/** Removes the updates whose outcome is confirmed by the platform, and answers their callers. */
void RequestLedger::completeUpdates(StepContext &context, BucketState &bucket,
                                    DeferredCalls &deferredCalls)
{
    std::deque<Update> kept;
    for (Update &update : bucket.updates) {
        if (update.pendingOutcome)
            completeUpdate(context, update, deferredCalls);
        else
            kept.push_back(std::move(update));
    }
    bucket.updates = std::move(kept);
}

void RequestLedger::completeUpdate(StepContext &context, Update &update,
                                   DeferredCalls &deferredCalls)
{
    const ClaimResult &result = update.pendingOutcome->result;
    const bool claimed = result.verdict == ClaimResult::Verdict::Claimed;
    if (update.claimHandler) {
        if (update.kind == LedgerUpdate::Kind::Claim)
            context.counters.add(claimed ? "ledger_claims_total" : "ledger_claims_refused_total");
        deferredCalls.push_back([handler = std::move(update.claimHandler),
                                 result](StepContext &later) { handler(later, result); });
    }
    if (update.kind == LedgerUpdate::Kind::Claim && !claimed)
        finishRequest(update.request, result, deferredCalls);
    if (update.kind != LedgerUpdate::Kind::RecordResult)
        return;
    const bool recorded = update.pendingOutcome->recorded;
    if (!recorded)
        context.counters.add("ledger_records_refused_total");
    if (!update.recordHandler)
        return;
    deferredCalls.push_back([handler = std::move(update.recordHandler),
                             recorded](StepContext &later) { handler(later, recorded); });
    ClaimResult done;
    done.verdict = ClaimResult::Verdict::Done;
    done.snapshot = update.snapshot;
    done.body = std::move(update.body);
    finishRequest(update.request, recorded ? done : mayHaveRunResult(QueryReason::ClaimedElsewhere),
                  deferredCalls);
}

/** Removes a request in progress and answers the requests that waited for it. */
void RequestLedger::finishRequest(const RequestKey &request, const ClaimResult &result,
                                  DeferredCalls &deferredCalls)
{
    const auto running = m_inProgress.find(request);
    if (running == m_inProgress.end())
        return;
    for (Waiter &waiter : running->second.waiters)
        deferredCalls.push_back([handler = std::move(waiter.handler), result](StepContext &later) {
            handler(later, result);
        });
    m_inProgress.erase(running);
}

// Deadlines

void RequestLedger::onTick(StepContext &context)
{
    if (context.now() < m_nextWakeUp)
        return;
    DeferredCalls deferredCalls;
    expire(context, deferredCalls);
    for (auto &[key, bucket] : m_buckets)
        startNextCall(context, bucket);
    for (const DeferredCall &deferredCall : deferredCalls)
        deferredCall(context);
    removeUnusedBuckets(context.now());
    updateNextWakeUp();
}

void RequestLedger::expire(StepContext &context, DeferredCalls &deferredCalls)
{
    for (auto &[key, bucket] : m_buckets)
        expireUpdates(context, bucket, deferredCalls);
    expireRequests(context.now(), deferredCalls);
}

void RequestLedger::expireUpdates(StepContext &context, BucketState &bucket,
                                  DeferredCalls &deferredCalls)
{
    std::deque<Update> kept;
    for (Update &update : bucket.updates) {
        if (update.deadline > context.now() || expireUpdate(context, update, deferredCalls))
            kept.push_back(std::move(update));
    }
    bucket.updates = std::move(kept);
}

/** Answers the caller of an update that was not confirmed in time; false if the update can be
 * dropped. */
bool RequestLedger::expireUpdate(StepContext &context, Update &update, DeferredCalls &deferredCalls)
{
    const QueryReason reason =
            update.failures > 0 ? QueryReason::PlatformUnavailable : QueryReason::DeadlinePassed;
    if (update.kind == LedgerUpdate::Kind::Claim) {
        refuseClaim(update, reason, deferredCalls);
        return abandonClaim(context, update);
    }
    if (update.kind == LedgerUpdate::Kind::FindOutcome) {
        deferredCalls.push_back(
                [handler = std::move(update.claimHandler), reason](StepContext &later) {
                    handler(later, mayHaveRunResult(reason));
                });
        return false;
    }
    if (update.kind != LedgerUpdate::Kind::RecordResult || !update.recordHandler) {
        context.counters.add("ledger_updates_given_up_total");
        return false;
    }
    deferredCalls.push_back([handler = std::exchange(update.recordHandler, nullptr)](
                                    StepContext &later) { handler(later, false); });
    finishRequest(update.request, mayHaveRunResult(QueryReason::ClaimedElsewhere), deferredCalls);
    update.deadline = context.now() + kBackgroundUpdateTimeout;
    wakeUpAt(update.deadline);
    return true;
}

void RequestLedger::refuseClaim(Update &update, QueryReason reason, DeferredCalls &deferredCalls)
{
    // Without a confirmed claim, another request with this identifier may have run.
    const ClaimResult result = mayHaveRunResult(reason);
    deferredCalls.push_back([handler = std::exchange(update.claimHandler, nullptr),
                             result](StepContext &later) { handler(later, result); });
    finishRequest(update.request, result, deferredCalls);
}

/** Turns a refused claim into an Abandon update if it may have been written; false if nothing
 * needs to be released. */
bool RequestLedger::abandonClaim(StepContext &context, Update &update)
{
    const bool claimMayExist = update.maybeWritten || update.inWrite;
    if (!claimMayExist || !m_mechanisms.refusalProof)
        return false;
    context.counters.add("ledger_abandoned_claims_total");
    update.kind = LedgerUpdate::Kind::Abandon;
    update.pendingOutcome.reset();
    update.deadline = context.now() + kBackgroundUpdateTimeout;
    wakeUpAt(update.deadline);
    return true;
}

void RequestLedger::expireRequests(MonotonicTime now, DeferredCalls &deferredCalls)
{
    std::vector<RequestKey> ended;
    for (auto &[request, running] : m_inProgress) {
        if (running.deadline <= now)
            ended.push_back(request);
        std::vector<Waiter> kept;
        for (Waiter &waiter : running.waiters) {
            if (waiter.deadline > now) {
                kept.push_back(std::move(waiter));
                continue;
            }
            deferredCalls.push_back([handler = std::move(waiter.handler)](StepContext &later) {
                handler(later, mayHaveRunResult(QueryReason::DeadlinePassed));
            });
        }
        running.waiters = std::move(kept);
    }
    // These requests were neither recorded nor released in time, so their outcome is unknown.
    for (const RequestKey &request : ended)
        finishRequest(request, mayHaveRunResult(QueryReason::ClaimedElsewhere), deferredCalls);
}

void RequestLedger::removeUnusedBuckets(MonotonicTime now)
{
    std::erase_if(m_buckets, [now](const auto &item) {
        const BucketState &bucket = item.second;
        const bool stale = now - bucket.contentUpdatedAt > kMaxContentAge;
        return !bucket.callInProgress && bucket.updates.empty() && (!bucket.content || stale);
    });
}

void RequestLedger::wakeUpAt(MonotonicTime time)
{
    m_nextWakeUp = std::min(m_nextWakeUp, time);
}

void RequestLedger::updateNextWakeUp()
{
    m_nextWakeUp = kNever;
    for (const auto &[key, bucket] : m_buckets) {
        for (const Update &update : bucket.updates)
            wakeUpAt(update.deadline);
        if (!bucket.callInProgress && !bucket.updates.empty())
            wakeUpAt(bucket.retryAt);
        if (bucket.content && !bucket.callInProgress && bucket.updates.empty())
            wakeUpAt(bucket.contentUpdatedAt + kMaxContentAge + Duration(1));
    }
    for (const auto &[request, running] : m_inProgress) {
        wakeUpAt(running.deadline);
        for (const Waiter &waiter : running.waiters)
            wakeUpAt(waiter.deadline);
    }
}

bool RequestLedger::idle() const
{
    const bool noUpdates = std::all_of(m_buckets.begin(), m_buckets.end(), [](const auto &item) {
        return item.second.updates.empty();
    });
    const bool noWaiters =
            std::all_of(m_inProgress.begin(), m_inProgress.end(),
                        [](const auto &item) { return item.second.waiters.empty(); });
    return noUpdates && noWaiters;
}

boost::json::object RequestLedger::dump(MonotonicTime now) const
{
    std::size_t updates = 0;
    std::size_t calls = 0;
    std::size_t cachedBytes = 0;
    for (const auto &[key, bucket] : m_buckets) {
        updates += bucket.updates.size();
        calls += bucket.callInProgress ? 1 : 0;
        cachedBytes += bucket.content ? bucket.content->maxSerializedBytes() : 0;
    }
    boost::json::object object;
    object["requestsInProgress"] = m_inProgress.size();
    object["updates"] = updates;
    object["buckets"] = m_buckets.size();
    object["callsUnderWay"] = calls;
    object["cachedBytes"] = cachedBytes;
    const auto outageDuration =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_platform.outageDuration(now));
    object["platformSilenceMs"] = outageDuration.count();
    return object;
}

} // namespace greengagestair
