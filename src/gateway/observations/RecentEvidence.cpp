#include "gateway/observations/RecentEvidence.h"

#include <algorithm>
#include <cmath>

namespace greengagestair {

/** Time lost by a refusal; the same as in BackendLoad. */
static constexpr double kRefusalLossMicros = 120e3;
/**
 * Time lost by a failure. It is noticed later than a refusal, and the request may have run, so that
 * some requests cannot be repeated.
 */
static constexpr double kFailureLossMicros = 240e3;
/** Results without loss that are assumed in addition, so that a single result is not conclusive. */
static constexpr double kAssumedResults = 1;
/** One host's message counts as at most this many results for each server. */
static constexpr double kMaxResults = 16;
/** Upper bound on the mean response time that is believed. */
static constexpr double kMaxMeanMicros = 10e6;

static Duration micros(double value)
{
    return Duration(static_cast<Duration::rep>(value));
}

double resultCount(const ServerEvidence &evidence)
{
    return evidence.answers + evidence.refusals + evidence.failures;
}

ServerEvidence scaled(ServerEvidence evidence, double factor)
{
    evidence.answers *= factor;
    evidence.refusals *= factor;
    evidence.failures *= factor;
    evidence.totalTime = micros(static_cast<double>(evidence.totalTime.count()) * factor);
    return evidence;
}

void addEvidence(ServerEvidence &evidence, const ServerEvidence &added)
{
    if (resultCount(added) <= 0)
        return;
    evidence.age = resultCount(evidence) > 0 ? std::min(evidence.age, added.age) : added.age;
    evidence.answers += added.answers;
    evidence.refusals += added.refusals;
    evidence.failures += added.failures;
    evidence.totalTime += added.totalTime;
}

Duration meanTime(const ServerEvidence &evidence)
{
    if (evidence.answers <= 0)
        return Duration(0);
    return micros(static_cast<double>(evidence.totalTime.count()) / evidence.answers);
}

Duration expectedLoss(const ServerEvidence &evidence)
{
    const double loss =
            evidence.refusals * kRefusalLossMicros + evidence.failures * kFailureLossMicros;
    return micros(loss / (resultCount(evidence) + kAssumedResults));
}

ServerEvidence evidenceIn(const ServerObservation &observation)
{
    for (const double count : { observation.answers, observation.refusals, observation.failures }) {
        if (!std::isfinite(count) || count < 0)
            return {};
    }
    if (observation.totalTime < Duration(0) || observation.age < Duration(0))
        return {};
    ServerEvidence evidence {
        observation.answers, observation.refusals, observation.failures, {}, observation.age
    };
    const double total = static_cast<double>(observation.totalTime.count());
    evidence.totalTime = micros(std::min(total, evidence.answers * kMaxMeanMicros));
    const double results = resultCount(evidence);
    return results > kMaxResults ? scaled(evidence, kMaxResults / results) : evidence;
}

/** Factor by which results of this age count less. */
static double weightAt(Duration age, Duration halfLife)
{
    const std::chrono::duration<double> seconds = age;
    return std::exp2(-seconds / std::chrono::duration<double>(halfLife));
}

void RecentEvidence::add(const ServerEvidence &added, Duration halfLife, MonotonicTime now)
{
    if (resultCount(added) <= 0)
        return;
    m_sum = scaled(m_sum, weightAt(now - m_updatedAt, halfLife));
    addEvidence(m_sum, scaled(added, weightAt(added.age, halfLife)));
    m_updatedAt = now;
    m_lastResult = std::max(m_lastResult, now - added.age);
}

ServerEvidence RecentEvidence::at(MonotonicTime now, Duration halfLife, Duration validity) const
{
    const Duration age = now - m_lastResult;
    if (resultCount(m_sum) <= 0 || age > validity)
        return {};
    ServerEvidence evidence = scaled(m_sum, weightAt(now - m_updatedAt, halfLife));
    evidence.age = age;
    return evidence;
}

} // namespace greengagestair
