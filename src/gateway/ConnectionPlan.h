#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/GatewayOptions.h"
#include "gateway/RoutingConfiguration.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace greengagestair {

/**
 * This host's shares of the connections to the servers of one service, valid until the directory or
 * the numbers of hosts change.
 */
class ServiceShares
{
public:
    /** True if each host may hold several connections to each server of the service. */
    bool isAmple() const { return m_isAmple; }
    /** True if this host prefers the server over the others of its service. */
    bool isPreferred(const Backend &backend) const;
    /** Number of connections that this host may hold to the server; may be below 1. */
    double of(const Backend &backend) const;

private:
    friend class ConnectionPlan;

    /** A server's place in the order of preference; the greatest is preferred. */
    using Rank = std::pair<bool, std::uint64_t>;

    Rank rankOf(const Backend &backend) const;
    /** Expected number of hosts that prefer the server. */
    double preferringHosts(const Backend &backend) const;

    const SelectorOptions *m_options = nullptr;
    const HostCount *m_hosts = nullptr;
    double m_usableConnections = 0; ///< to one server, of all hosts
    bool m_isAmple = false;
    std::optional<Rank> m_highestRank; ///< of the servers in service
    std::size_t m_servers = 0;         ///< in service
    std::size_t m_remoteHosts = 0;     ///< in failure domains without a server in service
    std::vector<const FailureDomainId *> m_domains; ///< of each server in service
};

/**
 * Divides the connections that a backend server accepts among the entry hosts, without messages
 * between them. In a fleet with few connections for each host, every host prefers one server of
 * each service: a server of its own failure domain, or else one that rendezvous hashing chooses.
 * The connections to preferred servers are kept, so that requests rarely open one; most of the
 * limit is set aside for them. Changes of the host list move few preferences.
 */
class ConnectionPlan
{
public:
    ConnectionPlan(const SelectorOptions &options, const BackendDirectory &directory);

    /** Sets the numbers of live entry hosts. */
    void setHosts(const HostCount &hosts) { m_hosts = hosts; }

    /** Works out the shares of a service in one pass over its servers. */
    ServiceShares sharesOf(const BackendService &service) const;

private:
    const SelectorOptions &m_options;
    const BackendDirectory &m_directory;
    HostCount m_hosts;
};

} // namespace greengagestair
