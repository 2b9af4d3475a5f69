#include "gateway/StoreRoleElection.h"

#include "core/Hashing.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/** A host with less than this share of the highest link bandwidth sends no changes to others. */
static constexpr double kMinLinkShare = 0.5;

/** Time for which one batch of changes may occupy the host's link; a request waits no longer. */
static constexpr std::chrono::duration<double> kMaxLinkTime(0.1);

/** Preference of a host as the publisher of a failure domain; the highest is elected. */
static auto rankOf(const FailureDomainId &failureDomain, const HostEntry &host)
{
    return std::pair(host.linkMbps, rendezvousScore(failureDomain.value, host.host.value));
}

std::vector<HostEntry> publisherRanking(const FailureDomainId &failureDomain,
                                        const std::vector<HostEntry> &hosts)
{
    std::vector<HostEntry> ranking;
    for (const HostEntry &host : hosts) {
        if (host.failureDomain == failureDomain)
            ranking.push_back(host);
    }
    std::sort(ranking.begin(), ranking.end(), [&](const HostEntry &left, const HostEntry &right) {
        return rankOf(failureDomain, left) > rankOf(failureDomain, right);
    });
    return ranking;
}

StoreRoleElection::StoreRoleElection(HostEntry self)
    : m_self(std::move(self))
{
}

void StoreRoleElection::update(const std::vector<HostEntry> &hosts)
{
    m_otherHosts.clear();
    m_domainPeers.clear();
    for (const HostEntry &host : hosts) {
        if (host.host == m_self.host)
            continue;
        m_otherHosts.push_back(host);
        if (host.failureDomain == m_self.failureDomain)
            m_domainPeers.push_back(host);
    }
    const auto rank = [this](const HostEntry &host) { return rankOf(m_self.failureDomain, host); };
    const auto preferredPeers =
            std::count_if(m_domainPeers.begin(), m_domainPeers.end(),
                          [&](const HostEntry &host) { return rank(host) > rank(m_self); });
    double maxLinkMbps = m_self.linkMbps;
    for (const HostEntry &host : m_domainPeers)
        maxLinkMbps = std::max(maxLinkMbps, host.linkMbps);
    m_changeRecipients.clear();
    if (m_self.linkMbps >= maxLinkMbps * kMinLinkShare)
        m_changeRecipients = m_domainPeers;
    if (m_domainPeers.empty())
        m_role = StoreRole::Standalone;
    else if (preferredPeers == 0)
        m_role = StoreRole::Publisher;
    else
        m_role = preferredPeers == 1 ? StoreRole::Standby : StoreRole::Subscriber;
}

const std::vector<HostEntry> &StoreRoleElection::recipientsOf(std::size_t bytes) const
{
    constexpr double kBitsPerMegabit = 1e6;
    const double bits = 8.0 * static_cast<double>(bytes * m_changeRecipients.size());
    const double limit = m_self.linkMbps * kBitsPerMegabit * kMaxLinkTime.count();
    const bool isStated = m_self.linkMbps > 0;
    return isStated && bits > limit ? m_nobody : m_changeRecipients;
}

} // namespace greengagestair
