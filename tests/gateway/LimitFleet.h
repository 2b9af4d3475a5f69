#pragma once

#include "gateway/JointServerLimits.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace greengagestair {

using namespace std::chrono_literals;

/** A fleet, the load of a server with a request limit, and what happens to the hosts. */
struct LimitPattern
{
    std::size_t hosts = 7;
    double limit = 26;       ///< requests per second that the server takes
    double demand = 60;      ///< requests per second for the server at all hosts together
    double loadedShare = 1;  ///< share of the hosts that get requests
    double restartShare = 0; ///< share of the hosts that are killed in each crowd
    double joinShare = 0;    ///< hosts that join, relative to `hosts`
    double freezeShare = 0;  ///< share of the hosts that stand still for some seconds
    double cutShare = 0;     ///< share of the pairs of hosts with messages in one direction only
    bool isIssuerKilled = false; ///< the issuing host is killed, and leaves the list later
    Duration length = 24s;
};

/** Result of a LimitFleet. */
struct LimitOutcome
{
    double worstUse = 0; ///< requests relative to what the rule allows in the worst span
    double lastUse = 0;  ///< requests relative to the limit in the last seconds
    std::size_t messages = 0;
};

/**
 * The requests of a fleet to one server in virtual time, without network. Requests wait for a
 * permit for a short time, since there is no other server. The rule is the users': in any 4 s, the
 * hosts that have passed on the limit half a second ago or earlier send one and a half times what
 * it allows, and 5 requests.
 */
class LimitFleet
{
public:
    LimitFleet(const LimitPattern &pattern, std::uint64_t seed);
    LimitOutcome run();

private:
    struct Host
    {
        HostId id;
        std::unique_ptr<JointServerLimits> limits;
        std::unique_ptr<Backend> backend;
        bool isLoaded = false;
        std::optional<MonotonicTime> toldAt; ///< the host first passed on the limit
        MonotonicTime absentUntil;           ///< the process does not run before
        MonotonicTime frozenUntil;
    };
    using Action = std::function<void()>;
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
    void startProcess(std::size_t host);
    /** Each host reads the current list after a delay of its own. */
    void publishList();
    bool isListed(std::size_t host) const { return m_isListed[host]; }
    void arrive();
    void request(std::size_t host, MonotonicTime until, bool isNew);
    void respond(std::size_t host, MonotonicTime startedAt);
    void deliver(std::size_t from, std::size_t to, const PeerMessage &message);
    void sendEffects(std::size_t from);
    void disturb();
    void restartSome();
    bool isDisturbed(double share);
    void countArrival(const Host &host);
    std::size_t indexOf(const HostId &host) const;

    LimitPattern m_pattern;
    std::mt19937_64 m_random;
    MonotonicTime m_now { 100s };
    MonotonicTime m_start { 100s };
    std::vector<Host> m_hosts;
    std::vector<bool> m_isListed;
    HostList m_list;
    GatewayEffects m_effects;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::deque<MonotonicTime> m_counted; ///< arrivals that the rule counts, in the last window
    std::size_t m_lastArrivals = 0;      ///< arrivals in the time for lastUse
    LimitOutcome m_outcome;
};

} // namespace greengagestair
