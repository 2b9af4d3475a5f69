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
    using Answer = std::function<void(StepContext &context)>;
    using Answers = std::vector<Answer>;

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
    struct BucketWork
    {
        PlatformKey key;
        std::deque<Update> updates;
        std::optional<LedgerBucket> content; ///< as last seen in the platform
        Revision revision;                   ///< newest one seen
        MonotonicTime seenAt;
        LedgerBucket next; ///< content of the write under way
        bool busy = false; ///< a call to the platform is under way
        MonotonicTime retryAt;
        MonotonicTime failedAt; ///< of the last failed call
        Duration retryPause {};
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

    std::optional<ClaimResult> refusal(const StepContext &context, const IdempotencyKey &key,
                                       MonotonicTime deadline) const;
    BucketWork &addUpdate(Update update);
    Update claimUpdate(const RequestName &request, MonotonicTime deadline, ClaimHandler handler);

    void advance(StepContext &context, BucketWork &bucket);
    void read(StepContext &context, BucketWork &bucket);
    void applyUpdates(StepContext &context, BucketWork &bucket);
    void write(StepContext &context, BucketWork &bucket);
    void readFinished(StepContext &context, BucketWork &bucket, const PlatformFinished &finished);
    void writeFinished(StepContext &context, BucketWork &bucket, const PlatformFinished &finished);
    bool takeContent(StepContext &context, BucketWork &bucket, const PlatformFinished &finished);
    void callFailed(StepContext &context, BucketWork &bucket, Answers &answers);
    void refuseAll(BucketWork &bucket, QueryReason reason, Answers &answers);

    void settle(StepContext &context, BucketWork &bucket, Answers &answers);
    void settleUpdate(StepContext &context, Update &update, Answers &answers);
    void endProgress(const RequestName &request, const ClaimResult &result, Answers &answers);

    void expire(StepContext &context, Answers &answers);
    void expireUpdates(StepContext &context, BucketWork &bucket, Answers &answers);
    bool expireUpdate(StepContext &context, Update &update, Answers &answers);
    void refuseClaim(Update &update, QueryReason reason, Answers &answers);
    bool abandon(StepContext &context, Update &update);
    void expireProgress(MonotonicTime now, Answers &answers);
    void dropUnused(MonotonicTime now);
    void findNextWakeUp();
    void wakeUpAt(MonotonicTime time);

    ClaimToken m_process; ///< of this process, without a counter
    MechanismSwitches m_mechanisms;
    PlatformAccess &m_platform;
    std::uint64_t m_lastCounter = 0;
    std::map<PlatformKey, BucketWork> m_buckets;
    std::map<RequestName, RequestInProgress> m_inProgress;
    MonotonicTime m_nextWakeUp = kNever;
};

} // namespace greengagestair
