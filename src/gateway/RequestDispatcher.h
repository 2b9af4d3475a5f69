#pragma once

#include "core/CounterSet.h"
#include "core/query/PartTimeEstimator.h"
#include "gateway/BackendSelector.h"
#include "gateway/DomainReachability.h"
#include "gateway/EventRateLimit.h"
#include "gateway/Exchange.h"
#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/PartWaitQueue.h"
#include "gateway/RepeatBudget.h"
#include "gateway/RequestQuarantine.h"
#include "gateway/RestartDetector.h"
#include "gateway/quota/TenantQuotas.h"
#include "gateway/rollout/Rollouts.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace greengagestair {

/**
 * Manages the requests in progress: sends their parts to backend servers, retries and hedges them,
 * merges the answers and replies to the callers. Gateway calls it for each event. A request gets
 * exactly one reply, by its deadline at the latest, unless its caller disconnects before.
 */
class RequestDispatcher
{
public:
    RequestDispatcher(BackendSelector &selector, DomainReachability &reachability,
                      JointServerLimits &limits, TenantQuotas &quotas, RestartDetector &restarts,
                      SharedObservations &observations, Rollouts &rollouts,
                      const RepeatLimits &repeats);

    /** Sets this host's share of the limits on retries and hedges, for each service. */
    void setRepeatLimits(const RepeatLimits &limits);
    /** Sets the number of live entry hosts, which limits this host's reports to all of them. */
    void setHostCount(std::size_t hosts);
    /**
     * Sets the current time and the list to which effects are appended. The list has to stay
     * valid until the next call of beginStep().
     */
    void beginStep(MonotonicTime now, GatewayEffects &effects);

    /** Routes a new request and sends its parts, or refuses it. */
    void start(const RequestReceived &event,
               const std::shared_ptr<const RoutingConfiguration> &configuration);
    /** Sends or refuses the requests whose wait for a permit of their tenant's quota has ended. */
    void applyQuotaDecisions();
    /** Drops a request without a reply and releases its attempts. */
    void onCallerDisconnected(ExchangeId exchange);
    /**
     * Handles the result of an attempt and takes its answer. After a release, the result only
     * updates the load.
     */
    void endAttempt(AttemptEnded &event);
    /** Handles all timers that are due. */
    void advance();
    /** Records that another host lost a server while it ran a request with this signature. */
    void addReportedLoss(const HostId &reporter, const SignatureLoss &loss);
    /** The requests that crash servers, as far as this host knows. */
    RequestQuarantine &quarantine() { return m_quarantine; }
    const RequestQuarantine &quarantine() const { return m_quarantine; }
    /**
     * Gives the last reply at `time`, for the end of the process: requests in progress are replied
     * to by then, and new ones that would take longer are refused.
     */
    void stopAt(MonotonicTime time);
    /** Sends waiting parts that can be sent now, after servers were added or became usable. */
    void retryWaiting();
    /** True if parts of requests are still to be sent for the first time, by advance(). */
    bool hasUnsentParts() const { return !m_unsentParts.empty(); }
    /** Time at which advance() is due; nullopt if no timer is pending. */
    std::optional<MonotonicTime> nextWakeUp() const;

    /** The service that the next request on a route without gathering goes to. */
    const ServiceId &nextTarget(const GatewayRoute &route) const;
    /** True if the process probably ends before a new request on this route can be answered. */
    bool endsBeforeAnswer(const GatewayRoute &route, MonotonicTime now) const;
    /** Usual time of one part of a request on the route. */
    Duration typicalTime(const GatewayRoute &route) const;

    /** True if no request is in progress. */
    bool isIdle() const { return m_exchanges.empty(); }
    /** Number of requests in progress. */
    std::size_t exchanges() const { return m_exchanges.size(); }
    /** Number of attempts in progress, including released ones. */
    std::size_t attempts() const { return m_attempts.size(); }
    /** Counters for the metrics. */
    const CounterSet &counters() const { return m_counters; }
    /** This host's share of the limits on retries and hedges of each service. */
    const RepeatLimits &repeatLimits() const { return m_repeatLimits; }

private:
    /** A request that ends unanswered counts as a failure of the server after this time. */
    static constexpr Duration kMinUnansweredTime = std::chrono::milliseconds(250);
    /**
     * Part of the caller's waiting time that this host cannot measure: a new connection, the round
     * trip and queueing.
     */
    static constexpr Duration kCallerRoundTrip = std::chrono::milliseconds(14);

