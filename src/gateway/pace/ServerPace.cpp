#include "gateway/pace/ServerPace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace greengagestair {

using Seconds = std::chrono::duration<double>;

/** Share of a server that has just returned. */
static constexpr double kStartShare = 0.1;
/** Lower bound of the share of a server that refuses or fails. */
static constexpr double kMinShare = 0.02;
/**
 * Lower bound of the share of a server that is only slow; BackendSelector's cost already accounts
 * for slow servers.
 */
static constexpr double kMinSlowShare = 0.1;
/**
 * Time in which the share doubles while results are good. Growth by elapsed time and not by the
 * number of rounds gives busy and rarely used servers the same pace.
 */
static constexpr Seconds kDoublingTime(0.6);
/** Growth is slower by this factor near the share at which results were bad before. */
static constexpr double kCautiousFactor = 2.5;
/** Growth becomes slower from this multiple of the share at which results were bad... */
static constexpr double kCautiousFrom = 0.7;
/** ...and normal again from this multiple, where the server evidently bears more than before. */
static constexpr double kCautiousUntil = 1.3;
/** Bounds of the factor by which refusals and failures lower the share. */
static constexpr double kMaxCut = 0.3;
static constexpr double kMinCut = 0.7;
/** Factor by which slow answers lower the share. */
static constexpr double kSlowCut = 0.7;
/** After this time at kMinSlowShare, the slowness is not a consequence of load. */
static constexpr Duration kSlowPatience = std::chrono::seconds(10);

/** Share of bad results above which the share is lowered, and above which it is not raised. */
static constexpr double kBadLimit = 0.2;
static constexpr double kHoldLimit = 0.05;
/**
 * Answers are slow if their mean exceeds that of the other servers by kSlowFactor plus
 * kSlowFactorForOne / sqrt(answers): single response times vary widely.
 */
static constexpr double kSlowFactor = 1.5;
static constexpr double kSlowFactorForOne = 2.5;

/** A round ends after this number of results and this time... */
static constexpr double kRoundResults = 4;
static constexpr Duration kMinRoundTime = std::chrono::milliseconds(100);
/** ...or with a single result after this time, where requests are rare. */
static constexpr Duration kMaxRoundTime = std::chrono::seconds(1);
/** A round with this number of bad results ends at once if they are the majority. */
static constexpr double kEarlyBadResults = 2;
/** Statements of other hosts cover the last second or two. */
static constexpr Duration kSharedRoundTime = std::chrono::seconds(1);

/** Weight of one result in the shares of refusals and failures: four in a row exceed one half. */
static constexpr double kResultWeight = 0.2;
/** A server is returning if more than this share of its results is bad. */
static constexpr double kBadMajority = 0.5;
/** A single lost connection may have been closed for other reasons; a refused one may not. */
static constexpr int kMaxLossesInRow = 2;

/** Weight of one response time in the usual time. */
static constexpr double kTimeWeight = 0.1;
static constexpr Duration kTimeValidity = std::chrono::seconds(10);

/** Bounds of the credit: no burst after a pause, and only a short debt. */
static constexpr double kMaxCredit = 2;
static constexpr double kMinCredit = -2;

static double resultsOf(const ServerEvidence &evidence)
{
    return evidence.answers + evidence.refusals + evidence.failures;
}

static double badOf(const ServerEvidence &evidence)
{
    return evidence.refusals + evidence.failures;
}

