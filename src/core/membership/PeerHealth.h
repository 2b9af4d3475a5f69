#pragma once

#include "greengagestair/Configuration.h"
#include "greengagestair/Messages.h"

#include <unordered_map>

namespace greengagestair {

/**
 * What this host knows of hosts of other cells: connections lost just now, and failure reports of
 * their cell. It only steers where parts are sent; it decides nothing about ownership.
 */
class PeerHealth
{
public:
    void onConnectionLost(const HostId &host, MonotonicTime now);
    /** A message of the host proves that it runs; a released host still gives up its servers. */
    void onMessage(const HostId &host, bool released, MonotonicTime now);
    void onFailureReports(const std::vector<MemberReport> &reports, MonotonicTime now);

    bool isFailed(const HostId &host, MonotonicTime now) const;
    void removeExpired(MonotonicTime now);
    std::size_t size() const { return m_failedUntil.size(); }

private:
    std::unordered_map<HostId, MonotonicTime> m_failedUntil;
};

} // namespace greengagestair
