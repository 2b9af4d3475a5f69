#pragma once

#include "gateway/Gateway.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace greengagestair {

using namespace std::chrono_literals;

/** How the servers of a version misbehave. */
struct VersionFault
{
    double failShare = 0; ///< of the answers
    double slowShare = 0; ///< of the answers, which take `slowFactor` times as long
    double slowFactor = 4;
    Duration from {};         ///< time after the order
    double minServerRate = 0; ///< requests per second at one server from which on it shows
    std::string route {};     ///< empty: on all routes

    bool isBad() const { return failShare > 0 || slowShare > 0; }
};

/** A fleet whose operator orders a roll-out. */
struct RolloutPattern
{
    std::size_t hosts = 7;
    double requestsPerSecond = 200;
    std::size_t oldServers = 4;
    std::size_t newServers = 4;
    Duration newServersAt = -3s; ///< their start, counted from the order
    Duration duration = 40s;     ///< of the order
    VersionFault fault;          ///< of version v2
    Duration serverTime = 20ms;  ///< mean time of an answer
    double lostAnswers = 0;      ///< share of the writes that take effect, but get no answer
    double lateEffects = 0; ///< share of the writes that get no answer and take effect 3 s later
};

/** Result of a RolloutFleet. */
struct RolloutOutcome
{
    std::size_t requests = 0;              ///< that arrived between the order and its deadline
    std::size_t exposed = 0;               ///< attempts at v2 between the order and its deadline
    std::size_t badAnswers = 0;            ///< of v2
    std::optional<Duration> fiftiethBadAt; ///< after the order
    std::optional<Duration> lastExposedAt; ///< last attempt at v2, after the order
    std::size_t lost = 0;          ///< requests in progress when their server stopped at `complete`
    std::size_t sentToStopped = 0; ///< requests to servers that had stopped at `complete`
    std::size_t runTwice = 0;      ///< requests that must not be repeated, but ran at two servers
    std::size_t unanswered = 0;    ///< requests without a good answer
    std::vector<std::string> statuses; ///< "STATE VERSION" as written, without repetitions
    std::optional<Duration> endedAt;   ///< of the first final status, after the order
};

/**
 * Hosts, a store and backend servers in virtual time, without network. Hosts read the store through
 * events as StoreWatcher passes them on. The platform stops old servers when a status says that a
 * roll-out is complete, and drains new ones after one was rolled back.
 */
class RolloutFleet
{
public:
    using Action = std::function<void()>;

    RolloutFleet(const RolloutPattern &pattern, std::uint64_t seed);
    ~RolloutFleet();
    /** Runs until `end` after the order, which is written at 0. */
    RolloutOutcome run(Duration end);
    /** Does something at a time counted from the order; call before run(). */
    void at(Duration time, Action action);

    // Actions
    void order(const std::string &version, Duration duration);
    void removeOrder();
    void startServers(const std::string &version, std::size_t count);
    void stopServers(const std::string &version);
    void setStoreUp(bool isUp) { m_isStoreUp = isUp; }
    void kill(std::size_t host);
    /** The process gets no event for a while; all that arrive come afterwards. */
    void freeze(std::size_t host, Duration time);
    void cutFromStore(std::size_t host, bool isCut);
    void cutFromHosts(std::size_t host, bool isCut);
    /** The host gets no new host list while it is set. */
    void keepHostList(std::size_t host, bool isKept);
    /** Index of the first or second coordinator among the hosts that live. */
    std::size_t coordinator(std::size_t rank) const;
    /** Attempts at a version by one host since the last call. */
    std::size_t takeAttempts(std::size_t host, const std::string &version);
    std::size_t attempts(const std::string &version) const;
    std::optional<RolloutState> state() const { return m_state; }
    Duration now() const { return m_now - m_orderedAt; }

private:
    struct Host
    {
        HostEntry entry;
        std::unique_ptr<Gateway> gateway;
        std::optional<MonotonicTime> armedFor;
        MonotonicTime frozenUntil;
        std::vector<GatewayEvent> held; ///< arrived while it was frozen
        bool isCutFromStore = false;
        bool isCutFromHosts = false;
        bool keepsHostList = false;
        std::uint64_t seenRevision = 0;
        std::map<std::string, std::size_t> attempts; ///< by version
    };
    struct Server
    {
        BackendRegistration registration;
        bool isRunning = true;
        bool hasStoppedAtComplete = false;
        std::vector<MonotonicTime> recent; ///< starts of requests in the last second
    };
    struct Attempt
    {
        std::size_t host;
        StartAttempt start;
        std::string version;
        bool isEnded = false;
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

    void after(Duration delay, Action action);
    void runUntil(MonotonicTime end);
    void send(std::size_t host, const GatewayEvent &event);
    void arm(std::size_t host);
    void arrive();
    void readStore(std::size_t host);
    void publishHosts();
    HostsRead hostList() const;
    void startAttempt(std::size_t host, const StartAttempt &start);
    void endAttempt(const std::shared_ptr<Attempt> &attempt, const AttemptResult &result);
    AttemptResult resultOf(const Attempt &attempt, bool isBad) const;
    bool draws(double share);
    bool isFaulty(Server &server, const std::string &route);
    void deliver(std::size_t from, const SendToHost &message);
    void write(std::size_t host, const RolloutWrite &write);
    bool commit(const RolloutWrite &write);
    void onStatus(const RolloutState &state);
    bool isLive(std::size_t host) const { return m_hosts[host].gateway != nullptr; }

    RolloutPattern m_pattern;
    std::mt19937_64 m_random;
    MonotonicTime m_now { 100s };
    MonotonicTime m_orderedAt;
    std::vector<Host> m_hosts;
    std::map<ServerId, Server> m_servers;
    std::vector<std::shared_ptr<Attempt>> m_attempts;
    std::map<ExchangeId, std::set<ServerId>> m_ranAt; ///< of requests that must not be repeated
    std::optional<RolloutOrder> m_order;
    std::optional<RolloutState> m_state;
    std::uint64_t m_revision = 100;
    bool m_isStoreUp = true;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventOrder = 0;
    std::uint64_t m_lastExchange = 0;
    std::uint64_t m_lastServer = 0;
    RolloutOutcome m_outcome;
};

} // namespace greengagestair
