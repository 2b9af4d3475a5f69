#include "gateway/ConnectionPlan.h"

#include "core/Hashing.h"

#include <algorithm>

namespace greengagestair {

/** Share of the connection limit that is divided; the rest is for hosts that have just joined. */
static constexpr double kUsedConnectionShare = 0.9;
/** With at least this many connections for each entry host, all hosts get the same share. */
static constexpr double kAmpleShare = 3;
/** Otherwise, share of the usable connections for the hosts that prefer the server. */
static constexpr double kPreferredShare = 0.75;

ConnectionPlan::ConnectionPlan(const SelectorOptions &options, const BackendDirectory &directory)
    : m_options(options)
    , m_directory(directory)
{
}

static std::size_t hostsIn(const HostCount &hosts, const FailureDomainId &failureDomain)
{
    const auto found = hosts.byDomain.find(failureDomain);
    return found == hosts.byDomain.end() ? 0 : found->second;
}

ServiceShares ConnectionPlan::sharesOf(const BackendService &service) const
{
    ServiceShares shares;
    shares.m_options = &m_options;
    shares.m_hosts = &m_hosts;
    shares.m_usableConnections =
            static_cast<double>(service.connectionLimit) * kUsedConnectionShare;
    shares.m_isAmple = shares.m_usableConnections / static_cast<double>(m_hosts.all) >= kAmpleShare;
    if (shares.m_isAmple)
        return shares;
    const auto &servers = m_directory.serversOf(service.name);
    shares.m_domains.reserve(servers.size());
    shares.m_remoteHosts = m_hosts.all;
    for (const auto &server : servers) {
        if (!m_directory.isInService(*server))
            continue;
        ++shares.m_servers;
        const ServiceShares::Rank rank = shares.rankOf(*server);
        if (!shares.m_highestRank || rank > *shares.m_highestRank)
            shares.m_highestRank = rank;
        const FailureDomainId &domain = server->registration.failureDomain;
        const bool isNewDomain =
                std::none_of(shares.m_domains.begin(), shares.m_domains.end(),
                             [&](const FailureDomainId *known) { return *known == domain; });
        if (isNewDomain)
            shares.m_remoteHosts -= std::min(shares.m_remoteHosts, hostsIn(m_hosts, domain));
        shares.m_domains.push_back(&domain);
    }
    return shares;
}

ServiceShares::Rank ServiceShares::rankOf(const Backend &backend) const
{
    const BackendRegistration &registration = backend.registration;
    return { registration.failureDomain == m_options->failureDomain,
             rendezvousScore(m_options->host.value, registration.server.value) };
}

bool ServiceShares::isPreferred(const Backend &backend) const
{
    return !m_highestRank || rankOf(backend) >= *m_highestRank;
}

double ServiceShares::preferringHosts(const Backend &backend) const
{
    const FailureDomainId &domain = backend.registration.failureDomain;
    const auto serversInDomain =
            std::count_if(m_domains.begin(), m_domains.end(),
                          [&](const FailureDomainId *other) { return *other == domain; });
    const auto perServer = [](std::size_t hosts, std::size_t count) {
        return static_cast<double>(hosts) / static_cast<double>(std::max<std::size_t>(count, 1));
    };
    return perServer(hostsIn(*m_hosts, domain), static_cast<std::size_t>(serversInDomain))
            + perServer(m_remoteHosts, m_servers);
}

double ServiceShares::of(const Backend &backend) const
{
    const auto allHosts = static_cast<double>(m_hosts->all);
    if (m_isAmple)
        return m_usableConnections / allHosts;
    const double preferring = preferringHosts(backend);
    if (isPreferred(backend))
        return m_usableConnections * kPreferredShare / std::max(preferring, 1.0);
    return m_usableConnections * (1 - kPreferredShare) / std::max(allHosts - preferring, 1.0);
}

} // namespace greengagestair
