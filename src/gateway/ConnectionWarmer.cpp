#include "gateway/ConnectionWarmer.h"

#include <algorithm>

namespace greengagestair {

/** Connections that are opened at a time, and the pause after them: 800 a second. */
static constexpr std::size_t kBatch = 8;
static constexpr Duration kPause = std::chrono::milliseconds(10);

ConnectionWarmer::ConnectionWarmer(const BackendDirectory &directory, std::uint64_t randomSeed)
    : m_directory(directory)
    , m_random(randomSeed)
{
}

void ConnectionWarmer::add(std::vector<ServerId> servers, MonotonicTime now)
{
    // Hosts that start together would otherwise connect to the same servers at the same moments.
    std::shuffle(servers.begin(), servers.end(), m_random);
    if (m_waiting.empty())
        m_nextAt = now;
    m_waiting.insert(m_waiting.end(), servers.begin(), servers.end());
}

void ConnectionWarmer::advance(MonotonicTime now, GatewayEffects &effects)
{
    if (m_waiting.empty() || now < m_nextAt)
        return;
    for (std::size_t i = 0; i < kBatch && !m_waiting.empty(); ++i) {
        const auto backend = m_directory.find(m_waiting.front());
        m_waiting.pop_front();
        if (backend && m_directory.isInService(*backend))
            effects.push_back(OpenConnection { backend->registration.server,
                                               backend->registration.endpoint });
    }
    m_nextAt = now + kPause;
}

std::optional<MonotonicTime> ConnectionWarmer::nextWakeUp() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return m_nextAt;
}

} // namespace greengagestair
