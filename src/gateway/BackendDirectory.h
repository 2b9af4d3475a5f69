#pragma once

#include "gateway/BackendLoad.h"
#include "gateway/PermitHolder.h"
#include "gateway/ServerNeeds.h"
#include "gateway/pace/ServerPace.h"
#include "greengagestair/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagestair {

/** A backend server's registration, as the server wrote it to the store. */
struct BackendRegistration
{
    ServerId server;
    ServiceId service;
    Endpoint endpoint;
    FailureDomainId failureDomain;
    std::size_t slots = 1;   ///< number of requests that the server runs at a time
    bool isDraining = false; ///< the server accepts no new requests
    Duration coldFor {};     ///< time for which the server stays cold after the registration
    std::uint64_t startedAt =
            0; ///< start of the server's process, milliseconds since the Unix epoch
    std::string softwareVersion; ///< empty if not stated
};

/** A registered backend server with the load and failures that this host has observed. */
struct Backend
{
    BackendRegistration registration;
    MonotonicTime coldUntil;               ///< the server is cold before this time
    MonotonicTime misdirectedUntil;        ///< another server answers at the address before then
    std::optional<MonotonicTime> removeAt; ///< set once the registration has disappeared
    BackendLoad load;
    ServerNeeds needs;
    ServerPace pace;                  ///< share of requests after a return; see ReturnPacing
    PermitHolder permits;             ///< used while the server names a request limit
    bool mayHaveRestarted = false;    ///< by another process; set by RestartDetector
    bool hasInvalidStatement = false; ///< a field of a response could not be read; logged once
};

/**
 * The registered backend servers and the failure domains that operators have taken out of service.
 * Gateway fills it from the store; BackendSelector reads it. A server whose registration has
 * disappeared can stay for some time, since live servers register again after an outage of the
 * store.
 */
class BackendDirectory
{
public:
    /**
     * Adds or updates a server and cancels its removal. The observed load is kept unless the
     * process, the service or the endpoint has changed; then only the requests of the last second
     * are, since the new process may have got them. Does nothing if the server was displaced
     * and its process is still the same.
     */
    void put(const BackendRegistration &registration, MonotonicTime now);
    /**
     * Removes the other servers at the address of a server that has just registered: they have
     * ended, although their registrations have not expired yet. Returns the removed registrations.
     */
    std::vector<BackendRegistration> displaceOthers(const BackendRegistration &registered);
    /** Allows put() to add a server again that displaceOthers() has removed. */
    void forgetDisplaced(const ServerId &server) { m_displaced.erase(server); }
    /** Calls forgetDisplaced() for all servers that are not in `listed`. */
    void forgetDisplacedExcept(const std::set<ServerId> &listed);
    /** Removes a server immediately. */
    void remove(const ServerId &server);
    /** Schedules a server's removal; put() cancels it, and a removal scheduled before stays. */
    void removeLater(const ServerId &server, MonotonicTime at);
    /** Servers of the directory that are not in `listed`. */
    std::vector<ServerId> absentFrom(const std::set<ServerId> &listed) const;
    /** Removes the servers whose scheduled removal is due and returns their registrations. */
    std::vector<BackendRegistration> removeDue(MonotonicTime now);
    /** Time of the next scheduled removal; nullopt if there is none. */
    std::optional<MonotonicTime> nextRemoval() const;

    /** Replaces the set of failure domains that are out of service. */
    void setEvacuated(std::set<FailureDomainId> failureDomains);
    /** Failure domains that operators have taken out of service. */
    const std::set<FailureDomainId> &evacuated() const { return m_evacuated; }

    /** All servers of a service, including draining ones and those out of service. */
    const std::vector<std::shared_ptr<Backend>> &serversOf(const ServiceId &service) const;
    /** All servers of a failure domain, in unspecified order. */
    std::vector<std::shared_ptr<Backend>> serversIn(const FailureDomainId &failureDomain) const;
    /**
     * True if the server is neither draining by its registration nor leaving by its own responses,
     * which are seconds ahead of the store, and its failure domain is in service.
     */
    bool isInService(const Backend &backend) const;
    /** The server with this identifier; null if it is not registered. */
    std::shared_ptr<Backend> find(const ServerId &server) const;
    /** Number of servers in the directory. */
    std::size_t size() const { return m_servers.size(); }
    /** All servers by identifier. */
    const std::unordered_map<ServerId, std::shared_ptr<Backend>> &servers() const
    {
        return m_servers;
    }

private:
    void detach(const Backend &backend);
    void cancelRemoval(Backend &backend);

    std::unordered_map<ServerId, std::shared_ptr<Backend>> m_servers;
    std::unordered_map<ServiceId, std::vector<std::shared_ptr<Backend>>> m_byService;
    std::map<Endpoint, std::set<ServerId>> m_byEndpoint;
    std::set<std::pair<MonotonicTime, ServerId>> m_removals; ///< the scheduled ones by time
    std::unordered_map<ServerId, std::uint64_t> m_displaced; ///< start of the removed process
    std::set<FailureDomainId> m_evacuated;
};

} // namespace greengagestair
