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
 * Records of non-repeatable requests in the platform: one value per bucket, changed by
 * compare-and-swap. Updates of a bucket that arrive while a write of it is under way go into the
 * next write together.
 *
 * An update is applied to the content as it is in the platform, as often as needed until a write is
 * confirmed, so that lost answers and conflicts have one treatment: read again and apply again. A
 * claim that finds its own token is confirmed.
 *
 * Handlers may be called before the function that takes them returns.
 */
class RequestLedger : public RequestClaims
{
public:
    RequestLedger(const ReducerOptions &options, PlatformAccess &platform);

    void claim(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
               MonotonicTime deadline, ClaimHandler handler) override;
    void recordResult(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                      IndexVersion snapshot, const std::string &body, MonotonicTime deadline,
                      RecordHandler handler) override;
    void release(StepContext &context, const ServiceId &service,
                 const IdempotencyKey &key) override;
    void findOutcome(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                     MonotonicTime deadline, ClaimHandler handler) override;

    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const { return m_nextWakeUp; }

    /** Whether no update is under way and no request waits for another one. */
    bool idle() const;

    boost::json::object dump(MonotonicTime now) const;

private:
    /** A call of a handler that is made once the state is consistent again. */
    using DeferredCall = std::function<void(StepContext &context)>;
    using DeferredCalls = std::vector<DeferredCall>;

    /** An update with what waits for it. */
    struct Update : LedgerUpdate
    {
        ClaimHandler claimHandler;   ///< of Claim and FindOutcome; empty once called
        RecordHandler recordHandler; ///< of RecordDone; empty once called
        MonotonicTime deadline;      ///< of the handler; without one, the update is given up then
        int failures = 0;            ///< calls to the platform that failed
        bool inWrite = false;        ///< part of the write that is under way
        bool maybeWritten = false;   ///< part of a write whose outcome is not known
    };

    /** A bucket with updates, or one whose content is still fresh. */
    struct BucketState
    {
        PlatformKey key;
        std::deque<Update> updates;
        std::optional<LedgerBucket> content; ///< as last seen in the platform
        Revision revision;                   ///< newest one seen
        MonotonicTime contentUpdatedAt;
        LedgerBucket nextContent;    ///< content of the write under way
        bool callInProgress = false; ///< a call to the platform is under way
        MonotonicTime retryAt;
        MonotonicTime failedAt; ///< of the last failed call
        Duration retryDelay {};
    };

    /** A second request with the identifier of one in progress. */
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

    ClaimToken m_processToken; ///< of this process, without a counter
    MechanismSwitches m_mechanisms;
    PlatformAccess &m_platform;
    std::uint64_t m_lastCounter = 0;
    std::map<PlatformKey, BucketState> m_buckets;
    std::map<RequestKey, RequestInProgress> m_inProgress;
    MonotonicTime m_nextWakeUp = kNever;
};

} // namespace greengagestair
