#pragma once

#include "GatewayFixture.h"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace greengagestair {

/** What a server of an ObservationFleet does with requests. */
struct ServerState
{
    double refuses = 0;  ///< probability that it refuses a request
    double fails = 0;    ///< probability that it answers 500
    bool hangs = false;  ///< it never answers
    double slowness = 1; ///< factor on its working time
};

/** A fleet of entry hosts, its servers and what happens to them. */
struct ObservationPattern
{
    bool isShared = true; ///< the hosts tell each other what they see of servers
    std::size_t hosts = 24;
    std::size_t domains = 3;
    std::size_t shards = 16;
    std::size_t replicas = 3;
    double queriesPerSecond = 1.5; ///< of one host
    double minCoverage = 0.85;
    Duration meanWork = 11ms;
    std::size_t maxAttempts = 3;
    Duration warmUp = 4s; ///< after the servers have got into their states; not counted
    Duration length = 12s;
    /** State of a server; `random` is a number from 0 to 1 that is fixed for each server. */
    std::function<ServerState(const ServerId &, double random, Duration sinceStart)> state;
    /** True if messages of one host do not reach the other. */
    std::function<bool(const HostEntry &from, const HostEntry &to, Duration sinceStart)> isLost =
            [](const HostEntry &, const HostEntry &, Duration) { return false; };
    /** Changes a message that a host sends. */
    std::function<void(const HostEntry &from, ServerObservations &message)> change =
            [](const HostEntry &, ServerObservations &) {};
    /** True if requests of one failure domain do not reach the other; they get no response. */
    std::function<bool(const FailureDomainId &from, const FailureDomainId &to)> isCut =
            [](const FailureDomainId &, const FailureDomainId &) { return false; };
};

/** What became of the queries of an ObservationFleet after its warm-up. */
struct ObservationOutcome
{
    std::size_t queries = 0;
    std::size_t inTime = 0;   ///< answered with the minimum coverage within the latency target
    std::size_t answered = 0; ///< answered with the minimum coverage
    std::size_t parts = 0;
    std::size_t repeats = 0;
    std::size_t refusals = 0;                    ///< attempts that a server refused
    std::map<std::string, std::size_t> served;   ///< attempts by server
    std::map<std::string, std::size_t> messages; ///< observation messages by sending host
    std::size_t messageBytes = 0;                ///< encoded size of all observation messages

    double inTimeShare() const
    {
        return static_cast<double>(inTime) / static_cast<double>(queries);
    }
    double answeredShare() const
    {
        return static_cast<double>(answered) / static_cast<double>(queries);
    }
};

/**
 * A small fleet of gateways in virtual time, whose queries gather from the shards of an index.
 * Messages between hosts and requests to servers take 0.7 ms in a failure domain, 1.4 ms elsewhere.
 */
class ObservationFleet
{
public:
    ObservationFleet(ObservationPattern pattern, std::uint64_t seed);

    ObservationOutcome run();
    /** The live hosts, as they are listed. */
    const std::vector<HostEntry> &hosts() const { return m_entries; }

private:
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
    struct Host
    {
        std::unique_ptr<Gateway> gateway;
        std::optional<MonotonicTime> wakeUpAt;
        std::set<AttemptId> open;
        std::map<ExchangeId, MonotonicTime> arrivals;
        std::uint64_t lastExchange = 0;
        std::map<std::string, std::size_t> attempts; ///< by request and shard
    };
    struct Waiting
    {
        std::size_t host;
        StartAttempt attempt;
    };
    struct Server
    {
        BackendRegistration registration;
        double random = 0;
        std::size_t running = 0;
        std::deque<Waiting> waiting;
    };

    void configure();
    void after(Duration delay, Action action);
    void send(std::size_t host, const GatewayEvent &event);
    void armTimer(std::size_t host);
    void query(std::size_t host);
    void apply(std::size_t host, const GatewayEffect &effect);
    void deliver(std::size_t from, const SendToHost &effect);
    void arrive(std::size_t host, const StartAttempt &attempt);
    void work(const std::string &server, const Waiting &request);
    void finish(std::size_t host, const StartAttempt &attempt, int status, bool isRefused);
    void end(std::size_t host, AttemptId attempt, const AttemptResult &result);
    void count(std::size_t host, const ReplyToCaller &reply);
    Duration latency(const FailureDomainId &one, const FailureDomainId &other) const;
    Duration sinceStart() const { return m_now - m_start; }
    bool isCounted() const { return sinceStart() >= m_pattern.warmUp; }
    double uniform() { return std::uniform_real_distribution<>()(m_random); }

    ObservationPattern m_pattern;
    std::mt19937_64 m_random;
    MonotonicTime m_now { 100s };
    MonotonicTime m_start { 100s };
    std::vector<HostEntry> m_entries;
    std::vector<Host> m_hosts;
    std::map<std::string, Server> m_servers;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    ObservationOutcome m_outcome;
};

} // namespace greengagestair
