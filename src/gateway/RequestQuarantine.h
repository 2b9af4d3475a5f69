#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Blocks requests that crash the backend servers that run them. RequestDispatcher records each
 * attempt that ended with a lost connection, by the request's signature. Servers are also lost for
 * other reasons, so a signature is blocked only after several servers were lost to more than one
 * request. The number of signatures is bounded; the oldest ones are dropped.
 */
class RequestQuarantine
{
public:
    /**
     * Records that a server was lost while it ran a request with this signature. For a loss that
     * another host reported, `requestId` is the identifier of that host.
     */
    void addLoss(Signature signature, const std::string &requestId, const ServerId &server,
                 MonotonicTime now);
    /** Clears the losses of a signature, since a server has answered such a request. */
    void addSuccess(Signature signature);
    /** True if requests with this signature must not be sent to backend servers. */
    bool isBlocked(Signature signature, MonotonicTime now) const;
    /** Number of recorded signatures. */
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
