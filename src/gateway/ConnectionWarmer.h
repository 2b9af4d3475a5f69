#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/GatewayEffect.h"
#include "greengagestair/Types.h"

#include <deque>
#include <optional>
#include <random>

namespace greengagestair {

/**
 * Opens connections to servers before the first request needs them: a handshake takes a round trip
 * and some milliseconds of a slot, and after a restart all hosts would need theirs at once.
 */
class ConnectionWarmer
{
public:
    ConnectionWarmer(const BackendDirectory &directory, std::uint64_t randomSeed);

    /** Opens a connection to each of the servers, in a random order and a few at a time. */
    void add(std::vector<ServerId> servers, MonotonicTime now);
    /** Opens the connections that are due. */
    void advance(MonotonicTime now, GatewayEffects &effects);
    std::optional<MonotonicTime> nextWakeUp() const;

private:
    const BackendDirectory &m_directory;
    std::mt19937_64 m_random;
    std::deque<ServerId> m_pendingServers;
    MonotonicTime m_nextBatchAt;
};

} // namespace greengagestair