    /** What happens when a timer fires. */
    enum class TimerKind {
        Deadline,      ///< the request has to be answered
        PartialAnswer, ///< missing parts are no longer waited for
        Hedge,         ///< a part without an answer may be sent to a second server
        FirstSendDue   ///< a part that was not sent yet may be given up
    };
    struct Timer
    {
        TimerKind kind = TimerKind::Deadline;
        ExchangeId exchange;
        std::size_t part = 0;
        bool isPostponed = false; ///< was due before, while this host was behind
    };
    /** The request whose parts are sent next, in the order of urgency and arrival. */
    struct UnsentParts
    {
        int tenantRank = 0;
        int urgencyRank = 0;
        MonotonicTime arrivedAt;
        ExchangeId exchange;
        std::size_t firstPart = 0; ///< the parts before it were sent

        auto operator<=>(const UnsentParts &) const = default; // NOLINT(modernize-use-nullptr)
    };
    /** The part that an attempt belongs to; kept until the attempt ends, even after the reply. */
    struct AttemptRecord
    {
        ExchangeId exchange;
        std::size_t part = 0;
        std::shared_ptr<Backend> backend;
        MonotonicTime startedAt;
        bool isFirstAtServer = true; ///< no earlier attempt of the part went to this server
        std::shared_ptr<RequestLosses> losses; ///< of the attempt's request
        bool isReleased = false;               ///< this host may have closed the connection itself
        bool isObserved = false; ///< counted in the observations as slower than another server
        std::string judgedRoute; ///< set if the result counts for a roll-out of the service
    };

    /** Microseconds since `start` as text, for log lines. */
    std::string microsSince(MonotonicTime start) const;
    void addTimer(MonotonicTime at, const Timer &timer);
    void onTimer(const Timer &timer);
    /** True if the timer is handled again after the responses that wait to be read. */
    bool postpone(const Timer &timer, MonotonicTime dueAt);
    void onHedge(Exchange &exchange, std::size_t index);
    void onDeadline(Exchange &exchange);

    /** What became of the attempt to send a part. */
    enum class SendResult {
        Sent,
        Wait,    ///< possible later: no capacity, no repeat allowed, or all servers refused it
        Hopeless ///< no server is left that could answer it in time
    };

    bool addPart(Exchange &exchange, const ServiceId &service);
    /**
     * Refuses a request before any part is sent, if too many of its services have no server that
     * could answer. Returns true if the request was refused.
     */
    bool refuseIfUnservable(Exchange &exchange);
    /** Asks for admission by the quota; true if the request may be sent now. */
    bool admit(Exchange &exchange);
    void refuseOverQuota(Exchange &exchange, Duration retryAfter);
    /** Begins to send the parts of a request for the first time. */
    void sendParts(Exchange &exchange);
    /**
     * Sends the next parts for the first time, a few in each step: the effects of a step take time,
     * and the next parts are sent with the time at which they are.
     */
    void sendUnsentParts();
    const ServiceId &chooseTarget(const GatewayRoute &route);
    /** Servers that may get the part's next attempt. */
    ServerFilter filterFor(const Exchange &exchange, const Part &part);
    /** True if the part may wait for a server; otherwise it fails if it cannot be sent now. */
    static bool mayWait(const Exchange &exchange, const Part &part);
    /** True if the part's servers are usable, but only after pauses that end too late for it. */
    bool arePausesTooLong(const Exchange &exchange, const Part &part);
    /** Time by which the part has to be sent if it waits. */
    MonotonicTime latestSend(const Exchange &exchange, const Part &part);
    /** Time at which a request of which nothing was sent is given up. */
    static MonotonicTime firstSendLimit(const Exchange &exchange);
    /** Sends a part to the best server that may get it now. */
    SendResult trySend(Exchange &exchange, std::size_t index);
    /**
     * Takes a retry from the limit on repeats; false if it does not allow one. While hosts share
     * observations, a part of the limit is left to retries without which a request would lack
     * parts; the others only make an answer more complete.
     */
    bool takeRetry(const Exchange &exchange, std::size_t index);
    /**
     * True if the request has too few parts without this one, if all other parts whose attempts are
     * not late are answered.
     */
    bool isNeeded(const Exchange &exchange, std::size_t index);
    void send(Exchange &exchange, std::size_t index, const std::shared_ptr<Backend> &backend);
    /** Sends a part that has no attempt in progress, queues it or settles it. */
    void sendOrQueue(Exchange &exchange, std::size_t index);
    void queuePart(Exchange &exchange, std::size_t index);
    void stopWaiting(Part &part);
    /** Sends a waiting part; returns false if it has to wait on. */
    bool serveWaiting(const WaitingPart &waiting);
    /** Replies to the requests that lost a part while waiting parts were served. */
    void replyToGivenUp();
    void onFirstSendDue(Exchange &exchange, std::size_t index);
    /** Sends, queues or settles a part after a failure, unless another attempt is in progress. */
    void retryOrSettle(Exchange &exchange, std::size_t index);
    void onRefusal(Exchange &exchange, std::size_t index, const ServerId &server);
    void recordFailure(const AttemptRecord &record, AttemptId attempt, AttemptFailure failure);
    /** Passes the result of an attempt on to the observations that hosts share. */
    void recordObservation(const AttemptRecord &record, const AttemptResult &result);
    /** Counts the result for the roll-out of the server's service. */
    void recordVersionResult(const AttemptRecord &record, const AttemptResult &result);
    void recordLoad(const AttemptRecord &record, AttemptId attempt, const AttemptResult &result);
    void onAnswer(Exchange &exchange, std::size_t index, const AttemptRecord &record,
                  BackendAnswer answer);
    void onFailure(Exchange &exchange, std::size_t index, const AttemptRecord &record,
                   AttemptFailure failure);
    void acceptAnswer(Exchange &exchange, std::size_t index, BackendAnswer answer);
    void settle(Exchange &exchange, std::size_t index);
    void releaseAttempts(Part &part, Duration linger);

