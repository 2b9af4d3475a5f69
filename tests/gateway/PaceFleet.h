#pragma once

#include "GatewayFixture.h"

#include <functional>
#include <map>
#include <queue>
#include <random>

namespace greengagestair {

/** A load for PaceFleet: some servers of one service return at time 0. */
struct PaceLoad
{
    int hosts = 7;
    std::size_t servers = 4;
    std::size_t returning = 1;            ///< the first servers of the service
    double requestsPerSecond = 400;       ///< of the service, over all hosts
    Duration baseTime = 8ms;              ///< response time of an idle server
    Duration queueLimit = 100ms;          ///< requests that would wait longer are refused
    Duration returningQueueLimit = 100ms; ///< of the returning servers
    double steadyRate = 200;              ///< requests per second that a steady server bears
    /**
     * Requests per second that a returning server bears, also before its return; 0: it accepts no
     * connection.
     */
    std::function<double(Duration sinceReturn)> bears = [](Duration) { return 200.0; };
    bool isNewProcess = true;   ///< the returning servers register at time 0
    bool isKnownBefore = false; ///< they were registered before time 0, too
    bool isPaced = true;
    Duration before = 5s; ///< time of steady load before the return
    Duration length = 15s;
};

/** What happened in a PaceFleet from the return on. */
struct PaceOutcome
{
    std::size_t queries = 0;
    std::size_t answered = 0;
    std::size_t inTime = 0;   ///< answered within 100 ms
    std::size_t refused = 0;  ///< requests that the returning servers refused
    std::size_t late = 0;     ///< requests that waited 40 ms or longer in a returning server
    std::size_t arrivals = 0; ///< requests that reached the returning servers
    std::size_t arrivalsInFirstSecond = 0;
    /** First whole second from which on the returning servers got 70 % of their equal share. */
    std::optional<int> secondsToShare;
    Duration longestIdle {}; ///< longest time without a request at a returning server

    /** Adds the outcome of another run. */
    void add(const PaceOutcome &other);

    double answeredShare() const
    {
        return static_cast<double>(answered) / static_cast<double>(queries);
    }
    double inTimeShare() const
    {
        return static_cast<double>(inTime) / static_cast<double>(queries);
    }
};

/** Several gateways and the servers of one service in virtual time; the network takes none. */
class PaceFleet
{
public:
    PaceFleet(PaceLoad load, std::uint64_t seed);

    PaceOutcome run();

private:
    struct Server
    {
        std::size_t index = 0;
        MonotonicTime freeAt;
        std::vector<std::size_t> arrivalsBySecond;
        MonotonicTime lastArrival;
    };
    struct Completion
    {
        MonotonicTime at;
        std::size_t host = 0;
        StartAttempt attempt;
        bool operator<(const Completion &other) const { return at > other.at; }
    };

    void configure(GatewayFixture &fixture, std::size_t host) const;
    BackendRegistration registration(std::size_t server) const;
    void registerReturning();
    void step();
    void sendRequests();
    void collect(std::size_t host);
    void arrive(std::size_t host, const StartAttempt &attempt);
    void work(Server &server, std::size_t host, const StartAttempt &attempt);
    void count(Server &server);
    void onReply(const ReplyToCaller &reply, std::size_t host);
    double rateOf(const Server &server) const;
    bool isReturning(const Server &server) const { return server.index < m_load.returning; }
    std::optional<int> secondsToShare() const;

    PaceLoad m_load;
    std::mt19937_64 m_arrivals; ///< the same requests with the pace and without it
    std::mt19937_64 m_workTimes;
    std::vector<std::unique_ptr<GatewayFixture>> m_hosts;
    std::map<std::string, Server> m_servers;
    std::priority_queue<Completion> m_completions;
    std::map<std::pair<std::size_t, ExchangeId>, MonotonicTime> m_sent;
    MonotonicTime m_now;
    MonotonicTime m_nextRequest;
    MonotonicTime m_returnAt;
    bool m_hasReturned = false;
    PaceOutcome m_outcome;
};

} // namespace greengagestair
