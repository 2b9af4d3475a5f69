#pragma once

#include "GatewayFixture.h"

#include <functional>
#include <map>
#include <queue>
#include <random>

namespace greengagestair {

/** A load pattern for LoadSimulation. */
struct LoadPattern
{
    std::size_t shards = 10;
    double queriesPerSecond = 25;
    Duration meanWork = 11ms; ///< time that a server works on a part
    std::size_t slots = 2;    ///< parts that a server works on at a time
    std::size_t queueLimit = 12;
    int hostsOwnDomain = 2; ///< entry hosts, among which connections are divided
    int hostsElsewhere = 5;
    double slack = 54; ///< joint slack for repeats
    Duration length = 10s;
    /** Probability that this server refuses a request that it has room for. */
    std::function<double(const ServerId &)> refusalProbability = [](const ServerId &) {
        return 0.0;
    };
    /** Failure domains of the three servers of each shard. */
    std::vector<std::string> domains { "shubra", "bulaq", "helwan" };
};

/** What became of the queries of a LoadSimulation. */
struct LoadOutcome
{
    std::size_t queries = 0;
    std::size_t answered = 0; ///< answered with at least the minimum coverage
    std::size_t inTime = 0;   ///< answered within the latency target
    std::size_t refused = 0;  ///< refused as not run
    std::size_t failed = 0;   ///< ended otherwise
    std::size_t arrivals = 0; ///< attempts that reached a server
    std::size_t repeats = 0;  ///< those beyond the first of each part
    Duration longestRefusal {};

    double answeredShare() const
    {
        return static_cast<double>(answered) / static_cast<double>(queries);
    }
    double inTimeShare() const
    {
        return static_cast<double>(inTime) / static_cast<double>(queries);
    }
};

/**
 * One gateway under a load of gathering queries in virtual time. Its servers have slots and a
 * queue, work for random times and may refuse requests; the network takes no time.
 */
class LoadSimulation
{
public:
    LoadSimulation(LoadPattern pattern, std::uint64_t seed);

    LoadOutcome run();
    GatewayFixture &fixture() { return m_fixture; }

private:
    struct Server
    {
        std::size_t running = 0;
        std::deque<StartAttempt> waiting;
    };
    struct Completion
    {
        MonotonicTime at;
        StartAttempt attempt;
        bool operator<(const Completion &other) const { return at > other.at; }
    };

    void configure();
    void collect();
    void arrive(const StartAttempt &attempt);
    void work(Server &server, const StartAttempt &attempt);
    void complete(const Completion &completion);
    void onReply(const ReplyToCaller &reply);
    double uniform() { return std::uniform_real_distribution<>()(m_random); }

    LoadPattern m_pattern;
    std::mt19937_64 m_random;
    GatewayFixture m_fixture;
    std::map<std::string, Server> m_servers;
    std::priority_queue<Completion> m_completions;
    std::map<std::string, std::size_t> m_attemptsOfPart; ///< by request and service
    std::map<ExchangeId, MonotonicTime> m_arrivals;
    LoadOutcome m_outcome;
};

} // namespace greengagestair