    /** Records that a server has run the request and is still alive. */
    void addSuccess(RequestLosses &losses);
    /** Records that a server was lost while it ran the request, unless another one has answered. */
    void addLoss(RequestLosses &losses, const ServerId &server);
    /**
     * Reports the lost servers of a request without any answer to the other hosts. Servers that are
     * lost from now on are reported one by one.
     */
    void endRequest(RequestLosses &losses);
    void reportLoss(const RequestLosses &losses, const ServerId &server);
    /** Replies to the caller if the parts suffice for an answer or cannot suffice any more. */
    void replyIfDone(Exchange &exchange);
    void replyToGatherIfDone(Exchange &exchange);
    void replyMerged(Exchange &exchange);
    void replyFailed(Exchange &exchange);
    void refuse(ExchangeId exchange, const GatewayRequest &request, RefusalReason reason);
    void finish(Exchange &exchange, Reply reply);
    /** The log line on a reply. */
    LogRecord describeReply(const Exchange &exchange, const Reply &reply,
                            const std::string &outcome);

    Exchange *find(ExchangeId exchange);
    RepeatBudget &budgetOf(const ServiceId &service);
    PartTimeEstimator &partTimesOf(const GatewayRoute &route);
    Duration hedgeDelay(const GatewayRoute &route);

    BackendSelector &m_selector;
    DomainReachability &m_reachability;
    JointServerLimits &m_limits;
    TenantQuotas &m_quotas;
    RestartDetector &m_restarts;
    SharedObservations &m_observations;
    Rollouts &m_rollouts;
    RepeatLimits m_repeatLimits;
    MonotonicTime m_now;
    std::optional<MonotonicTime> m_startedAt; ///< time of the first step
    std::optional<MonotonicTime> m_stopAt;    ///< time of the last reply
    GatewayEffects *m_effects = nullptr;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<AttemptId, AttemptRecord> m_attempts;
    std::uint64_t m_lastAttemptId = 0;
    std::multimap<MonotonicTime, Timer> m_timers;
    std::set<UnsentParts> m_unsentParts;
    PartWaitQueue m_waitingParts;
    MonotonicTime m_nextServeAt;            ///< when waiting parts are tried again at the latest
    std::vector<ExchangeId> m_givenUpParts; ///< requests of waiting parts that were settled
    std::unordered_map<ServiceId, RepeatBudget> m_budgets;
    std::unordered_map<std::string, PartTimeEstimator> m_partTimes; ///< by route name
    /** State of the weighted round robin: credits of the targets, by route name. */
    std::unordered_map<std::string, std::vector<double>> m_splitCredits;
    RequestQuarantine m_quarantine;
    EventRateLimit m_lossReportLimit;
    CounterSet m_counters;
};

} // namespace greengagestair
