#pragma once

#include "gateway/quota/TenantQuotas.h"

#include <chrono>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace greengagestair {

using namespace std::chrono_literals;

/** A fleet and the load of one tenant. */
struct QuotaPattern
{
    std::size_t hosts = 7;
    double rate = 16;       ///< limit in requests per second
    double burst = 16;      ///< limit's burst
    double demand = 10;     ///< requests per second of the tenant at all hosts together
    double loadedShare = 1; ///< share of the hosts that get requests
    std::string tenant = "builders";
};

/** Result of a QuotaFleet. */
struct QuotaOutcome
{
    double worstUse = 0; ///< requests relative to what the limit allows in the worst window
    Duration worstAt {}; ///< begin of that window
    std::size_t requests = 0;
    std::size_t admitted = 0;
    std::size_t refused = 0;
    std::size_t waited = 0; ///< requests that were not decided at once
    std::size_t messages = 0;
    Duration longestWait {};
    std::size_t lost = 0; ///< requests without any decision, except those of crashed hosts
};

/**
 * The requests of a tenant to a fleet in virtual time, without network. Hosts and their connections
 * are disturbed by actions that tests schedule with at().
 */
class QuotaFleet
{
public:
    using Action = std::function<void()>;

    QuotaFleet(const QuotaPattern &pattern, std::uint64_t seed);

    /** Schedules an action at a time after the start of the load. */
    void at(Duration time, Action action);
    /** Runs for so long and returns what was seen between `from` and the end. */
    QuotaOutcome run(Duration length, Duration from = Duration(0));

    void setDemand(double demand) { m_demand = demand; }
    /** Hosts read the new limit within 5 s. */
    void setLimit(double rate, double burst);
    /** Kills processes; each starts again after `downTime`, or leaves the list if there is none. */
    void crash(std::size_t host, std::optional<Duration> downTime);
    void crashAll(Duration downTime);
    /** The host refers others to the standby, leaves the list and ends after 3 s. */
    void stop(std::size_t host);
    void join(std::size_t hosts);
    void freeze(std::size_t host, Duration time);
    /**
     * Cuts this share of the hosts off from the others, and from the platform as well if
     * `fromPlatform` says so; then the list loses them 10 to 15 s later. 0 ends the cut.
     */
    void cut(double share, bool fromPlatform);
    /** Cuts single hosts off from the others, but not from the platform. */
    void cutHosts(const std::vector<std::size_t> &hosts);
    void heal() { cut(0, false); }
    /** Takes the platform away from all hosts, or gives it back. */
    void setPlatform(bool isThere) { m_isPlatformThere = isThere; }
    /** Index of the host at a place of the tenant's ranking. */
    std::size_t ranked(std::size_t place) const;

private:
    struct Host
    {
        HostId id;
        std::unique_ptr<TenantQuotas> quotas;
        bool isLoaded = false;
        bool isListed = true;
        bool isCut = false;
        bool isOffPlatform = false;
        std::uint64_t process = 0;
        MonotonicTime absentUntil;
        MonotonicTime frozenUntil;
        std::optional<MonotonicTime> wakeUpAt;
        std::unordered_map<ExchangeId, MonotonicTime> waiting;
    };
    struct Event
    {
        MonotonicTime at;
        std::uint64_t order;
        Action action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    using HostList = std::shared_ptr<const std::vector<HostEntry>>;

    void after(Duration delay, Action action);
    void addHost();
    void startProcess(std::size_t index);
    void publishList();
    bool isInTouch(const Host &host) const { return m_isPlatformThere && !host.isOffPlatform; }
    void touchPlatform(std::size_t index, std::uint64_t process);
    void arrive();
    void request(std::size_t index);
    void admitted();
    /** Runs a step of a host and carries out its effects, later if the host is frozen. */
    void step(std::size_t index, std::uint64_t process,
              const std::function<void(TenantQuotas &)> &input);
    void transmit(std::size_t from, std::size_t to, const PeerMessage &message);
    void losePeer(std::size_t index, std::size_t peer, bool isRefused, Duration delay);
    double worstUse(MonotonicTime from);
    std::vector<Tenant> tenants() const;

    QuotaPattern m_pattern;
    QuotaOptions m_options;
    std::mt19937_64 m_random;
    double m_demand;
    MonotonicTime m_now { 100s };
    MonotonicTime m_start { 100s };
    std::vector<Host> m_hosts;
    HostList m_list;
    bool m_isPlatformThere = true;
    GatewayEffects m_effects;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_exchanges = 0;
    struct Limit
    {
        MonotonicTime inForceFrom; ///< windows that begin then have to keep it
        double rate = 0;
        double burst = 0;
    };
    std::vector<Limit> m_limits;
    MonotonicTime m_worstAt;
    std::vector<MonotonicTime> m_admitted; ///< times of all requests that were sent
    QuotaOutcome m_outcome;
};

} // namespace greengagestair
