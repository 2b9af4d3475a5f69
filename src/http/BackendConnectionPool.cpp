#include "http/BackendConnectionPool.h"

#include "http/BackendConnection.h"

#include <algorithm>

namespace greengagestair {

/** A server that is reachable accepts a connection within a fraction of this time. */
static constexpr std::chrono::milliseconds kConnectTimeout(400);
/** Idle connections are checked for their end at this interval. */
static constexpr std::chrono::milliseconds kIdleCheckInterval(500);

BackendConnectionPool::BackendConnectionPool(boost::asio::io_context &context, HeaderNames names,
                                             OnAttemptEnded onEnded,
                                             OnConnectionAttemptEnded onTried)
    : m_context(context)
    , m_names(std::move(names))
    , m_onEnded(std::move(onEnded))
    , m_onTried(std::move(onTried))
    , m_timer(context)
{
}

BackendConnectionPool::~BackendConnectionPool() = default;

void BackendConnectionPool::start(const StartAttempt &attempt)
{
    auto &idle = connectionsOf(attempt.server, attempt.endpoint).idle;
    if (!idle.empty()) {
        const auto connection = idle.back();
        idle.pop_back();
        ++m_counters.reused;
        m_active.emplace(attempt.attempt, connection);
        connection->send(attempt);
        return;
    }
    const auto connection =
            std::make_shared<BackendConnection>(*this, attempt.server, attempt.endpoint);
    ++m_counters.opened;
    m_active.emplace(attempt.attempt, connection);
    connection->open(attempt);
    scheduleClose(Clock::now() + kConnectTimeout, { attempt.attempt, false });
}

BackendConnectionPool::ServerConnections &
BackendConnectionPool::connectionsOf(const ServerId &server, const Endpoint &endpoint)
{
    if (m_servers[server].endpoint != endpoint) {
        closeIdleConnections(server);
        m_servers[server].endpoint = endpoint;
    }
    return m_servers[server];
}

void BackendConnectionPool::openIdleConnection(const OpenConnection &wanted)
{
    connectionsOf(wanted.server, wanted.endpoint);
    const auto connection =
            std::make_shared<BackendConnection>(*this, wanted.server, wanted.endpoint);
    ++m_counters.opened;
    m_opening.emplace_back(Clock::now() + kConnectTimeout, connection);
    connection->open();
    armTimer();
}

void BackendConnectionPool::finishOpening(const std::shared_ptr<BackendConnection> &connection,
                                          bool isConnected)
{
    const auto removed = std::erase_if(
            m_opening, [&](const auto &opening) { return opening.second == connection; });
    if (removed == 0)
        return removeIdle(connection.get());
    if (isConnected)
        keepIdle(connection);
    m_onTried(connection->server(), isConnected);
}

void BackendConnectionPool::release(const ReleaseAttempt &attempt)
{
    if (m_active.contains(attempt.attempt))
        scheduleClose(Clock::now() + attempt.linger, { attempt.attempt, true });
}

void BackendConnectionPool::closeIdleConnections(const ServerId &server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    const auto idle = std::move(found->second.idle);
    m_servers.erase(found);
    for (const auto &connection : idle)
        connection->abort(AttemptFailure::NotSent);
}

void BackendConnectionPool::stop()
{
    m_timer.cancel();
    while (!m_servers.empty())
        closeIdleConnections(ServerId(m_servers.begin()->first));
    while (!m_opening.empty())
        m_opening.front().second->abort(AttemptFailure::NotSent);
    while (!m_active.empty())
        m_active.begin()->second->abort(AttemptFailure::Expired);
}

std::size_t BackendConnectionPool::idleConnections() const
{
    std::size_t count = 0;
    for (const auto &[server, connections] : m_servers)
        count += connections.idle.size();
    return count;
}

void BackendConnectionPool::endAttempt(AttemptId attempt, AttemptResult result)
{
    m_active.erase(attempt);
    m_onEnded(attempt, std::move(result));
}

void BackendConnectionPool::keepIdle(const std::shared_ptr<BackendConnection> &connection)
{
    const auto found = m_servers.find(connection->server());
    const bool isKnown =
            found != m_servers.end() && found->second.endpoint == connection->endpoint();
    if (!isKnown)
        return connection->abort(AttemptFailure::NotSent);
    auto &idle = found->second.idle;
    if (idle.size() >= connection->idleLimits().idle)
        return connection->abort(AttemptFailure::NotSent);
    idle.push_back(connection);
    armTimer();
}

void BackendConnectionPool::removeIdle(const BackendConnection *connection)
{
    const auto found = m_servers.find(connection->server());
    if (found == m_servers.end())
        return;
    std::erase_if(found->second.idle, [&](const auto &other) { return other.get() == connection; });
}

void BackendConnectionPool::scheduleClose(Clock::time_point at, const ScheduledClose &closing)
{
    m_closings.emplace(at, closing);
    armTimer();
}

void BackendConnectionPool::armTimer()
{
    const Clock::time_point now = Clock::now();
    if (m_idleCheckAt <= now)
        m_idleCheckAt = now + kIdleCheckInterval;
    Clock::time_point next = m_idleCheckAt;
    if (!m_closings.empty())
        next = std::min(next, m_closings.begin()->first);
    if (!m_opening.empty())
        next = std::min(next, m_opening.front().first);
    if (next >= m_timerAt)
        return;
    m_timerAt = next;
    m_timer.expires_at(next);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
}

void BackendConnectionPool::onTimer()
{
    m_timerAt = Clock::time_point::max();
    const Clock::time_point now = Clock::now();
    while (!m_closings.empty() && m_closings.begin()->first <= now) {
        const ScheduledClose closing = m_closings.begin()->second;
        m_closings.erase(m_closings.begin());
        const auto found = m_active.find(closing.attempt);
        if (found == m_active.end())
            continue;
        const auto connection = found->second;
        if (!connection->isConnected())
            connection->abort(AttemptFailure::NotSent);
        else if (closing.isReleased)
            connection->abort(AttemptFailure::Expired);
    }
    while (!m_opening.empty() && m_opening.front().first <= now)
        m_opening.front().second->abort(AttemptFailure::NotSent);
    if (m_idleCheckAt <= now)
        closeExpiredIdle(now);
    armTimer();
}

void BackendConnectionPool::closeExpiredIdle(Clock::time_point now)
{
    std::vector<std::shared_ptr<BackendConnection>> expired;
    for (const auto &[server, connections] : m_servers) {
        for (const auto &connection : connections.idle) {
            if (connection->idleUntil() <= now)
                expired.push_back(connection);
        }
    }
    for (const auto &connection : expired)
        connection->abort(AttemptFailure::NotSent);
}

} // namespace greengagestair
