#include "core/membership/PeerHealth.h"

#include <algorithm>

namespace greengagestair {

using namespace std::chrono_literals;

/** Short, since a lost connection is often restored at once. Other members may own servers then. */
static constexpr Duration kFailedAfterConnectionLoss = 1s;
/** Two intervals of the heartbeats to other cells (1 s) and one more for a lost heartbeat. */
static constexpr Duration kFailedAfterReport = 3s;

void PeerHealth::onConnectionLost(const HostId &host, MonotonicTime now)
{
    MonotonicTime &until = m_failedUntil[host];
    until = std::max(until, now + kFailedAfterConnectionLoss);
}

void PeerHealth::onMessage(const HostId &host, bool released, MonotonicTime now)
{
    if (released)
        m_failedUntil[host] = now + kFailedAfterReport;
    else
        m_failedUntil.erase(host);
}

void PeerHealth::onFailureReports(const std::vector<MemberReport> &reports, MonotonicTime now)
{
    for (const MemberReport &report : reports) {
        if (report.state == GrantState::Failed)
            m_failedUntil[report.member] = now + kFailedAfterReport;
        else if (report.state == GrantState::Granting)
            m_failedUntil.erase(report.member);
    }
}

bool PeerHealth::isFailed(const HostId &host, MonotonicTime now) const
{
    const auto found = m_failedUntil.find(host);
    return found != m_failedUntil.end() && now < found->second;
}

void PeerHealth::removeExpired(MonotonicTime now)
{
    std::erase_if(m_failedUntil, [now](const auto &entry) { return now >= entry.second; });
}

} // namespace greengagestair
