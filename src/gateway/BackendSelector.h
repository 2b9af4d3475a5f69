#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/DomainReachability.h"
#include "gateway/GatewayOptions.h"
#include "gateway/RoutingConfiguration.h"

#include <memory>
#include <vector>

namespace greengagestair {

/** Chooses the backend server of a service for one attempt. */
class BackendSelector
{
public:
    BackendSelector(SelectorOptions options, const BackendDirectory &directory,
                    const DomainReachability &reachability);

    void setOptions(const SelectorOptions &options) { m_options = options; }
    void setHostCount(const HostCount &hosts) { m_hostCount = hosts; }

    /**
     * The server that is expected to answer first, among those that are in service, have room and
     * are not in `tried`; null if there is none. `typical` is the usual time of such a request.
     */
    std::shared_ptr<Backend> choose(const BackendService &service, Duration typical,
                                    const std::vector<ServerId> &tried, MonotonicTime now);
    /** What this host may keep of the connections that the server accepts from all hosts. */
    IdleConnectionLimits idleLimitsFor(const BackendService &service, const Backend &backend) const;
    /** True if a server of the service can be used, with or without room. */
    bool hasUntriedServer(const BackendService &service, const std::vector<ServerId> &tried) const;
    /** True if servers of the service are in service, but all in unreachable failure domains. */
    bool isCutOff(const ServiceId &service) const;

    bool isOwnDomain(const Backend &backend) const
    {
        return backend.registration.failureDomain == m_options.failureDomain;
    }

private:
    bool isUsable(const Backend &backend) const;
    double connectionShare(const BackendService &service, bool isOwnDomain) const;
    bool hasCapacity(const BackendService &service, Backend &backend, MonotonicTime now) const;
    Duration cost(const Backend &backend, Duration typical, MonotonicTime now) const;

    SelectorOptions m_options;
    const BackendDirectory &m_directory;
    const DomainReachability &m_reachability;
    HostCount m_hostCount;
    std::size_t m_rotation = 0;
};

} // namespace greengagestair
