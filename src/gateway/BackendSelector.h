#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/ConnectionPlan.h"
#include "gateway/DomainReachability.h"
#include "gateway/GatewayOptions.h"
#include "gateway/JointServerLimits.h"
#include "gateway/RoutingConfiguration.h"
#include "gateway/observations/SharedObservations.h"
#include "gateway/pace/ReturnPacing.h"
#include "gateway/rollout/VersionFilter.h"

#include <memory>
#include <vector>

namespace greengagestair {

/** Restricts the backend servers that may get the next attempt of a part. */
struct ServerFilter
{
    const std::vector<ServerId> &excluded;       ///< servers that must not be chosen
    const std::vector<ServerId> *only = nullptr; ///< if set, no other servers may be chosen
    /** Servers that have asked for a pause until after this time are no candidates. */
    MonotonicTime usableBy {};
    bool mayWait = false;      ///< the part may wait for a permit of a server with a request limit
    bool isWaiting = false;    ///< the part waits already, so its demand has been counted
    bool mayTry = false;       ///< a server that others have found in a bad state may be chosen
    bool isRepeat = false;     ///< the attempt is a retry or a hedge
    VersionFilter versions {}; ///< by the roll-out of the service

    /** True if the server may be chosen. */
    bool allows(const BackendRegistration &registration) const;
};

/** Why a server gets no request now. Parts can wait for servers that lack only what is listed from
 * NoCapacity on. */
enum class ServerExclusion {
    Draining,     ///< it accepts no new requests, by its registration or its own statement
    OutOfService, ///< operators have taken its failure domain out of service
    Unreachable,  ///< no server of its failure domain responds
    Misdirected,  ///< another server has answered at its address
    Paused,       ///< it has asked for a pause
    NoCapacity,   ///< this host has as many requests in progress there as it may
    ColdLimit,    ///< it may be cold, and this host has used its share of the cold limit
    Pace          ///< it is returning and has no credit; used if there is no other
};

/** What BackendSelector knows of a server for the next request. */
struct ServerOutlook
{
    std::shared_ptr<const Backend> backend;
    Duration cost {};                        ///< the server with the lowest cost is chosen
    std::vector<ServerExclusion> exclusions; ///< empty: the server can be chosen
};

/**
 * Chooses the backend server for each attempt, by the expected response time, the limits on
 * connections and cold servers, and what the servers say of themselves. RequestDispatcher calls it.
 * The limits on connections and cold servers hold for all entry hosts together and are divided by
 * their number, without messages between them; JointServerLimits keeps the limits that servers
 * name.
 */
class BackendSelector
{
public:
    BackendSelector(SelectorOptions options, const BackendDirectory &directory,
                    const DomainReachability &reachability, JointServerLimits &limits,
                    SharedObservations &observations);

    /** Replaces the options given to the constructor. */
    void setOptions(const SelectorOptions &options) { m_options = options; }
    /** Sets the start of this process, whose predecessor may have used its shares just before. */
    void setStartedAt(MonotonicTime time) { m_startedAt = time; }
    /** Sets the number of entry hosts among which joint limits are divided. */
    void setHostCount(const HostCount &hosts);

    /** The pace of returning servers, which needs to know what is sent and how it ends. */
    ReturnPacing &pacing() { return m_pacing; }
    const ReturnPacing &pacing() const { return m_pacing; }

    /**
     * The server with the lowest expected cost among those that are in service and reachable, have
     * capacity and pass the filter; null if there is none, or if a permit of that server is due in
     * a moment and the part may wait for it. A returning server beyond its pace is chosen only if
     * there is no other. `typical` is the usual time of such a request, which
     * is assumed for servers without recent responses.
     */
    std::shared_ptr<Backend> choose(const BackendService &service, Duration typical,
                                    const ServerFilter &filter, MonotonicTime now);
    /**
     * All servers of the service in the order in which they would be chosen, those that are
     * excluded last. Uses nothing up. Permits of servers that name a limit are not considered.
     */
    std::vector<ServerOutlook> outlook(const BackendService &service, Duration typical,
                                       MonotonicTime now) const;
    /** This host's share of the idle connections that the server accepts from all entry hosts. */
    IdleConnectionLimits idleLimitsFor(const BackendService &service, const Backend &backend) const;
    /**
     * True if a server that passes the filter is in service and reachable, even without capacity or
     * during a pause that ends in time.
     */
    bool hasCandidate(const BackendService &service, const ServerFilter &filter,
                      MonotonicTime now) const;
    /** True if the service has servers in service, but all are in unreachable failure domains. */
    bool isCutOff(const ServiceId &service) const;

    /** True if the server is in this host's failure domain. */
    bool isOwnDomain(const Backend &backend) const
    {
        return backend.registration.failureDomain == m_options.failureDomain;
    }

private:
    /** Divides a new request for the service over its servers by their pace. */
    void addPacedDemand(const BackendService &service, MonotonicTime now);
    /** The server with the lowest cost, without regard to request limits; null if there is none. */
    std::shared_ptr<Backend> cheapest(const BackendService &service, const ServiceShares &shares,
                                      Duration typical, const ServerFilter &filter,
                                      const std::vector<const Backend *> &skipped,
                                      MonotonicTime now);
    bool isUsable(const Backend &backend) const;
    /** This host's share of the requests that a cold server of the service bears in a second. */
    double coldShare(const BackendService &service, MonotonicTime now) const;
    static bool hasConnection(const ServiceShares &shares, const Backend &backend);
    bool isWithinColdLimit(const BackendService &service, const Backend &backend,
                           MonotonicTime now) const;
    std::vector<ServerExclusion> exclusionsOf(const BackendService &service,
                                              const ServiceShares &shares, const Backend &backend,
                                              MonotonicTime now) const;
    Duration cost(const ServiceShares &shares, const Backend &backend, Duration typical,
                  bool isRepeat, MonotonicTime now) const;

    SelectorOptions m_options;
    const BackendDirectory &m_directory;
    const DomainReachability &m_reachability;
    JointServerLimits &m_limits;
    SharedObservations &m_observations;
    ConnectionPlan m_connections;
    ReturnPacing m_pacing;
    std::size_t m_hostCount = 0; ///< 0 until it is known
    MonotonicTime m_startedAt;
    std::size_t m_rotation = 0;
};

} // namespace greengagestair
