#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/GatewayOptions.h"
#include "gateway/RoutingConfiguration.h"

namespace greengagestair {

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

    /** True if each host may hold several connections to each server of the service. */
    bool isAmple(const BackendService &service) const;
    /** True if this host prefers the server over the others of its service. */
    bool isPreferred(const Backend &backend) const;
    /** Number of connections that this host may hold to the server; may be below 1. */
    double share(const BackendService &service, const Backend &backend) const;

private:
    double equalShare(const BackendService &service) const;
    /** Expected number of hosts that prefer the server. */
    double preferringHosts(const Backend &backend) const;
    std::size_t hostsIn(const FailureDomainId &failureDomain) const;

    const SelectorOptions &m_options;
    const BackendDirectory &m_directory;
    HostCount m_hosts;
};

} // namespace greengagestair
