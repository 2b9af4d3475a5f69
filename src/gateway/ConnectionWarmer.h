#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/GatewayEffect.h"
#include "greengagestair/Types.h"

#include <deque>
#include <optional>
#include <random>

namespace greengagestair {

/**
 * Opens connections to backend servers before the first request needs them. A handshake takes a
 * round trip and some milliseconds of a slot on the server, and after a restart all hosts would
 * open their connections at the same moment. Gateway calls it for new servers.
 */
class ConnectionWarmer
{
public:
    ConnectionWarmer(const BackendDirectory &directory, std::uint64_t randomSeed);

    /** Queues the servers in a random order; advance() connects to a batch of them at a time. */
    void add(std::vector<ServerId> servers, MonotonicTime now);
    /** Appends an OpenConnection effect for each server of the next batch, if it is due. */
    void advance(MonotonicTime now, GatewayEffects &effects);
    /** Time at which advance() is due; nullopt if no server is queued. */
    std::optional<MonotonicTime> nextWakeUp() const;

private:
    const BackendDirectory &m_directory;
    std::mt19937_64 m_random;
    std::deque<ServerId> m_pendingServers;
    MonotonicTime m_nextBatchAt;
};

} // namespace greengagestair
