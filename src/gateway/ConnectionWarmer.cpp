#include "gateway/ConnectionWarmer.h"

#include <algorithm>

namespace greengagestair {

/** Connections opened at each kBatchInterval, which makes 800 connections per second. */
static constexpr std::size_t kBatchSize = 8;
static constexpr Duration kBatchInterval = std::chrono::milliseconds(10);

ConnectionWarmer::ConnectionWarmer(const BackendDirectory &directory, std::uint64_t randomSeed)
    : m_directory(directory)
    , m_random(randomSeed)
{
}

void ConnectionWarmer::add(std::vector<ServerId> servers, MonotonicTime now)
{
    // Without a random order, hosts that start together would connect to the same server at once.
    std::shuffle(servers.begin(), servers.end(), m_random);
    if (m_pendingServers.empty())
        m_nextBatchAt = now;
    m_pendingServers.insert(m_pendingServers.end(), servers.begin(), servers.end());
}

void ConnectionWarmer::advance(MonotonicTime now, GatewayEffects &effects)
{
    if (m_pendingServers.empty() || now < m_nextBatchAt)
        return;
    for (std::size_t i = 0; i < kBatchSize && !m_pendingServers.empty(); ++i) {
        const auto backend = m_directory.find(m_pendingServers.front());
        m_pendingServers.pop_front();
        if (backend && m_directory.isInService(*backend))
            effects.push_back(OpenConnection { backend->registration.server,
                                               backend->registration.endpoint });
    }
    m_nextBatchAt = now + kBatchInterval;
}

std::optional<MonotonicTime> ConnectionWarmer::nextWakeUp() const
{
    if (m_pendingServers.empty())
        return std::nullopt;
    return m_nextBatchAt;
}

} // namespace greengagestair
