#pragma once

#include "gateway/GatewayEffect.h"
#include "gateway/RegistryStore.h"

#include <functional>
#include <optional>

namespace greengagestair {

/**
 * Keeps this host's presence in the platform's store, under a lease, so that all hosts know among
 * how many they divide the bounds that they share.
 */
class HostAnnouncer
{
public:
    using OnLog = std::function<void(LogRecord decision)>;

    /** Called at the end of each call, when nextWakeUp() has changed. */
    using OnCallEnd = std::function<void()>;

    HostAnnouncer(HostEntry host, RegistryStore &store, OnLog onLog, OnCallEnd onCallEnd);

    /** Starts the next call if it is due. */
    void advance(MonotonicTime now);
    /** When advance() is wanted next; null while a call is in progress. */
    std::optional<MonotonicTime> nextWakeUp() const;
    /** Ends the presence, since the process stops. */
    void leave();

private:
    void grant();
    void announce();
    void renew();
    void endCall(std::optional<StoreFailure> failure, Duration next);

    HostEntry m_host;
    RegistryStore &m_store;
    OnLog m_onLog;
    OnCallEnd m_onCallEnd;
    std::optional<std::uint64_t> m_lease;
    bool m_isAnnounced = false;
    bool m_isCalling = false;
    bool m_hasLeft = false;
    MonotonicTime m_now;
    MonotonicTime m_nextCallAt;
};

} // namespace greengagestair
