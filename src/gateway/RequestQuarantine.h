#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Remembers requests whose attempts ended with a lost connection, so that a request that crashes
 * each server that runs it is stopped. Servers are also lost for other reasons while innocent
 * requests run there; only a signature that loses servers again when it is sent again is blocked.
 * Bounded; the oldest signatures are forgotten.
 */
class RequestQuarantine
{
public:
    /** Notes that a server was lost while it worked on that request. */
    void addLoss(Signature signature, const std::string &requestId, const ServerId &server,
                 MonotonicTime now);
    /** Clears a signature that was answered. */
    void addSuccess(Signature signature);
    /** True if no further server may get a request with this signature. */
    bool isBlocked(Signature signature, MonotonicTime now) const;
    std::size_t size() const { return m_losses.size(); }

private:
    struct Losses
    {
        std::vector<ServerId> servers;
        std::vector<std::string> requests;
        MonotonicTime lastLossAt;
    };

    std::unordered_map<Signature, Losses> m_losses;
    std::deque<Signature> m_insertionOrder;
};

} // namespace greengagestair
