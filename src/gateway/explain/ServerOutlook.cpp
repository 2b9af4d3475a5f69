#include "gateway/BackendSelector.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

std::vector<ServerExclusion> BackendSelector::exclusionsOf(const BackendService &service,
                                                           const ServiceShares &shares,
                                                           const Backend &backend,
                                                           MonotonicTime now) const
{
    const FailureDomainId &domain = backend.registration.failureDomain;
    std::vector<ServerExclusion> exclusions;
    const auto addIf = [&exclusions](bool isExcluded, ServerExclusion exclusion) {
        if (isExcluded)
            exclusions.push_back(exclusion);
    };
    addIf(backend.registration.isDraining || backend.needs.isLeaving(), ServerExclusion::Draining);
    addIf(m_directory.evacuated().contains(domain), ServerExclusion::OutOfService);
    addIf(!m_reachability.isReachable(domain), ServerExclusion::Unreachable);
    addIf(now < backend.misdirectedUntil, ServerExclusion::Misdirected);
    addIf(now < backend.needs.pausedUntil(), ServerExclusion::Paused);
    addIf(!hasConnection(shares, backend), ServerExclusion::NoCapacity);
    addIf(!isWithinColdLimit(service, backend, now), ServerExclusion::ColdLimit);
    addIf(!m_pacing.admits(backend, now), ServerExclusion::Pace);
    return exclusions;
}

std::vector<ServerOutlook> BackendSelector::outlook(const BackendService &service, Duration typical,
                                                    MonotonicTime now) const
{
    std::vector<ServerOutlook> outlooks;
    const ServiceShares shares = m_connections.sharesOf(service);
    const auto &servers = m_directory.serversOf(service.name);
    for (std::size_t offset = 0; offset < servers.size(); ++offset) {
        // The order of equal costs that choose() will use next.
        const auto &backend = servers[(offset + m_rotation + 1) % servers.size()];
        outlooks.push_back({ backend, cost(shares, *backend, typical, false, now),
                             exclusionsOf(service, shares, *backend, now) });
    }
    // Servers that only the pace excludes are chosen if there is no other.
    const auto rank = [](const ServerOutlook &outlook) {
        if (outlook.exclusions.empty())
            return 0;
        return outlook.exclusions.front() == ServerExclusion::Pace ? 1 : 2;
    };
    std::stable_sort(outlooks.begin(), outlooks.end(),
                     [&rank](const ServerOutlook &left, const ServerOutlook &right) {
                         return std::pair(rank(left), left.cost)
                                 < std::pair(rank(right), right.cost);
                     });
    return outlooks;
}

} // namespace greengagestair