static Duration scaled(Duration time, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

PaceVerdict judgePace(const ServerEvidence &results, std::optional<Duration> othersTime)
{
    const double badShare = badOf(results) / resultsOf(results);
    if (badShare > kBadLimit)
        return PaceVerdict::LowerBad;
    const double slowFactor = kSlowFactor + kSlowFactorForOne / std::sqrt(results.answers);
    if (othersTime
        && scaled(results.totalTime, 1 / results.answers) > scaled(*othersTime, slowFactor))
        return PaceVerdict::LowerSlow;
    return badShare > kHoldLimit ? PaceVerdict::Hold : PaceVerdict::Raise;
}

void ServerPace::beginReturn(ReturnReason reason, MonotonicTime now, MonotonicTime firstProbeAt)
{
    m_reason = reason;
    // A server that refuses a part of its requests bears the others.
    const double accepted = 1 - m_refusalShare - m_failureShare;
    m_share = reason == ReturnReason::Refusing ? std::max(accepted / 2, kStartShare) : kStartShare;
    m_credit = 0;
    m_nextProbeAt = firstProbeAt;
    m_badShareOfLoad = std::numeric_limits<double>::infinity();
    m_slowSince.reset();
    m_unloadedTime = {};
    beginRound(now);
}

void ServerPace::setSteady()
{
    m_reason.reset();
    m_share = 1;
    m_refusalShare = 0;
    m_failureShare = 0;
    m_lossesInRow = 0;
}

void ServerPace::beginRound(MonotonicTime now)
{
    m_round = {};
    m_roundBeganAt = now;
}

void ServerPace::addTime(Duration time, MonotonicTime now)
{
    const double weight = usualTime(now) ? kTimeWeight : 1;
    m_usualTime = scaled(m_usualTime, 1 - weight) + scaled(time, weight);
    m_timeUpdatedAt = now;
}

std::optional<Duration> ServerPace::usualTime(MonotonicTime now) const
{
    if (!m_timeUpdatedAt || now - *m_timeUpdatedAt > kTimeValidity)
        return std::nullopt;
    return m_usualTime;
}

std::optional<ReturnReason> ServerPace::reasonToReturn() const
{
    if (m_lossesInRow >= kMaxLossesInRow)
        return ReturnReason::Unreachable;
    if (m_refusalShare + m_failureShare <= kBadMajority)
        return std::nullopt;
    return m_refusalShare >= m_failureShare ? ReturnReason::Refusing : ReturnReason::Failing;
}

std::optional<ReturnReason> ServerPace::addResult(PaceResult result, MonotonicTime sentAt,
                                                  MonotonicTime now)
{
    const bool isRefusal = result == PaceResult::Refusal;
    const bool isAnswer = result == PaceResult::Answer;
    m_refusalShare += ((isRefusal ? 1 : 0) - m_refusalShare) * kResultWeight;
    m_failureShare += ((!isRefusal && !isAnswer ? 1 : 0) - m_failureShare) * kResultWeight;
    if (result == PaceResult::Unreachable)
        m_lossesInRow += kMaxLossesInRow;
    else
        m_lossesInRow = result == PaceResult::Lost ? m_lossesInRow + 1 : 0;
    if (isAnswer)
        addTime(now - sentAt, now);
    if (!isReturning())
        return reasonToReturn();
    addToRound(result, sentAt, now);
    return std::nullopt;
}

void ServerPace::addToRound(PaceResult result, MonotonicTime sentAt, MonotonicTime now)
{
    if (result == PaceResult::Unreachable) {
        // A server that is down says nothing about the load that it will bear.
        m_share = kStartShare;
        m_badShareOfLoad = std::numeric_limits<double>::infinity();
        return beginRound(now);
    }
    // Results of earlier requests say nothing about the present share.
    if (sentAt < m_roundBeganAt)
        return;
    if (result == PaceResult::Answer) {
        m_round.answers += 1;
        m_round.totalTime += now - sentAt;
    } else {
        (result == PaceResult::Refusal ? m_round.refusals : m_round.failures) += 1;
    }
}

void ServerPace::addAbandoned(MonotonicTime sentAt, MonotonicTime now)
{
    // The response would have taken longer; a request that its caller has left early says nothing.
    const Duration age = now - sentAt;
    const auto usual = usualTime(now);
    if (usual && age <= *usual)
        return;
    addTime(age, now);
    if (isReturning() && sentAt >= m_roundBeganAt && m_round.answers > 0)
        m_round.totalTime += age;
}

bool ServerPace::isRoundComplete(MonotonicTime now) const
{
    const double bad = badOf(m_round);
    if (!isReturning() || resultsOf(m_round) < 1)
        return false;
    if (bad >= kEarlyBadResults && bad >= m_round.answers)
        return true;
    const Duration age = now - m_roundBeganAt;
    return age >= kMaxRoundTime || (age >= kMinRoundTime && resultsOf(m_round) >= kRoundResults);
}

PaceVerdict ServerPace::endRound(std::optional<Duration> othersTime, MonotonicTime now)
{
    if (othersTime)
        othersTime = std::max(*othersTime, m_unloadedTime);
    const ServerEvidence results = m_round;
    const PaceVerdict verdict = judgePace(results, othersTime);
    apply(verdict, results, now);
    return verdict;
}

std::optional<PaceVerdict> ServerPace::applyShared(const ServerEvidence &evidence,
                                                   std::optional<Duration> othersTime,
                                                   MonotonicTime now)
{
    const bool isRecent = now - m_roundBeganAt >= kSharedRoundTime + evidence.age;
    if (!isReturning() || !isRecent || resultsOf(evidence) < kRoundResults)
        return std::nullopt;
    if (othersTime)
        othersTime = std::max(*othersTime, m_unloadedTime);
    const PaceVerdict verdict = judgePace(evidence, othersTime);
    apply(verdict, evidence, now);
    return verdict;
}

void ServerPace::apply(PaceVerdict verdict, const ServerEvidence &results, MonotonicTime now)
{
    switch (verdict) {
    case PaceVerdict::Raise:
        raise(now);
        break;
    case PaceVerdict::Hold:
        break;
    case PaceVerdict::LowerSlow:
        lowerSlow(results, now);
        break;
    case PaceVerdict::LowerBad:
        m_badShareOfLoad = m_share;
        m_share *= std::clamp(results.answers / resultsOf(results), kMaxCut, kMinCut);
        m_share = std::max(m_share, kMinShare);
        break;
    }
    beginRound(now);
}

void ServerPace::raise(MonotonicTime now)
{
    m_slowSince.reset();
    const double doublings = Seconds(now - m_roundBeganAt) / kDoublingTime;
    const double cautiousFrom = kCautiousFrom * m_badShareOfLoad;
    if (m_share >= cautiousFrom)
        m_share *= std::exp2(doublings / kCautiousFactor);
    else
        m_share = std::min(m_share * std::exp2(doublings), cautiousFrom);
    if (m_share > kCautiousUntil * m_badShareOfLoad)
        m_badShareOfLoad = std::numeric_limits<double>::infinity();
    if (m_share >= 1)
        setSteady();
}

void ServerPace::lowerSlow(const ServerEvidence &results, MonotonicTime now)
{
    if (m_share <= kMinSlowShare) {
        if (!m_slowSince)
            m_slowSince = now;
        if (now - *m_slowSince >= kSlowPatience)
            m_unloadedTime = scaled(results.totalTime, 1 / results.answers);
        return;
    }
    m_badShareOfLoad = m_share;
    m_share = std::max(m_share * kSlowCut, kMinSlowShare);
}

void ServerPace::addCredit(double credit)
{
    m_credit = std::min(m_credit + credit, kMaxCredit);
}

void ServerPace::addStart(MonotonicTime now, Duration probeInterval)
{
    m_credit = std::max(m_credit - 1, kMinCredit);
    m_nextProbeAt = now + probeInterval;
}

} // namespace greengagestair
