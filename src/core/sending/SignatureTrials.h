#pragma once

#include "core/sending/PartQueue.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Allows only one part at a time for each unknown or suspect signature, which is called the trial
 * of that signature. Other parts of the signature wait until the trial ends, so that a request that
 * crashes servers crashes one server and not several at once. BackendScheduler uses it for canary
 * and isolated parts.
 */
class SignatureTrials
{
public:
    /** Returns true if the part is now the trial of its signature. Otherwise stores the part until
     * the current trial ends. */
    bool begin(const QueuedPart &part);
    /** Whether this part is the current trial of the signature. */
    bool isCurrentTrial(Signature signature, const HostId &entryHost, PartId part) const;
    /** Ends the trial and returns the parts that waited for it, in the order of their arrival. */
    std::vector<QueuedPart> end(Signature signature);
    /** Removes and returns a waiting part; nothing if it is not waiting. */
    std::optional<QueuedPart> removeWaiting(const HostId &entryHost, PartId part);
    /** Removes and returns the waiting parts whose deadline has passed. */
    std::vector<QueuedPart> removeExpired(MonotonicTime now);

    /** Whether there is no trial, and so no waiting part. */
    bool empty() const { return m_trials.empty(); }
    /** Number of waiting parts of all signatures. */
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
