#include "core/ledger/RequestLedger.h"

#include "core/Assert.h"
#include "core/ledger/LedgerIdentifier.h"

#include <boost/json/object.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace leaf = boost::leaf;

namespace greengagestair {

/** The platform answers in milliseconds; a longer wait is an outage. */
static constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);

/** Pause after a failed call; doubled after each further one while nobody waits for an answer. */
static constexpr Duration kRetryPause = std::chrono::milliseconds(100);

/** Bounds what an outage costs the platform: each host may have updates for many buckets. */
static constexpr Duration kMaxRetryPause = std::chrono::seconds(5);

/** A claim or outcome query is refused after this many failed calls, before its deadline. */
static constexpr int kFailuresBeforeRefusal = 3;

/** Content seen this recently is written on without reading again. Hosts share the buckets: after a
 * longer time, the write would mostly meet a conflict. */
static constexpr Duration kContentFreshness = std::chrono::milliseconds(100);

/** How long results and releases are still tried after their caller was answered. */
static constexpr Duration kBackgroundTime = std::chrono::minutes(5);

/** Bound on updates and waiting requests of this host; further claims are refused. */
static constexpr std::size_t kMaxPending = 4096;

RequestLedger::RequestLedger(const ReducerOptions &options, PlatformAccess &platform)
    : m_process { options.host, options.incarnation, 0 }
    , m_mechanisms(options.mechanisms)
    , m_platform(platform)
{
}

// Requests of the query engine

std::optional<ClaimResult> RequestLedger::refusal(const StepContext &context,
                                                  const IdempotencyKey &key,
                                                  MonotonicTime deadline) const
{
    const auto issued = issueTime(key);
    if (!issued)
        return notRun(QueryReason::BadRequest);
    if (*issued < context.instant.wall - kLedgerRetention)
        return mayHaveRun(QueryReason::IdentifierExpired);
    if (*issued > context.instant.wall + kLedgerFutureMargin)
        return notRun(QueryReason::IdentifierInFuture);
    if (deadline <= context.now())
        return mayHaveRun(QueryReason::DeadlinePassed);
    std::size_t pending = m_inProgress.size();
    for (const auto &[bucketKey, bucket] : m_buckets)
        pending += bucket.updates.size();
    if (pending >= kMaxPending)
        return mayHaveRun(QueryReason::Overloaded);
    return std::nullopt;
}

void RequestLedger::claim(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                          MonotonicTime deadline, ClaimHandler handler)
{
    if (!m_mechanisms.ledgerClaims) {
        handler(context, resultOf(ClaimResult::Verdict::Claimed, QueryReason::None));
        return;
    }
    if (const auto refused = refusal(context, key, deadline)) {
        handler(context, *refused);
        return;
    }
    const RequestName request { service, key };
    const auto running = m_inProgress.find(request);
    if (running != m_inProgress.end()) {
        running->second.waiters.push_back({ deadline, std::move(handler) });
        wakeUpAt(deadline);
        return;
    }
    advance(context, addUpdate(claimUpdate(request, deadline, std::move(handler))));
}

RequestLedger::Update RequestLedger::claimUpdate(const RequestName &request, MonotonicTime deadline,
                                                 ClaimHandler handler)
{
    Update update;
    update.kind = LedgerUpdate::Kind::Claim;
    update.request = request;
    update.token = m_process;
    update.token.counter = ++m_lastCounter;
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
    update.kind = LedgerUpdate::Kind::RecordDone;
    update.request = { service, key };
    update.token = m_process;
    update.snapshot = snapshot;
    update.body = body;
    update.deadline = deadline;
    update.recordHandler = std::move(handler);
    const auto running = m_inProgress.find(update.request);
    if (running != m_inProgress.end()) {
        update.token = running->second.token;
        running->second.deadline = deadline;
    }
    advance(context, addUpdate(std::move(update)));
}

void RequestLedger::release(StepContext &context, const ServiceId &service,
                            const IdempotencyKey &key)
{
    if (!m_mechanisms.ledgerClaims)
        return;
    Update update;
    update.kind = LedgerUpdate::Kind::Release;
    update.request = { service, key };
    update.token = m_process;
    update.deadline = context.now() + kBackgroundTime;
    std::vector<Waiter> waiters;
    const auto running = m_inProgress.find(update.request);
    if (running != m_inProgress.end()) {
        update.token = running->second.token;
        waiters = std::move(running->second.waiters);
        m_inProgress.erase(running);
    }
    const RequestName request = update.request;
    BucketWork &bucket = addUpdate(std::move(update));
    if (!waiters.empty()) {
        // The first one that waited takes over; it is applied after the release.
        Waiter first = std::move(waiters.front());
        waiters.erase(waiters.begin());
        addUpdate(claimUpdate(request, first.deadline, std::move(first.handler)));
        m_inProgress.at(request).waiters = std::move(waiters);
    }
    advance(context, bucket);
}

