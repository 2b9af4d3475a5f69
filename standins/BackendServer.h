#pragma once

#include "standins/HttpServer.h"
#include "standins/ServerOptions.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace greengagestair::standins {

/** Executions of the bodies that carry `"once": "<identifier>"`, over all servers. */
using ExecutionLog = std::unordered_map<std::string, int>;

/** Key ranges, as JSON text, by index version and group of one service. */
using KeyRanges = std::map<std::pair<std::int64_t, std::string>, std::string>;

/** Identity of one simulated backend server. */
struct ServerIdentity
{
    std::string name;
    std::string service;
    std::string group;
    std::string failureDomain;
    boost::asio::ip::tcp::endpoint endpoint;
};

/**
 * One simulated backend server: slots, a short queue, connection limit, cold start, draining,
 * cancellation, deadlines and index versions. A body that contains `"crash"` brings it down when
 * it runs. It counts what it was asked to do beyond what it bears.
 */
class BackendServer : public std::enable_shared_from_this<BackendServer>
{
public:
    BackendServer(boost::asio::io_context &context, ServerIdentity identity, ServerOptions options,
                  std::uint64_t seed, std::shared_ptr<ExecutionLog> executions,
                  std::shared_ptr<const KeyRanges> ranges);

    const ServerIdentity &identity() const { return m_identity; }
    ServerOptions &options() { return m_options; }
    /** Where it listens, with the port that the system chose if 0 was asked for. */
    boost::asio::ip::tcp::endpoint endpoint() const { return m_server->endpoint(); }

    void open();
    /** Loses all work, resets all connections and refuses new ones until `restart`. */
    void kill();
    /** Listens again, cold. */
    void restart();
    /** Loses the caches without warning; work goes on. */
    void turnCold();
    void setDraining(bool draining);
    /** Work that arrives later than `leaveGrace` from now on counts as a violation. */
    void setLeaving(bool leaving);
    void setVersions(std::vector<std::int64_t> versions) { m_versions = std::move(versions); }
    void resetCounters();
    boost::json::object report() const;

private:
    using Clock = std::chrono::steady_clock;
    using Answer = boost::asio::awaitable<std::optional<HttpResponse>>;
    struct Job;

    struct Counters
    {
        std::int64_t requests = 0;
        std::int64_t executions = 0;
        std::int64_t answers = 0;
        std::int64_t shed = 0;
        std::int64_t refusedDraining = 0;
        std::int64_t refusedCold = 0;
        std::int64_t versionNotHeld = 0;
        std::int64_t deadlinePassed = 0;
        std::int64_t cancelled = 0;
        std::int64_t falls = 0;
        std::int64_t crashes = 0;
        std::int64_t aboveSlots = 0;
        std::int64_t aboveColdLimit = 0;
        std::int64_t workAfterLeaving = 0;
        std::int64_t mostInFlight = 0;
        std::int64_t lastWorkAfterLeavingMs = -1;
    };

    Answer answer(HttpRequest request);
    Answer runPart(HttpRequest request);
    std::optional<HttpResponse> refusal(const HttpRequest &request);
    bool refusesForCold();
    void noteArrival();
    void finish(const std::shared_ptr<Job> &job);
    void cancel(const std::string &id);
    void fallOver();
    void becomeCold();
    void loseWork();
    std::int64_t inFlight() const;
    std::chrono::microseconds drawServiceTime();
    HttpResponse partAnswer(const Job &job) const;

    boost::asio::io_context &m_context;
    const ServerIdentity m_identity;
    ServerOptions m_options;
    std::mt19937_64 m_random;
    std::shared_ptr<ExecutionLog> m_executions;
    std::shared_ptr<const KeyRanges> m_ranges;
    std::shared_ptr<HttpServer> m_server;
    std::vector<std::shared_ptr<Job>> m_running;
    std::deque<std::shared_ptr<Job>> m_waiting;
    std::vector<std::int64_t> m_versions { 1 };
    bool m_cold;
    int m_answersSinceCold = 0;
    Clock::time_point m_noticeEnd;
    bool m_killed = false;
    bool m_draining = false;
    std::optional<Clock::time_point> m_leavingSince;
    Counters m_counters;
};

} // namespace greengagestair::standins
