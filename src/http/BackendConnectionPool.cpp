#include "http/BackendConnectionPool.h"

#include "gateway/CallerAuthentication.h"
#include "http/BackendConnection.h"

#include <algorithm>

namespace greengagestair {

/** Time limit for connecting; a reachable server accepts within a fraction of it. */
static constexpr std::chrono::milliseconds kConnectTimeout(400);
/** Interval at which idle connections are checked for expiry. */
static constexpr std::chrono::milliseconds kIdleCheckInterval(500);

BackendConnectionPool::BackendConnectionPool(boost::asio::io_context &context, HeaderNames names,
                                             OnAttemptEnded onAttemptEnded,
                                             OnConnectionAttemptEnded onConnectionAttemptEnded,
                                             OnLastConnectionLost onLastConnectionLost,
                                             ResponseObserver &observer)
    : m_context(context)
    , m_names(std::move(names))
    , m_onAttemptEnded(std::move(onAttemptEnded))
    , m_onConnectionAttemptEnded(std::move(onConnectionAttemptEnded))
    , m_onLastConnectionLost(std::move(onLastConnectionLost))
    , m_observer(observer)
    , m_timer(context)
{
}

BackendConnectionPool::~BackendConnectionPool() = default;

void BackendConnectionPool::start(const StartAttempt &attempt)
{
    auto &idle = connectionsTo(attempt.server, attempt.endpoint).idle;
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
BackendConnectionPool::connectionsTo(const ServerId &server, const Endpoint &endpoint)
{
    if (m_servers[server].endpoint != endpoint) {
        closeIdleConnections(server);
        m_servers[server].endpoint = endpoint;
    }
    return m_servers[server];
}

void BackendConnectionPool::openIdleConnection(const OpenConnection &wanted)
{
    connectionsTo(wanted.server, wanted.endpoint);
    const auto connection =
            std::make_shared<BackendConnection>(*this, wanted.server, wanted.endpoint);
    ++m_counters.opened;
    ++m_counters.openedAhead;
    m_openingIdle.emplace_back(Clock::now() + kConnectTimeout, connection);
    connection->open();
    armTimer();
}

void BackendConnectionPool::finishOpening(const std::shared_ptr<BackendConnection> &connection,
                                          bool isConnected)
{
    const auto removed = std::erase_if(
            m_openingIdle, [&](const auto &opening) { return opening.second == connection; });
    if (removed == 0)
        return removeIdle(connection.get());
    if (isConnected)
        keepIdle(connection);
    m_onConnectionAttemptEnded(connection->server(), isConnected);
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
    while (!m_openingIdle.empty())
        m_openingIdle.front().second->abort(AttemptFailure::NotSent);
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

/** True if the field tells who the caller is, which only this host may tell a server. */
static bool isIdentityField(std::string_view name, const HeaderNames &names)
{
    return equalsIgnoringCase(name, kAuthorizationField) || equalsIgnoringCase(name, names.tenant);
}

/** The request line and the fields that are the same for all attempts of a request. */
static std::string serializeSharedHead(const StartAttempt &attempt, const HeaderNames &names)
{
    const GatewayRequest &request = *attempt.request;
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const HeaderField &field : request.headers) {
        if (!attempt.caller || !isIdentityField(field.name, names))
            text += field.name + ": " + field.value + "\r\n";
    }
    if (attempt.caller && attempt.caller->tenant)
        text += names.tenant + ": " + attempt.caller->tenant->value + "\r\n";
    return text;
}

const std::string &BackendConnectionPool::sharedHead(const StartAttempt &attempt)
{
    // The caller of a request does not change between its attempts.
    if (m_sharedHead.request.lock() != attempt.request)
        m_sharedHead = { attempt.request, serializeSharedHead(attempt, m_names) };
    return m_sharedHead.text;
}

void BackendConnectionPool::endAttempt(AttemptId attempt, AttemptResult result)
{
    m_active.erase(attempt);
    m_onAttemptEnded(attempt, std::move(result));
}

void BackendConnectionPool::keepIdle(const std::shared_ptr<BackendConnection> &connection)
{
    const auto found = m_servers.find(connection->server());
    const bool isCurrentEndpoint =
            found != m_servers.end() && found->second.endpoint == connection->endpoint();
    if (!isCurrentEndpoint)
        return connection->abort(AttemptFailure::NotSent);
    auto &idle = found->second.idle;
    if (idle.size() >= connection->idleLimits().idle) {
        ++m_counters.closedIdleLimit;
        return connection->abort(AttemptFailure::NotSent);
    }
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

void BackendConnectionPool::onIdleLost(const ServerId &server)
{
    const auto found = m_servers.find(server);
    const bool hasIdle = found != m_servers.end() && !found->second.idle.empty();
    const bool isActive = std::any_of(m_active.begin(), m_active.end(), [&](const auto &active) {
        return active.second->server() == server && active.second->isConnected();
    });
    if (!hasIdle && !isActive)
        m_onLastConnectionLost(server);
}

void BackendConnectionPool::scheduleClose(Clock::time_point at, const ScheduledClose &scheduled)
{
    m_scheduledCloses.emplace(at, scheduled);
    armTimer();
}

void BackendConnectionPool::armTimer()
{
    const Clock::time_point now = Clock::now();
    if (m_nextIdleCheck <= now)
        m_nextIdleCheck = now + kIdleCheckInterval;
    Clock::time_point next = m_nextIdleCheck;
    if (!m_scheduledCloses.empty())
        next = std::min(next, m_scheduledCloses.begin()->first);
    if (!m_openingIdle.empty())
        next = std::min(next, m_openingIdle.front().first);
    if (next >= m_timerExpiry)
        return;
    m_timerExpiry = next;
    m_timer.expires_at(next);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
}

void BackendConnectionPool::onTimer()
{
    m_timerExpiry = Clock::time_point::max();
    const Clock::time_point now = Clock::now();
    while (!m_scheduledCloses.empty() && m_scheduledCloses.begin()->first <= now) {
        const ScheduledClose scheduled = m_scheduledCloses.begin()->second;
        m_scheduledCloses.erase(m_scheduledCloses.begin());
        const auto found = m_active.find(scheduled.attempt);
        if (found == m_active.end())
            continue;
        const auto connection = found->second;
        if (!connection->isConnected())
            connection->abort(AttemptFailure::NotSent);
        else if (scheduled.isReleased)
            connection->abort(AttemptFailure::Expired);
    }
    while (!m_openingIdle.empty() && m_openingIdle.front().first <= now)
        m_openingIdle.front().second->abort(AttemptFailure::NotSent);
    if (m_nextIdleCheck <= now)
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
    m_counters.closedIdleTimeout += expired.size();
    for (const auto &connection : expired)
        connection->abort(AttemptFailure::NotSent);
}

} // namespace greengagestair
