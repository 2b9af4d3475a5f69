#pragma once

#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
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
    /** Records that a server was lost while it ran a request of this host with this signature. */
    void addLoss(Signature signature, const std::string &requestId, const ServerId &server,
                 MonotonicTime now);
    /** Records a loss that another host reported. */
    void addReportedLoss(const HostId &reporter, const SignatureLoss &loss, MonotonicTime now);
    /** Clears the losses of a signature, since a server has answered such a request. */
    void addSuccess(Signature signature, MonotonicTime now);
    /** True if requests with this signature must not be sent to backend servers. */
    bool isBlocked(Signature signature, MonotonicTime now) const;

    /** The recent losses as `self` states them to another host; the last ones if there are many. */
    std::vector<RecordedLoss> recentLosses(const HostId &self, MonotonicTime now) const;
    /**
     * Adds what another host had recorded at `statedAt` or later. Returns the number of signatures
     * that are new to this host. A block ends when it ends at the other host, or earlier.
     */
    std::size_t merge(const std::vector<RecordedLoss> &recorded, MonotonicTime statedAt,
                      MonotonicTime now);
    /** Number of recorded signatures. */
    std::size_t size() const { return m_losses.size(); }

private:
    struct Losses
    {
        std::vector<ServerId> servers;
        std::vector<std::string> ownRequests;
        std::vector<HostId> reporters;
        bool hasSeveralRequests = false; ///< as another host has stated
        MonotonicTime lastLossAt;
        std::optional<MonotonicTime> lastSuccessAt;
    };

    Losses &lossesOf(Signature signature);

    std::unordered_map<Signature, Losses> m_losses;
    std::deque<Signature> m_insertionOrder;
};

} // namespace greengagestair
