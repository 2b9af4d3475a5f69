#include "gateway/StoreRelay.h"

#include "core/Hashing.h"

#include <algorithm>

namespace greengagestair {

/** Up to this number of hosts, one of them calls the store for all; beyond it, two do. */
static constexpr std::size_t kSmallDomain = 3;

StoreRelay::StoreRelay(HostEntry self)
    : m_self(std::move(self))
{
}

void StoreRelay::update(const std::vector<HostEntry> &hosts)
{
    m_others.clear();
    m_readers.clear();
    std::vector<HostEntry> near = { m_self };
    for (const HostEntry &host : hosts) {
        if (host.host == m_self.host)
            continue;
        m_others.push_back(host);
        if (host.failureDomain == m_self.failureDomain)
            near.push_back(host);
    }
    const std::string &key = m_self.failureDomain.value;
    std::sort(near.begin(), near.end(), [&](const HostEntry &left, const HostEntry &right) {
        return rendezvousScore(key, left.host.value) > rendezvousScore(key, right.host.value);
    });
    const std::size_t callers =
            std::min<std::size_t>(near.size() > kSmallDomain ? 2 : 1, near.size());
    const auto firstReader = near.begin() + static_cast<std::ptrdiff_t>(callers);
    const bool isCaller = std::any_of(near.begin(), firstReader, [this](const HostEntry &host) {
        return host.host == m_self.host;
    });
    if (isCaller)
        m_readers.assign(firstReader, near.end());
}

} // namespace greengagestair
