#pragma once

#include "core/sending/PartQueue.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Lets one attempt at a time of an unknown or suspect signature through; the others wait for its
 * end, so that a request that crashes servers takes one server and not several at once.
 */
class SignatureTrials
{
public:
    /** True if the part is now the signature's attempt; otherwise it is kept waiting. */
    bool begin(const QueuedPart &part);
    bool isCurrentTrial(Signature signature, const HostId &entryHost, PartId part) const;
    /** Ends the attempt and returns the parts that waited for it, in their order. */
    std::vector<QueuedPart> end(Signature signature);
    std::optional<QueuedPart> removeWaiting(const HostId &entryHost, PartId part);
    std::vector<QueuedPart> removeExpired(MonotonicTime now);

    bool empty() const { return m_trials.empty(); }
    std::size_t waitingCount() const;

private:
    struct Trial
    {
        HostId entryHost;
        PartId part;
        std::deque<QueuedPart> waiting;
    };

    std::unordered_map<Signature, Trial> m_trials;
};

} // namespace greengagestair
