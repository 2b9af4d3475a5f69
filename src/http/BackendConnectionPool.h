#pragma once

#include "gateway/GatewayEffect.h"
#include "http/HeaderNames.h"
#include "http/ResponseObserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagestair {

class BackendConnection;

/** Counters of a BackendConnectionPool since its creation, exported as metrics. */
struct BackendConnectionCounters
{
    std::uint64_t opened = 0;      ///< connections that the pool began to open
    std::uint64_t reused = 0;      ///< requests sent on an idle connection instead of a new one
    std::uint64_t openedAhead = 0; ///< those of `opened` that were opened without a request
    std::uint64_t closedIdleByServer = 0;  ///< idle connections that the server closed
    std::uint64_t closedIdleTimeout = 0;   ///< idle connections closed after their time
    std::uint64_t closedIdleLimit = 0;     ///< not kept: as many are idle as may be
    std::uint64_t closedAfterResponse = 0; ///< not reusable after a response
    std::uint64_t closedByFailure = 0;     ///< with an attempt that failed or was given up
    std::uint64_t strayResponses = 0;      ///< dropped: not the answer to the current request
};

/**
 * Sends the gateway's requests to backend servers over persistent HTTP/1.1 connections, without
 * pipelining. Used on the event loop only. Each attempt ends with exactly one call of
 * OnAttemptEnded, which is never made from within start() or release().
 */
class BackendConnectionPool
{
public:
    /** Reports the response to an attempt or why there is none. */
    using OnAttemptEnded = std::function<void(AttemptId attempt, AttemptResult result)>;
    /** Reports whether openIdleConnection() established a connection. */
    using OnConnectionAttemptEnded = std::function<void(const ServerId &server, bool isConnected)>;
    /** Reports that a server has closed the last connection to it, which was idle. */
    using OnLastConnectionLost = std::function<void(const ServerId &server)>;

    /**
     * Opens no connection yet. `names` holds the header fields shared with backend servers;
     * `observer` has to outlive the pool.
     */
    BackendConnectionPool(boost::asio::io_context &context, HeaderNames names,
                          OnAttemptEnded onAttemptEnded,
                          OnConnectionAttemptEnded onConnectionAttemptEnded,
                          OnLastConnectionLost onLastConnectionLost, ResponseObserver &observer);
    ~BackendConnectionPool();

    /** Sends a request on the most recently used idle connection to the server, or on a new one. */
    void start(const StartAttempt &attempt);
    /**
     * Opens a connection and keeps it idle for later requests. Ends with exactly one call of
     * OnConnectionAttemptEnded, which is never made from within this call.
     */
    void openIdleConnection(const OpenConnection &wanted);
    /**
     * Limits the remaining time of an attempt whose response is not needed any more. Unless the
     * attempt ends before, its connection is closed after `linger` and it ends as Expired, or as
     * NotSent if the connection is not established yet. Does nothing if the attempt has ended.
     */
    void release(const ReleaseAttempt &attempt);
    /**
     * Closes the idle connections to a server that has left. Attempts in progress continue; their
     * connections are closed afterwards, unless the server is used again by then.
     */
    void closeIdleConnections(const ServerId &server);
    /** Closes all connections. Attempts in progress end as Expired, from within this call. */
    void stop();

    /** Counters since the creation of the pool. */
    const BackendConnectionCounters &counters() const { return m_counters; }
    /** Greatest bound for setMaxBufferedBytes(), in bytes, and the default. */
    static constexpr std::size_t kMaxBufferedBytes = 33'554'432;
    /** Bounds the received bytes of all responses in progress together, for small machines. */
    void setMaxBufferedBytes(std::size_t bytes)
    {
        m_maxBufferedBytes = std::min(bytes, kMaxBufferedBytes);
    }
    /** The bound that setMaxBufferedBytes() set last, or the default. */
    std::size_t maxBufferedBytes() const { return m_maxBufferedBytes; }
    /** Bytes received so far of all responses in progress. */
    std::size_t bufferedBytes() const { return m_bufferedBytes; }
    /** Number of idle connections to all servers. */
    std::size_t idleConnections() const;

private:
    friend class BackendConnection;
    using Clock = std::chrono::steady_clock;

    struct ServerConnections
    {
        Endpoint endpoint;
        std::vector<std::shared_ptr<BackendConnection>> idle; ///< most recently used last
    };

    /**
     * A check of an attempt at a scheduled time. It closes a connection that is not established by
     * then, or any connection if the attempt was released.
     */
    struct ScheduledClose
    {
        AttemptId attempt;
        bool isReleased = false;
    };

    /** What the attempts of a request begin with; kept for the last request. */
    struct SharedHead
    {
        std::weak_ptr<const GatewayRequest> request;
        std::string text;
    };

    const std::string &sharedHead(const StartAttempt &attempt);
    void endAttempt(AttemptId attempt, AttemptResult result);
    /** Handles the end of openIdleConnection(), and the close of an idle connection. */
    void finishOpening(const std::shared_ptr<BackendConnection> &connection, bool isConnected);
    ServerConnections &connectionsTo(const ServerId &server, const Endpoint &endpoint);
    void keepIdle(const std::shared_ptr<BackendConnection> &connection);
    void removeIdle(const BackendConnection *connection);
    /** Handles the end of an idle connection by its server. */
    void onIdleLost(const ServerId &server);
    void scheduleClose(Clock::time_point at, const ScheduledClose &scheduled);
    void armTimer();
    void onTimer();
    void closeExpiredIdle(Clock::time_point now);

    boost::asio::io_context &m_context;
    HeaderNames m_names;
    OnAttemptEnded m_onAttemptEnded;
    OnConnectionAttemptEnded m_onConnectionAttemptEnded;
    OnLastConnectionLost m_onLastConnectionLost;
    ResponseObserver &m_observer;
    std::unordered_map<ServerId, ServerConnections> m_servers;
    std::unordered_map<AttemptId, std::shared_ptr<BackendConnection>> m_active;
    /** Connections of openIdleConnection() with their connect deadlines, the earliest first. */
    std::deque<std::pair<Clock::time_point, std::shared_ptr<BackendConnection>>> m_openingIdle;
    std::multimap<Clock::time_point, ScheduledClose> m_scheduledCloses;
    boost::asio::steady_timer m_timer;
    Clock::time_point m_timerExpiry = Clock::time_point::max();
    Clock::time_point m_nextIdleCheck;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_maxBufferedBytes = kMaxBufferedBytes;
    BackendConnectionCounters m_counters;
    SharedHead m_sharedHead;
};

} // namespace greengagestair
