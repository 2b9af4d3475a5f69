#pragma once

#include "gateway/GatewayEffect.h"
#include "http/HeaderNames.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagestair {

class BackendConnection;

/** Counters of the connections to backend servers. */
struct BackendConnectionCounters
{
    std::uint64_t opened = 0;         ///< connections
    std::uint64_t reused = 0;         ///< requests sent on a connection that was open
    std::uint64_t strayResponses = 0; ///< responses to another request, dropped
};

/**
 * Sends requests to backend servers over kept-open connections, one request at a time on each. Each
 * attempt ends with one report, never from within start() or release().
 */
class BackendConnectionPool
{
public:
    using OnAttemptEnded = std::function<void(AttemptId attempt, AttemptResult result)>;
    /** Reports the end of openIdleConnection(). */
    using OnConnectionAttemptEnded = std::function<void(const ServerId &server, bool isConnected)>;

    BackendConnectionPool(boost::asio::io_context &context, HeaderNames names,
                          OnAttemptEnded onEnded, OnConnectionAttemptEnded onTried);
    ~BackendConnectionPool();

    void start(const StartAttempt &attempt);
    /** Opens a connection for later requests; never reports from within this call. */
    void openIdleConnection(const OpenConnection &wanted);
    /** Closes the connection of the attempt unless it has ended after `linger`. */
    void release(const ReleaseAttempt &attempt);
    /** Closes the idle connections to a server that has left. */
    void closeIdleConnections(const ServerId &server);
    /** Closes all connections. */
    void stop();

    const BackendConnectionCounters &counters() const { return m_counters; }
    std::size_t idleConnections() const;

private:
    friend class BackendConnection;
    using Clock = std::chrono::steady_clock;

    struct ServerConnections
    {
        Endpoint endpoint;
        std::vector<std::shared_ptr<BackendConnection>> idle; ///< the last used one at the end
    };

    /** A connection that is to be closed: after its attempt was released, or while connecting. */
    struct ScheduledClose
    {
        AttemptId attempt;
        bool isReleased = false;
    };

    void endAttempt(AttemptId attempt, AttemptResult result);
    /** A connection that was opened ahead is open, or will not be. */
    void finishOpening(const std::shared_ptr<BackendConnection> &connection, bool isConnected);
    ServerConnections &connectionsOf(const ServerId &server, const Endpoint &endpoint);
    void keepIdle(const std::shared_ptr<BackendConnection> &connection);
    void removeIdle(const BackendConnection *connection);
    void scheduleClose(Clock::time_point at, const ScheduledClose &closing);
    void armTimer();
    void onTimer();
    void closeExpiredIdle(Clock::time_point now);

    boost::asio::io_context &m_context;
    HeaderNames m_names;
    OnAttemptEnded m_onEnded;
    OnConnectionAttemptEnded m_onTried;
    std::unordered_map<ServerId, ServerConnections> m_servers;
    std::unordered_map<AttemptId, std::shared_ptr<BackendConnection>> m_active;
    /** Connections that are opened ahead, the oldest one first. */
    std::deque<std::pair<Clock::time_point, std::shared_ptr<BackendConnection>>> m_opening;
    std::multimap<Clock::time_point, ScheduledClose> m_closings;
    boost::asio::steady_timer m_timer;
    Clock::time_point m_timerAt = Clock::time_point::max();
    Clock::time_point m_idleCheckAt;
    BackendConnectionCounters m_counters;
};

} // namespace greengagestair
