#include "gateway/ConnectionPlan.h"

#include "core/Hashing.h"

#include <algorithm>
#include <set>

namespace greengagestair {

/** Share of the connection limit that is divided; the rest is for hosts that have just joined. */
static constexpr double kUsedConnectionShare = 0.9;
/** With at least this many connections for each entry host, all hosts get the same share. */
static constexpr double kAmpleShare = 3;
/** Otherwise, share of the usable connections for the hosts that prefer the server. */
static constexpr double kPreferredShare = 0.75;

static double usableConnections(const BackendService &service)
{
    return static_cast<double>(service.connectionLimit) * kUsedConnectionShare;
}

ConnectionPlan::ConnectionPlan(const SelectorOptions &options, const BackendDirectory &directory)
    : m_options(options)
    , m_directory(directory)
{
}

double ConnectionPlan::equalShare(const BackendService &service) const
{
    return usableConnections(service) / static_cast<double>(m_hosts.all);
}

bool ConnectionPlan::isAmple(const BackendService &service) const
{
    return equalShare(service) >= kAmpleShare;
}

std::size_t ConnectionPlan::hostsIn(const FailureDomainId &failureDomain) const
{
    const auto found = m_hosts.byDomain.find(failureDomain);
    return found == m_hosts.byDomain.end() ? 0 : found->second;
}

bool ConnectionPlan::isPreferred(const Backend &backend) const
{
    const BackendRegistration &registration = backend.registration;
    const auto rank = [this](const Backend &server) {
        return std::pair(server.registration.failureDomain == m_options.failureDomain,
                         rendezvousScore(m_options.host.value, server.registration.server.value));
    };
    const auto own = rank(backend);
    const auto &servers = m_directory.serversOf(registration.service);
    return std::all_of(servers.begin(), servers.end(), [&](const auto &other) {
        return !m_directory.isInService(*other) || rank(*other) <= own;
    });
}

double ConnectionPlan::preferringHosts(const Backend &backend) const
{
    std::set<FailureDomainId> domains;
    std::size_t serversInDomain = 0;
    std::size_t servers = 0;
    for (const auto &server : m_directory.serversOf(backend.registration.service)) {
        if (!m_directory.isInService(*server))
            continue;
        const FailureDomainId &domain = server->registration.failureDomain;
        domains.insert(domain);
        ++servers;
        serversInDomain += domain == backend.registration.failureDomain ? 1 : 0;
    }
    std::size_t remoteHosts = m_hosts.all;
    for (const FailureDomainId &domain : domains)
        remoteHosts -= std::min(remoteHosts, hostsIn(domain));
    const auto perServer = [](std::size_t hosts, std::size_t count) {
        return static_cast<double>(hosts) / static_cast<double>(std::max<std::size_t>(count, 1));
    };
    return perServer(hostsIn(backend.registration.failureDomain), serversInDomain)
            + perServer(remoteHosts, servers);
}

double ConnectionPlan::share(const BackendService &service, const Backend &backend) const
{
    if (isAmple(service))
        return equalShare(service);
    const double preferring = preferringHosts(backend);
    const double others = static_cast<double>(m_hosts.all) - preferring;
    if (isPreferred(backend))
        return usableConnections(service) * kPreferredShare / std::max(preferring, 1.0);
    return usableConnections(service) * (1 - kPreferredShare) / std::max(others, 1.0);
}

} // namespace greengagestair