void RequestLedger::findOutcome(StepContext &context, const ServiceId &service,
                                const IdempotencyKey &key, MonotonicTime deadline,
                                ClaimHandler handler)
{
    const RequestName request { service, key };
    if (auto refused = refusal(context, key, deadline)) {
        // Nothing is known of the request; a host whose clock is ahead may have run it.
        if (refused->reason != QueryReason::BadRequest)
            refused->verdict = ClaimResult::Verdict::MayHaveRun;
        handler(context, *refused);
        return;
    }
    if (m_inProgress.contains(request)) {
        handler(context, mayHaveRun(QueryReason::ClaimedElsewhere));
        return;
    }
    Update update;
    update.kind = LedgerUpdate::Kind::FindOutcome;
    update.request = request;
    update.token = m_process;
    update.deadline = deadline;
    update.claimHandler = std::move(handler);
    advance(context, addUpdate(std::move(update)));
}

RequestLedger::BucketWork &RequestLedger::addUpdate(Update update)
{
    const auto &[service, identifier] = update.request;
    const PlatformKey key = ledgerBucketKey(service, identifier);
    BucketWork &bucket = m_buckets[key];
    bucket.key = key;
    bucket.retryAt = std::min(bucket.retryAt, bucket.failedAt + kRetryPause);
    wakeUpAt(update.deadline);
    bucket.updates.push_back(std::move(update));
    return bucket;
}

// Calls to the platform

/** Starts the next call for a bucket if none is under way and an update needs one. */
void RequestLedger::advance(StepContext &context, BucketWork &bucket)
{
    if (bucket.busy || bucket.updates.empty())
        return;
    if (context.now() < bucket.retryAt) {
        wakeUpAt(bucket.retryAt);
        return;
    }
    if (bucket.content && context.now() - bucket.seenAt <= kContentFreshness)
        applyUpdates(context, bucket);
    else
        read(context, bucket);
}

void RequestLedger::read(StepContext &context, BucketWork &bucket)
{
    bucket.busy = true;
    bucket.content.reset();
    m_platform.call(context, ReadKey { bucket.key }, kCallTimeout,
                    [this, &bucket](StepContext &later, const PlatformFinished &finished) {
                        readFinished(later, bucket, finished);
                    });
}

void RequestLedger::readFinished(StepContext &context, BucketWork &bucket,
                                 const PlatformFinished &finished)
{
    Answers answers;
    bucket.busy = false;
    expire(context, answers);
    if (!takeContent(context, bucket, finished))
        callFailed(context, bucket, answers);
    advance(context, bucket);
    for (const Answer &answer : answers)
        answer(context);
}

/** False if the read gave no content. */
bool RequestLedger::takeContent(StepContext &context, BucketWork &bucket,
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
                bucket.seenAt = context.now();
                bucket.retryPause = {};
                return true;
            },
            [&](const MalformedLedgerBucket &) { return malformed(); },
            [&] { return malformed(); });
}

/** Applies all updates to the content and writes it, or settles them if nothing changes. */
void RequestLedger::applyUpdates(StepContext &context, BucketWork &bucket)
{
    bucket.next = *bucket.content;
    bucket.next.dropExpired(context.instant.wall);
    bool changed = false;
    for (Update &update : bucket.updates) {
        const bool changedByThis = applyUpdate(context, update, bucket.next);
        changed = changed || changedByThis;
    }
    if (changed) {
        write(context, bucket);
        return;
    }
    Answers answers;
    settle(context, bucket, answers);
    for (const Answer &answer : answers)
        answer(context);
}

void RequestLedger::write(StepContext &context, BucketWork &bucket)
{
    bucket.busy = true;
    for (Update &update : bucket.updates)
        update.inWrite = true;
    context.counters.add("ledger_writes_total");
    m_platform.call(context, WriteKey { bucket.key, bucket.revision, bucket.next.serialize() },
                    kCallTimeout,
                    [this, &bucket](StepContext &later, const PlatformFinished &finished) {
                        writeFinished(later, bucket, finished);
                    });
}

