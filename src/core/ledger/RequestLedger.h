#pragma once

#include "core/Interfaces.h"
#include "core/ledger/LedgerUpdate.h"
#include "greengagestair/Reducer.h"

#include <boost/json/fwd.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace greengagestair {

/**
 * Ensures that a non-repeatable request, one that must not be executed twice, runs at most once
 * across all entry hosts. It records each such request in the platform's key-value store. The query
 * engine calls the ledger before and after it runs such a request.
 *
 * The records are grouped in buckets. Each bucket is one value in the platform, which is changed by
 * compare-and-swap. Updates of a bucket that arrive while it is being written are combined in its
 * next write.
 *
 * After a conflict or a lost answer, the bucket is read and all its updates are applied again,
 * until a write is confirmed. A claim is confirmed if the content that was read contains its token.
 *
 * Handlers may be called before the function to which they were passed returns.
 */
class RequestLedger : public RequestClaims
{
public:
    /** The platform must outlive the ledger. */
    RequestLedger(const ReducerOptions &options, PlatformAccess &platform);

    /**
     * Claims a request. If this host is already claiming or running it, the handler is called when
     * that ends. The handler is called at the deadline at the latest.
     */
    void claim(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
               MonotonicTime deadline, ClaimHandler handler) override;
    /**
     * Records the result of a claimed request. If this is not confirmed by the deadline, the
     * handler is called with false and the write is retried in the background.
     */
    void recordResult(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                      IndexVersion snapshot, const std::string &body, MonotonicTime deadline,
                      RecordHandler handler) override;
    /**
     * Releases the claim of a request that was not sent. If other claims of the request are waiting
     * on this host, the first of them takes over.
     */
    void release(StepContext &context, const ServiceId &service,
                 const IdempotencyKey &key) override;
    /**
     * Finds out whether a request has run. If it has not, the ledger first records in the platform
     * that the request must never run, and only then calls the handler.
     */
    void findOutcome(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                     MonotonicTime deadline, ClaimHandler handler) override;

    /** Handles deadlines and starts platform calls whose retry delay has passed. */
    void onTick(StepContext &context);
    /** The time at which onTick() must next be called; kNever if nothing is scheduled. */
    MonotonicTime nextWakeUp() const { return m_nextWakeUp; }

    /** Whether no update is pending and no request waits for another with the same identifier. */
    bool idle() const;

    /** The current state for diagnostics. */
    boost::json::object dump(MonotonicTime now) const;

private:
    /**
     * A handler call that is delayed until the state of the ledger is consistent, because the
     * handler may call the ledger again.
     */
    using DeferredCall = std::function<void(StepContext &context)>;
    using DeferredCalls = std::vector<DeferredCall>;

    /** An update with the handler that waits for it. */
    struct Update : LedgerUpdate
    {
        ClaimHandler claimHandler;   ///< set for Claim and FindOutcome; empty once called
        RecordHandler recordHandler; ///< set for RecordResult; empty once called
        /** Latest time of the handler call. An update without a handler is dropped at this time. */
        MonotonicTime deadline;
        int failures = 0;          ///< number of failed platform calls
        bool inWrite = false;      ///< included in the write in progress
        bool maybeWritten = false; ///< included in an earlier write whose outcome is not known
    };

    /** A bucket that has pending updates or recently read content. */
    struct BucketState
    {
        PlatformKey key;
        std::deque<Update> updates;
        std::optional<LedgerBucket> content; ///< as last read from or written to the platform
        Revision revision;                   ///< newest revision seen in the platform
        MonotonicTime contentUpdatedAt;      ///< when `content` was last read or written
        LedgerBucket nextContent;            ///< content of the write in progress
        bool callInProgress = false; ///< whether a read or write of the bucket is in progress
        MonotonicTime retryAt;       ///< no platform call starts before this time
        MonotonicTime failedAt;      ///< time of the last failed call
        Duration retryDelay {};      ///< zero after a successful read
    };

    /** A request with the same identifier as one that is in progress on this host. */
    struct Waiter
    {
        MonotonicTime deadline;
        ClaimHandler handler;
    };

    /** A request that this host is claiming or running. */
    struct RequestInProgress
    {
        ClaimToken token;
        MonotonicTime deadline;
        std::vector<Waiter> waiters;
    };

    std::optional<ClaimResult> validateRequest(const StepContext &context,
                                               const IdempotencyKey &key,
                                               MonotonicTime deadline) const;
    BucketState &enqueueUpdate(Update update);
    Update makeClaimUpdate(const RequestKey &request, MonotonicTime deadline, ClaimHandler handler);

    void startNextCall(StepContext &context, BucketState &bucket);
    void startRead(StepContext &context, BucketState &bucket);
    void applyUpdates(StepContext &context, BucketState &bucket);
    void startWrite(StepContext &context, BucketState &bucket);
    void onReadFinished(StepContext &context, BucketState &bucket,
                        const PlatformFinished &finished);
    void onWriteFinished(StepContext &context, BucketState &bucket,
                         const PlatformFinished &finished);
    bool storeReadContent(StepContext &context, BucketState &bucket,
                          const PlatformFinished &finished);
    void onCallFailed(StepContext &context, BucketState &bucket, DeferredCalls &deferredCalls);
    void refuseAll(BucketState &bucket, QueryReason reason, DeferredCalls &deferredCalls);

    void completeUpdates(StepContext &context, BucketState &bucket, DeferredCalls &deferredCalls);
    void completeUpdate(StepContext &context, Update &update, DeferredCalls &deferredCalls);
    void finishRequest(const RequestKey &request, const ClaimResult &result,
                       DeferredCalls &deferredCalls);

    void expire(StepContext &context, DeferredCalls &deferredCalls);
    void expireUpdates(StepContext &context, BucketState &bucket, DeferredCalls &deferredCalls);
    bool expireUpdate(StepContext &context, Update &update, DeferredCalls &deferredCalls);
    void refuseClaim(Update &update, QueryReason reason, DeferredCalls &deferredCalls);
    bool abandonClaim(StepContext &context, Update &update);
    void expireRequests(MonotonicTime now, DeferredCalls &deferredCalls);
    void removeUnusedBuckets(MonotonicTime now);
    void updateNextWakeUp();
    void wakeUpAt(MonotonicTime time);

    ClaimToken m_processToken; ///< identifies this process; its counter is zero
    MechanismSwitches m_mechanisms;
    PlatformAccess &m_platform;
    std::uint64_t m_lastClaimCounter = 0;
    std::map<PlatformKey, BucketState> m_buckets;
    std::map<RequestKey, RequestInProgress> m_inProgress;
    MonotonicTime m_nextWakeUp = kNever;
};

} // namespace greengagestair
