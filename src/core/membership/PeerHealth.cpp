#include "core/membership/PeerHealth.h"

#include <algorithm>

namespace greengagestair {

using namespace std::chrono_literals;

/** A lost connection often comes back at once; meanwhile other members may own the servers. */
static constexpr Duration kLostFor = 1s;
/** Two rounds of the 1 s heartbeats to other cells, with room for a lost one. */
static constexpr Duration kReportedFor = 3s;

void PeerHealth::onConnectionLost(const HostId &host, MonotonicTime now)
{
    MonotonicTime &until = m_failedUntil[host];
    until = std::max(until, now + kLostFor);
}

void PeerHealth::onMessage(const HostId &host, bool released, MonotonicTime now)
{
    if (released)
        m_failedUntil[host] = now + kReportedFor;
    else
        m_failedUntil.erase(host);
}

void PeerHealth::onFailureReports(const std::vector<MemberReport> &reports, MonotonicTime now)
{
    for (const MemberReport &report : reports) {
        if (report.state == GrantState::Failed)
            m_failedUntil[report.member] = now + kReportedFor;
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