void RequestLedger::writeFinished(StepContext &context, BucketWork &bucket,
                                  const PlatformFinished &finished)
{
    Answers answers;
    expire(context, answers);
    bucket.busy = false;
    const auto *failure = std::get_if<PlatformFailure>(&finished.result);
    const auto *accepted = std::get_if<WriteAccepted>(&finished.result);
    const auto *conflict = std::get_if<RevisionConflict>(&finished.result);
    const bool unknown = !accepted && !conflict && (!failure || failure->sent);
    for (Update &update : bucket.updates) {
        update.maybeWritten = update.maybeWritten || (update.inWrite && unknown);
        update.inWrite = false;
        if (!accepted)
            update.settlement.reset();
    }
    if (accepted) {
        bucket.revision = accepted->revision;
        bucket.content = std::move(bucket.next);
        bucket.seenAt = context.now();
        settle(context, bucket, answers);
    } else {
        bucket.content.reset();
        context.counters.add(conflict ? "ledger_conflicts_total" : "ledger_failed_writes_total");
        if (conflict)
            bucket.revision = std::max(bucket.revision, conflict->current);
        else
            callFailed(context, bucket, answers);
    }
    advance(context, bucket);
    for (const Answer &answer : answers)
        answer(context);
}

/** Pauses the bucket and refuses the claims that have failed too often. */
void RequestLedger::callFailed(StepContext &context, BucketWork &bucket, Answers &answers)
{
    bucket.retryPause = std::clamp(bucket.retryPause * 2, kRetryPause, kMaxRetryPause);
    bucket.failedAt = context.now();
    std::deque<Update> kept;
    for (Update &update : bucket.updates) {
        ++update.failures;
        const bool refused = update.claimHandler && update.failures >= kFailuresBeforeRefusal;
        if (!refused || expireUpdate(context, update, answers))
            kept.push_back(std::move(update));
    }
    bucket.updates = std::move(kept);
    const bool awaited =
            std::any_of(bucket.updates.begin(), bucket.updates.end(), [](const Update &update) {
                return update.claimHandler || update.recordHandler;
            });
    bucket.retryAt = context.now() + (awaited ? kRetryPause : bucket.retryPause);
    wakeUpAt(bucket.retryAt);
}

// Ends of updates

/** Takes out the updates whose settlement is in the platform. */
void RequestLedger::settle(StepContext &context, BucketWork &bucket, Answers &answers)
{
    std::deque<Update> kept;
    for (Update &update : bucket.updates) {
        if (update.settlement)
            settleUpdate(context, update, answers);
        else
            kept.push_back(std::move(update));
    }
    bucket.updates = std::move(kept);
}

void RequestLedger::settleUpdate(StepContext &context, Update &update, Answers &answers)
{
    const ClaimResult &result = update.settlement->result;
    const bool claimed = result.verdict == ClaimResult::Verdict::Claimed;
    if (update.claimHandler) {
        if (update.kind == LedgerUpdate::Kind::Claim)
            context.counters.add(claimed ? "ledger_claims_total" : "ledger_claims_refused_total");
        answers.push_back([handler = std::move(update.claimHandler), result](StepContext &later) {
            handler(later, result);
        });
    }
    if (update.kind == LedgerUpdate::Kind::Claim && !claimed)
        endProgress(update.request, result, answers);
    if (update.kind != LedgerUpdate::Kind::RecordDone)
        return;
    const bool recorded = update.settlement->recorded;
    if (!recorded)
        context.counters.add("ledger_records_refused_total");
    if (!update.recordHandler)
        return;
    answers.push_back([handler = std::move(update.recordHandler), recorded](StepContext &later) {
        handler(later, recorded);
    });
    ClaimResult done;
    done.verdict = ClaimResult::Verdict::Done;
    done.snapshot = update.snapshot;
    done.body = std::move(update.body);
    endProgress(update.request, recorded ? done : mayHaveRun(QueryReason::ClaimedElsewhere),
                answers);
}

/** Ends the request in progress and answers the ones that waited for it. */
void RequestLedger::endProgress(const RequestName &request, const ClaimResult &result,
                                Answers &answers)
{
    const auto running = m_inProgress.find(request);
    if (running == m_inProgress.end())
        return;
    for (Waiter &waiter : running->second.waiters)
        answers.push_back([handler = std::move(waiter.handler), result](StepContext &later) {
            handler(later, result);
        });
    m_inProgress.erase(running);
}

// Deadlines

void RequestLedger::onTick(StepContext &context)
{
    if (context.now() < m_nextWakeUp)
        return;
    Answers answers;
    expire(context, answers);
    for (auto &[key, bucket] : m_buckets)
        advance(context, bucket);
    for (const Answer &answer : answers)
        answer(context);
    dropUnused(context.now());
    findNextWakeUp();
}

