#pragma once

#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/RegistryStore.h"

#include <functional>
#include <optional>
#include <random>

namespace greengagestair {

/**
 * Keeps this entry host's entry in the platform's store alive under a lease. All hosts count these
 * entries to divide their joint limits. The event loop calls advance() when nextWakeUp() is due.
 */
class HostAnnouncer
{
public:
    /** Receives each log record. */
    using OnLog = std::function<void(LogRecord record)>;

    /** Called after each call to the store has ended, since nextWakeUp() has changed. */
    using OnCallEnd = std::function<void()>;

    HostAnnouncer(HostEntry host, RegistryStore &store, OnLog onLog, OnCallEnd onCallEnd,
                  std::uint64_t randomSeed);

    /** Starts the next call to the store if it is due. */
    void advance(MonotonicTime now);
    /** Time at which advance() is due; nullopt while a call is in progress and after leave(). */
    std::optional<MonotonicTime> nextWakeUp() const;
    /**
     * Writes the entry again if `hosts` were read after the store came back from an older copy and
     * do not list this host: the entry is lost, and perhaps its lease, too.
     */
    void onHostsRead(const HostsRead &hosts, MonotonicTime now);
    /** Ends the lease, which removes the entry, since the process stops. No calls follow. */
    void leave();

private:
    void requestLease();
    void announce();
    void renew();
    void endCall(std::optional<StoreFailure> failure, Duration nextDelay);

    HostEntry m_host;
    RegistryStore &m_store;
    OnLog m_onLog;
    OnCallEnd m_onCallEnd;
    std::optional<std::uint64_t> m_lease;
    bool m_isAnnounced = false;
    bool m_isEntryLost = false; ///< the entry has to be written again after the call in progress
    bool m_isCalling = false;
    bool m_hasLeft = false;
    std::mt19937_64 m_random;
    MonotonicTime m_now;
    MonotonicTime m_nextCallAt;
};

} // namespace greengagestair
