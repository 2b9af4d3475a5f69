#include "core/sending/SignatureTrials.h"

#include <algorithm>
#include <iterator>

namespace greengagestair {

bool SignatureTrials::begin(const QueuedPart &part)
{
    const Signature signature = part.request.signature;
    const auto found = m_trials.find(signature);
    if (found != m_trials.end()) {
        found->second.waiting.push_back(part);
        return false;
    }
    m_trials.emplace(signature, Trial { part.entryHost, part.request.part, {} });
    return true;
}

bool SignatureTrials::isCurrentTrial(Signature signature, const HostId &entryHost,
                                     PartId part) const
{
    const auto found = m_trials.find(signature);
    if (found == m_trials.end())
        return false;
    return found->second.entryHost == entryHost && found->second.part == part;
}

std::vector<QueuedPart> SignatureTrials::end(Signature signature)
{
    const auto found = m_trials.find(signature);
    if (found == m_trials.end())
        return {};
    std::deque<QueuedPart> waiting = std::move(found->second.waiting);
    m_trials.erase(found);
    return { std::make_move_iterator(waiting.begin()), std::make_move_iterator(waiting.end()) };
}

std::optional<QueuedPart> SignatureTrials::removeWaiting(const HostId &entryHost, PartId part)
{
    for (auto &[signature, trial] : m_trials) {
        const auto found = std::find_if(
                trial.waiting.begin(), trial.waiting.end(), [&](const QueuedPart &waiting) {
                    return waiting.entryHost == entryHost && waiting.request.part == part;
                });
        if (found == trial.waiting.end())
            continue;
        QueuedPart removed = std::move(*found);
        trial.waiting.erase(found);
        return removed;
    }
    return std::nullopt;
}

std::vector<QueuedPart> SignatureTrials::removeExpired(MonotonicTime now)
{
    std::vector<QueuedPart> expired;
    for (auto &[signature, trial] : m_trials) {
        const auto firstExpired = std::stable_partition(
                trial.waiting.begin(), trial.waiting.end(),
                [&](const QueuedPart &waiting) { return waiting.deadline > now; });
        std::move(firstExpired, trial.waiting.end(), std::back_inserter(expired));
        trial.waiting.erase(firstExpired, trial.waiting.end());
    }
    return expired;
}

std::size_t SignatureTrials::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[signature, trial] : m_trials)
        count += trial.waiting.size();
    return count;
}

} // namespace greengagestair
