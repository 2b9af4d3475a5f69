#include "gateway/StoreRoleElection.h"

#include "core/Hashing.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/** Hosts with less than this share of the widest link leave it to others to tell of changes. */
static constexpr double kLeastLinkShare = 0.5;

StoreRoleElection::StoreRoleElection(HostEntry self)
    : m_self(std::move(self))
{
}

void StoreRoleElection::update(const std::vector<HostEntry> &hosts)
{
    m_others.clear();
    m_neighbours.clear();
    for (const HostEntry &host : hosts) {
        if (host.host == m_self.host)
            continue;
        m_others.push_back(host);
        if (host.failureDomain == m_self.failureDomain)
            m_neighbours.push_back(host);
    }
    const auto rank = [this](const HostEntry &host) {
        return std::pair(host.linkMbps,
                         rendezvousScore(m_self.failureDomain.value, host.host.value));
    };
    const bool isCaller =
            std::all_of(m_neighbours.begin(), m_neighbours.end(),
                        [&](const HostEntry &host) { return rank(host) < rank(m_self); });
    double widest = m_self.linkMbps;
    for (const HostEntry &host : m_neighbours)
        widest = std::max(widest, host.linkMbps);
    m_audience.clear();
    if (m_self.linkMbps >= widest * kLeastLinkShare)
        m_audience = m_neighbours;
    if (m_neighbours.empty())
        m_role = StoreRole::Standalone;
    else
        m_role = isCaller ? StoreRole::Publisher : StoreRole::Subscriber;
}

} // namespace greengagestair
