#pragma once

#include "greengagestair/Configuration.h"
#include "greengagestair/Messages.h"

#include <unordered_map>

namespace greengagestair {

/**
 * Hosts of other cells that are believed to have failed, because the connection to them was lost or
 * their cell reports them as failed. Membership uses it to choose the member to which a part is
 * sent. It does not affect which member owns a server.
 */
class PeerHealth
{
public:
    /** Marks the host as failed for 1 s. */
    void onConnectionLost(const HostId &host, MonotonicTime now);
    /**
     * Clears the host's failure, since a message proves that its process runs. A host that has
     * released its servers is marked as failed for 3 s instead.
     */
    void onMessage(const HostId &host, bool released, MonotonicTime now);
    /** Marks reported members as failed for 3 s and clears those that are granted. */
    void onFailureReports(const std::vector<MemberReport> &reports, MonotonicTime now);

    /** Whether the host is marked as failed at `now`. */
    bool isFailed(const HostId &host, MonotonicTime now) const;
    /** Removes the marks that have expired. */
    void removeExpired(MonotonicTime now);
    /** Number of marks, including expired ones that are not removed yet. */
    std::size_t size() const { return m_failedUntil.size(); }

private:
    std::unordered_map<HostId, MonotonicTime> m_failedUntil;
};

} // namespace greengagestair