void RequestLedger::expire(StepContext &context, Answers &answers)
{
    for (auto &[key, bucket] : m_buckets)
        expireUpdates(context, bucket, answers);
    expireProgress(context.now(), answers);
}

void RequestLedger::expireUpdates(StepContext &context, BucketWork &bucket, Answers &answers)
{
    std::deque<Update> kept;
    for (Update &update : bucket.updates) {
        if (update.deadline > context.now() || expireUpdate(context, update, answers))
            kept.push_back(std::move(update));
    }
    bucket.updates = std::move(kept);
}

/** Answers an update that did not succeed; false if nothing is left to do for it. */
bool RequestLedger::expireUpdate(StepContext &context, Update &update, Answers &answers)
{
    const QueryReason reason =
            update.failures > 0 ? QueryReason::PlatformUnavailable : QueryReason::DeadlinePassed;
    if (update.kind == LedgerUpdate::Kind::Claim) {
        refuseClaim(update, reason, answers);
        return abandon(context, update);
    }
    if (update.kind == LedgerUpdate::Kind::FindOutcome) {
        answers.push_back([handler = std::move(update.claimHandler), reason](StepContext &later) {
            handler(later, mayHaveRun(reason));
        });
        return false;
    }
    if (update.kind != LedgerUpdate::Kind::RecordDone || !update.recordHandler) {
        context.counters.add("ledger_updates_given_up_total");
        return false;
    }
    answers.push_back([handler = std::exchange(update.recordHandler, nullptr)](StepContext &later) {
        handler(later, false);
    });
    endProgress(update.request, mayHaveRun(QueryReason::ClaimedElsewhere), answers);
    update.deadline = context.now() + kBackgroundTime;
    wakeUpAt(update.deadline);
    return true;
}

void RequestLedger::refuseClaim(Update &update, QueryReason reason, Answers &answers)
{
    // The claim is not confirmed: another attempt may have been claimed and run.
    const ClaimResult result = mayHaveRun(reason);
    answers.push_back([handler = std::exchange(update.claimHandler, nullptr),
                       result](StepContext &later) { handler(later, result); });
    endProgress(update.request, result, answers);
}

/** Turns a refused claim into its release if it may be in the platform; false if it is not. */
bool RequestLedger::abandon(StepContext &context, Update &update)
{
    const bool mayExist = update.maybeWritten || update.inWrite;
    if (!mayExist || !m_mechanisms.refusalProof)
        return false;
    context.counters.add("ledger_abandoned_claims_total");
    update.kind = LedgerUpdate::Kind::Abandon;
    update.settlement.reset();
    update.deadline = context.now() + kBackgroundTime;
    wakeUpAt(update.deadline);
    return true;
}

void RequestLedger::expireProgress(MonotonicTime now, Answers &answers)
{
    std::vector<RequestName> ended;
    for (auto &[request, running] : m_inProgress) {
        if (running.deadline <= now)
            ended.push_back(request);
        std::vector<Waiter> kept;
        for (Waiter &waiter : running.waiters) {
            if (waiter.deadline > now) {
                kept.push_back(std::move(waiter));
                continue;
            }
            answers.push_back([handler = std::move(waiter.handler)](StepContext &later) {
                handler(later, mayHaveRun(QueryReason::DeadlinePassed));
            });
        }
        running.waiters = std::move(kept);
    }
    // Neither recorded nor released in time: its end is not known.
    for (const RequestName &request : ended)
        endProgress(request, mayHaveRun(QueryReason::ClaimedElsewhere), answers);
}

void RequestLedger::dropUnused(MonotonicTime now)
{
    std::erase_if(m_buckets, [now](const auto &item) {
        const BucketWork &bucket = item.second;
        const bool stale = now - bucket.seenAt > kContentFreshness;
        return !bucket.busy && bucket.updates.empty() && (!bucket.content || stale);
    });
}

void RequestLedger::wakeUpAt(MonotonicTime time)
{
    m_nextWakeUp = std::min(m_nextWakeUp, time);
}

void RequestLedger::findNextWakeUp()
{
    m_nextWakeUp = kNever;
    for (const auto &[key, bucket] : m_buckets) {
        for (const Update &update : bucket.updates)
            wakeUpAt(update.deadline);
        if (!bucket.busy && !bucket.updates.empty())
            wakeUpAt(bucket.retryAt);
        if (bucket.content && !bucket.busy && bucket.updates.empty())
            wakeUpAt(bucket.seenAt + kContentFreshness + Duration(1));
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
        calls += bucket.busy ? 1 : 0;
        cachedBytes += bucket.content ? bucket.content->bytes() : 0;
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
