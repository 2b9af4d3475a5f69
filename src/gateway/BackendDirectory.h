#pragma once

#include "gateway/BackendLoad.h"
#include "greengagestair/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/** What a backend server says of itself in its registration. */
struct BackendRegistration
{
    ServerId server;
    ServiceId service;
    Endpoint endpoint;
    FailureDomainId failureDomain;
    std::size_t slots = 1;       ///< requests that it runs at a time
    bool isDraining = false;     ///< it takes no new work
    Duration coldFor {};         ///< how much longer it is cold, as of the registration
    std::uint64_t startedAt = 0; ///< start of its process, milliseconds since the Unix epoch
};

/** A backend server that is registered, with what this host has seen of it. */
struct Backend
{
    BackendRegistration registration;
    MonotonicTime coldUntil;
    std::optional<MonotonicTime> removeAt; ///< no longer listed; leaves the directory at this time
    BackendLoad load;
};

/**
 * The backend servers in service, by registration, and the failure domains that are taken out of
 * service. A registration that disappears while the registry was unreachable is kept for a moment,
 * since live servers register again after an outage.
 */
class BackendDirectory
{
public:
    void put(const BackendRegistration &registration, MonotonicTime now);
    /** Removes a server at once. */
    void remove(const ServerId &server);
    /** Removes a server at that time unless it registers again before. */
    void removeLater(const ServerId &server, MonotonicTime at);
    /** Servers that are registered and not among `listed`. */
    std::vector<ServerId> absentFrom(const std::set<ServerId> &listed) const;
    /** Removes servers whose time has come; returns them. */
    std::vector<ServerId> removeDue(MonotonicTime now);
    std::optional<MonotonicTime> nextRemoval() const;

    void setEvacuated(std::set<FailureDomainId> failureDomains);
    const std::set<FailureDomainId> &evacuated() const { return m_evacuated; }

    /** All registered servers of a service, also those that must not get new work. */
    const std::vector<std::shared_ptr<Backend>> &serversOf(const ServiceId &service) const;
    /** All registered servers of a failure domain, in no order. */
    std::vector<std::shared_ptr<Backend>> serversIn(const FailureDomainId &failureDomain) const;
    /** True if the server may get new work. */
    bool isInService(const Backend &backend) const;
    std::shared_ptr<Backend> find(const ServerId &server) const;
    std::size_t size() const { return m_servers.size(); }
    const std::unordered_map<ServerId, std::shared_ptr<Backend>> &servers() const
    {
        return m_servers;
    }

private:
    void detach(const Backend &backend);

    std::unordered_map<ServerId, std::shared_ptr<Backend>> m_servers;
    std::unordered_map<ServiceId, std::vector<std::shared_ptr<Backend>>> m_byService;
    std::set<FailureDomainId> m_evacuated;
};

} // namespace greengagestair
