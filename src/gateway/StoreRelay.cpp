#include "gateway/StoreRelay.h"

#include "core/Hashing.h"

#include <algorithm>

namespace greengagestair {

StoreRelay::StoreRelay(HostEntry self)
    : m_self(std::move(self))
{
}

void StoreRelay::update(const std::vector<HostEntry> &hosts)
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
    const auto score = [this](const HostEntry &host) {
        return rendezvousScore(m_self.failureDomain.value, host.host.value);
    };
    const auto own = score(m_self);
    const bool isCaller = std::all_of(m_neighbours.begin(), m_neighbours.end(),
                                      [&](const HostEntry &host) { return score(host) < own; });
    if (m_neighbours.empty())
        m_role = StoreRole::Alone;
    else
        m_role = isCaller ? StoreRole::Caller : StoreRole::Reader;
}

} // namespace greengagestair
