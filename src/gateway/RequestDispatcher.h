#pragma once

#include "core/CounterSet.h"
#include "core/query/PartTimeEstimator.h"
#include "gateway/BackendSelector.h"
#include "gateway/DomainReachability.h"
#include "gateway/Exchange.h"
#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/RepeatBudget.h"
#include "gateway/RequestQuarantine.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace greengagestair {

/**
 * The requests in progress: which backend servers get them, when they are sent once more, and when
 * and how they are answered.
 */
class RequestDispatcher
{
public:
    RequestDispatcher(BackendSelector &selector, DomainReachability &reachability,
                      const RepeatLimits &repeats);

    void setRepeatLimits(const RepeatLimits &limits);
    /** Begins a step: effects are appended to `effects` until the next call. */
    void beginStep(MonotonicTime now, GatewayEffects &effects);

    void start(const RequestReceived &event,
               const std::shared_ptr<const RoutingConfiguration> &configuration);
    void onCallerDisconnected(ExchangeId exchange);
    void endAttempt(const AttemptEnded &event);
    /** Handles all times that have come. */
    void advance();
    /** Another host lost a server to a request with this signature. */
    void addReportedLoss(const HostId &reporter, const SignatureLoss &loss);
    /** Tries parts that wait for room once more. */
    void retryWaiting();
    std::optional<MonotonicTime> nextWakeUp() const;

    bool isIdle() const { return m_exchanges.empty(); }
    std::size_t exchanges() const { return m_exchanges.size(); }
    std::size_t attempts() const { return m_attempts.size(); }
    const CounterSet &counters() const { return m_counters; }

private:
    /** What a time in the queue of times is for. */
    enum class TimerKind { Deadline, Cutoff, Hedge, WaitEnd };
    struct Timer
    {
        TimerKind kind = TimerKind::Deadline;
        ExchangeId exchange;
        std::size_t part = 0;
    };
    /** Where an attempt belongs; kept until it has ended, also after its request was answered. */
    struct AttemptRecord
    {
        ExchangeId exchange;
        std::size_t part = 0;
        std::shared_ptr<Backend> backend;
        MonotonicTime startedAt;
    };

    /** For log lines. */
    std::string microsSince(MonotonicTime start) const;
    void addTimer(MonotonicTime at, const Timer &timer);
    void onTimer(const Timer &timer);
    void onHedge(Exchange &exchange, std::size_t index);
    void onDeadline(Exchange &exchange);

    bool addPart(Exchange &exchange, const ServiceId &service);
    const ServiceId &chooseTarget(const GatewayRoute &route);
    /** Sends a part to a server; false if none can take it. */
    bool send(Exchange &exchange, std::size_t index);
    void startPart(Exchange &exchange, std::size_t index);
    void waitForRoom(Exchange &exchange, std::size_t index);
    /** Sends a part once more after a failure, or settles it. */
    void sendAgain(Exchange &exchange, std::size_t index);
    void recordLoad(const AttemptRecord &record, AttemptId attempt, const AttemptResult &result);
    void onAnswer(Exchange &exchange, std::size_t index, const AttemptRecord &record,
                  BackendAnswer answer);
    void onFailure(Exchange &exchange, std::size_t index, const AttemptRecord &record,
                   AttemptFailure failure);
    void acceptAnswer(Exchange &exchange, std::size_t index, BackendAnswer answer);
    void settle(Exchange &exchange, std::size_t index);
    void releaseAttempts(Part &part, Duration linger);

    /** Answers the caller if that can be done now. */
    void concludeIfDone(Exchange &exchange);
    void concludeGather(Exchange &exchange);
    void replyMerged(Exchange &exchange);
    void replyFailed(Exchange &exchange);
    void refuse(ExchangeId exchange, const GatewayRequest &request, RefusalReason reason);
    void finish(Exchange &exchange, Reply reply);
    void logReply(const Exchange &exchange, const Reply &reply, const std::string &outcome);

    Exchange *find(ExchangeId exchange);
    RepeatBudget &budgetOf(const ServiceId &service);
    PartTimeEstimator &timesOf(const GatewayRoute &route);
    Duration typicalTime(const GatewayRoute &route);
    Duration hedgeDelay(const GatewayRoute &route);

    BackendSelector &m_selector;
    DomainReachability &m_reachability;
    RepeatLimits m_repeatLimits;
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
    std::unordered_map<ExchangeId, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<AttemptId, AttemptRecord> m_attempts;
    std::uint64_t m_lastAttempt = 0;
    std::multimap<MonotonicTime, Timer> m_timers;
    /** Parts that wait for room, the most urgent route first. */
    std::multimap<int, std::pair<ExchangeId, std::size_t>> m_waiting;
    std::unordered_map<ServiceId, RepeatBudget> m_budgets;
    std::unordered_map<std::string, PartTimeEstimator> m_times;
    std::unordered_map<std::string, std::vector<double>> m_splitCredits;
    RequestQuarantine m_guard;
    RepeatBudget m_lossReports;
    CounterSet m_counters;
};

} // namespace greengagestair
