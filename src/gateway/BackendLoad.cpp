#include "gateway/BackendLoad.h"

#include <algorithm>
#include <cmath>

namespace greengagestair {

/** Minimum weight of one response time in the moving average. */
static constexpr double kMinSampleWeight = 0.2;
/** Age at which the average and a new sample have equal weight, so that rare samples weigh more. */
static constexpr std::chrono::duration<double> kSampleHalfLife(0.5);
/**
 * A response time is capped at this multiple of the average. A short pause of a server does not
 * predict its next responses, and a slow server is still detected after a few of them.
 */
static constexpr int kMaxSampleFactor = 3;
/** Time in which an average without new samples moves half-way to the fallback. */
static constexpr std::chrono::duration<double> kAverageHalfLife(2.0);
/** Expected extra time per recent failure. */
static constexpr Duration kFailurePenalty = std::chrono::milliseconds(60);
/** Half-life of the weight of a failure. */
static constexpr std::chrono::duration<double> kPenaltyHalfLife(1.0);
/** Upper bound on the summed weight of failures, so that a server is retried after some seconds. */
static constexpr double kMaxPenalty = 8;
/** Weight of one attempt in the share of refused attempts. */
static constexpr double kRefusalSampleWeight = 0.25;
/** Half-life of the share of refused attempts while the server gets none. */
static constexpr std::chrono::duration<double> kRefusalHalfLife(2.0);
/**
 * Expected extra time at a server that refuses everything. A refusal arrives quickly, but the next
 * attempt takes from the limit on repeats.
 */
static constexpr Duration kRefusalPenalty = std::chrono::milliseconds(120);

/** Backend servers close idle connections after some seconds; one this old is assumed closed. */
static constexpr Duration kIdleConnectionLifetime = std::chrono::seconds(8);

static double decayed(double value, Duration age, std::chrono::duration<double> halfLife)
{
    if (value == 0)
        return 0;
    const std::chrono::duration<double> seconds = age;
    return value * std::exp2(-seconds.count() / halfLife.count());
}

void BackendLoad::addStart(AttemptId attempt, MonotonicTime now)
{
    m_startTimes.emplace(attempt, now);
    forgetOldRequests(now);
    m_recentRequests.push_back(now);
}

std::optional<Duration> BackendLoad::removeAttempt(AttemptId attempt, MonotonicTime now)
{
    const auto found = m_startTimes.find(attempt);
    if (found == m_startTimes.end())
        return std::nullopt;
    const Duration age = now - found->second;
    m_startTimes.erase(found);
    return age;
}

void BackendLoad::addSample(Duration time, MonotonicTime now)
{
    if (!m_hasSample) {
        m_average = time;
    } else {
        time = std::min(time, m_average * kMaxSampleFactor);
        const double weight =
                std::max(1 - decayed(1, now - m_lastSample, kSampleHalfLife), kMinSampleWeight);
        const double newAverage = static_cast<double>(m_average.count()) * (1 - weight)
                + static_cast<double>(time.count()) * weight;
        m_average = Duration(static_cast<Duration::rep>(newAverage));
    }
    m_hasSample = true;
    m_lastSample = now;
}

double BackendLoad::penaltyAt(MonotonicTime now) const
{
    return decayed(m_penalty, now - m_penaltyUpdatedAt, kPenaltyHalfLife);
}

void BackendLoad::addPenalty(MonotonicTime now)
{
    m_penalty = std::min(penaltyAt(now) + 1, kMaxPenalty);
    m_penaltyUpdatedAt = now;
}

double BackendLoad::refusalShareAt(MonotonicTime now) const
{
    return decayed(m_refusalShare, now - m_refusalShareUpdatedAt, kRefusalHalfLife);
}

void BackendLoad::addRefusalSample(double refused, MonotonicTime now)
{
    const double share = refusalShareAt(now);
    m_refusalShare = share + (refused - share) * kRefusalSampleWeight;
    m_refusalShareUpdatedAt = now;
}

void BackendLoad::addAnswer(AttemptId attempt, MonotonicTime now)
{
    if (const auto age = removeAttempt(attempt, now)) {
        addSample(*age, now);
        addRefusalSample(0, now);
        m_lastAnswer = now;
    }
}

bool BackendLoad::isLikelyConnected(MonotonicTime now) const
{
    return m_lastAnswer && now - *m_lastAnswer < kIdleConnectionLifetime;
}

void BackendLoad::addRefusal(AttemptId attempt, MonotonicTime now)
{
    if (removeAttempt(attempt, now))
        addRefusalSample(1, now);
}

void BackendLoad::addFailure(AttemptId attempt, MonotonicTime now)
{
    if (removeAttempt(attempt, now))
        addPenalty(now);
}

void BackendLoad::addUnsent(AttemptId attempt, MonotonicTime now)
{
    const auto started = m_startTimes.find(attempt);
    if (started == m_startTimes.end())
        return;
    const auto recent =
            std::lower_bound(m_recentRequests.begin(), m_recentRequests.end(), started->second);
    if (recent != m_recentRequests.end() && *recent == started->second)
        m_recentRequests.erase(recent);
    addFailure(attempt, now);
}

void BackendLoad::addAbandoned(AttemptId attempt, MonotonicTime now)
{
    if (const auto age = removeAttempt(attempt, now); age && (!m_hasSample || *age > m_average))
        addSample(*age, now);
}

Duration BackendLoad::expectedTime(Duration fallback, std::size_t slots, MonotonicTime now) const
{
    Duration expected = fallback;
    if (m_hasSample) {
        const double distance = static_cast<double>((m_average - fallback).count());
        const double remainingDistance = decayed(distance, now - m_lastSample, kAverageHalfLife);
        expected += Duration(static_cast<Duration::rep>(remainingDistance));
    }
    for (const auto &[attempt, startedAt] : m_startTimes)
        expected = std::max(expected, now - startedAt);
    const std::size_t capacity = std::max<std::size_t>(slots, 1);
    expected += expected * static_cast<Duration::rep>(m_startTimes.size())
            / static_cast<Duration::rep>(capacity);
    const double penalty = penaltyAt(now) * static_cast<double>(kFailurePenalty.count())
            + refusalShareAt(now) * static_cast<double>(kRefusalPenalty.count());
    return expected + Duration(static_cast<Duration::rep>(penalty));
}

void BackendLoad::forgetOldRequests(MonotonicTime now)
{
    while (!m_recentRequests.empty() && now - m_recentRequests.front() >= std::chrono::seconds(1))
        m_recentRequests.pop_front();
}

std::size_t BackendLoad::requestsInLastSecond(MonotonicTime now) const
{
    const auto first = std::upper_bound(m_recentRequests.begin(), m_recentRequests.end(),
                                        now - std::chrono::seconds(1));
    return static_cast<std::size_t>(m_recentRequests.end() - first);
}

void BackendLoad::takeRecentRequests(const BackendLoad &former)
{
    m_recentRequests = former.m_recentRequests;
}

} // namespace greengagestair
