#include "gateway/RequestDispatcher.h"

namespace greengagestair {

/** Status of a server that is not the one that the request names; it has not run the request. */
static constexpr int kMisdirectedRequest = 421;
/**
 * A server is not chosen for this time after another one has answered at its address. By then its
 * registration has expired, unless the answer was wrong.
 */
static constexpr Duration kMisdirectedPause = std::chrono::seconds(5);

void RequestDispatcher::recordFailure(const AttemptRecord &record, AttemptId attempt,
                                      AttemptFailure failure)
{
    BackendLoad &load = record.backend->load;
    const bool isUnsent = failure == AttemptFailure::NotSent;
    if (failure == AttemptFailure::Expired)
        load.addAbandoned(attempt, m_now);
    else if (isUnsent)
        load.addUnsent(attempt, m_now);
    else
        load.addFailure(attempt, m_now);
    if (failure == AttemptFailure::Lost || (isUnsent && !record.isReleased))
        m_restarts.addConnectionLoss(*record.backend, m_now);
    ReturnPacing &pacing = m_selector.pacing();
    if (failure == AttemptFailure::Expired || record.isReleased)
        pacing.addAbandoned(*record.backend, record.startedAt, m_now);
    else if (failure == AttemptFailure::Corrupt)
        pacing.addResult(*record.backend, PaceResult::Failure, record.startedAt, m_now);
    else
        pacing.addResult(*record.backend, isUnsent ? PaceResult::Unreachable : PaceResult::Lost,
                         record.startedAt, m_now);
}

static PaceResult paceResultOf(const BackendAnswer &answer)
{
    if (answer.notExecuted)
        return PaceResult::Refusal;
    return answer.status >= 500 ? PaceResult::Failure : PaceResult::Answer;
}

void RequestDispatcher::recordObservation(const AttemptRecord &record, const AttemptResult &result)
{
    const Duration age = m_now - record.startedAt;
    if (const auto *failure = std::get_if<AttemptFailure>(&result)) {
        // A connection that this host has closed says nothing about the server.
        const bool isClosedHere = (*failure == AttemptFailure::NotSent && record.isReleased)
                || (*failure == AttemptFailure::Expired && age < kMinUnansweredTime);
        if (!isClosedHere)
            m_observations.addFailure(*record.backend);
        return;
    }
    const auto &answer = std::get<BackendAnswer>(result);
    const bool isUnsignedSuccess =
            answer.status >= 200 && answer.status < 300 && answer.signature.empty();
    if (answer.notExecuted)
        m_observations.addRefusal(*record.backend);
    else if (answer.status >= 500 || isUnsignedSuccess)
        m_observations.addFailure(*record.backend);
    else if (!record.isObserved)
        m_observations.addAnswer(*record.backend, age);
}

/** True if the response stands for a failure of the server. */
static bool isServerFailure(const BackendAnswer &answer)
{
    const bool isSuccess = answer.status >= 200 && answer.status < 300;
    return answer.status >= 500 || (isSuccess && answer.signature.empty());
}

void RequestDispatcher::recordVersionResult(const AttemptRecord &record,
                                            const AttemptResult &result)
{
    const auto *answer = std::get_if<BackendAnswer>(&result);
    const auto *failure = std::get_if<AttemptFailure>(&result);
    // Neither a refusal nor a connection that cannot be opened shows how the version runs requests.
    const bool wasNotRun =
            (answer && answer->notExecuted) || (failure && *failure == AttemptFailure::NotSent);
    if (record.judgedRoute.empty() || wasNotRun)
        return;
    RolloutResult kind = RolloutResult::Answer;
    if (failure && record.isReleased)
        kind = RolloutResult::Abandoned;
    else if (failure || isServerFailure(*answer))
        kind = RolloutResult::Failure;
    m_rollouts.addResult(*record.backend, record.judgedRoute, kind, m_now - record.startedAt);
}

void RequestDispatcher::recordLoad(const AttemptRecord &record, AttemptId attempt,
                                   const AttemptResult &result)
{
    BackendLoad &load = record.backend->load;
    const auto *answer = std::get_if<BackendAnswer>(&result);
    if (!answer)
        return recordFailure(record, attempt, std::get<AttemptFailure>(result));
    m_restarts.addContact(*record.backend, m_now);
    m_reachability.addResponse(record.backend->registration.failureDomain);
    m_limits.addResponse(*record.backend, answer->statement, record.startedAt);
    if (answer->status == kMisdirectedRequest) {
        m_counters.add("attempts_misdirected_total");
        record.backend->misdirectedUntil = m_now + kMisdirectedPause;
    }
    if (answer->notExecuted)
        load.addRefusal(attempt, m_now);
    else if (answer->status >= 500)
        load.addFailure(attempt, m_now);
    else
        load.addAnswer(attempt, m_now);
    m_selector.pacing().addResult(*record.backend, paceResultOf(*answer), record.startedAt, m_now);
}

} // namespace greengagestair
