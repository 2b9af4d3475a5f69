#include "gateway/HostAnnouncer.h"

namespace greengagestair {

/**
 * Duration of the lease. The other hosts count a crashed host until its lease ends; its share of
 * the joint limits is unused until then.
 */
static constexpr Duration kLeaseTimeToLive = std::chrono::seconds(15);
/** After a failed renewal there is time for two more renewals before the lease ends. */
static constexpr Duration kRenewInterval = std::chrono::seconds(5);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(1500);

HostAnnouncer::HostAnnouncer(HostEntry host, RegistryStore &store, OnLog onLog, OnCallEnd onCallEnd)
    : m_host(std::move(host))
    , m_store(store)
    , m_onLog(std::move(onLog))
    , m_onCallEnd(std::move(onCallEnd))
{
}

std::optional<MonotonicTime> HostAnnouncer::nextWakeUp() const
{
    if (m_isCalling || m_hasLeft)
        return std::nullopt;
    return m_nextCallAt;
}

void HostAnnouncer::advance(MonotonicTime now)
{
    m_now = now;
    if (m_isCalling || m_hasLeft || now < m_nextCallAt)
        return;
    m_isCalling = true;
    if (!m_lease)
        requestLease();
    else if (!m_isAnnounced)
        announce();
    else
        renew();
}

void HostAnnouncer::requestLease()
{
    m_store.grantLease(kLeaseTimeToLive, [this](const StoreResult<LeaseGrant> &result) {
        if (const auto *failure = std::get_if<StoreFailure>(&result))
            return endCall(*failure, {});
        m_lease = std::get<LeaseGrant>(result).lease;
        m_isAnnounced = false;
        endCall(std::nullopt, {});
    });
}

void HostAnnouncer::announce()
{
    m_store.announceHost(m_host, *m_lease, [this](const StoreResult<StoreDone> &result) {
        if (const auto *failure = std::get_if<StoreFailure>(&result))
            return endCall(*failure, {});
        m_isAnnounced = true;
        m_onLog({ LogPriority::State, "hostAnnounced", { { "lease", std::to_string(*m_lease) } } });
        endCall(std::nullopt, kRenewInterval);
    });
}

void HostAnnouncer::renew()
{
    m_store.renewLease(*m_lease, [this](const StoreResult<StoreDone> &result) {
        const auto *failure = std::get_if<StoreFailure>(&result);
        endCall(failure ? std::optional(*failure) : std::nullopt, kRenewInterval);
    });
}

void HostAnnouncer::endCall(std::optional<StoreFailure> failure, Duration nextDelay)
{
    m_isCalling = false;
    m_nextCallAt = m_now + (failure ? kRetryInterval : nextDelay);
    if (failure == StoreFailure::LeaseEnded) {
        m_onLog({ LogPriority::State, "leaseEnded", { { "lease", std::to_string(*m_lease) } } });
        m_lease.reset();
        m_isAnnounced = false;
    }
    m_onCallEnd();
}

void HostAnnouncer::leave()
{
    m_hasLeft = true;
    if (m_lease)
        m_store.endLease(*m_lease, [](const StoreResult<StoreDone> &) {});
}

} // namespace greengagestair
