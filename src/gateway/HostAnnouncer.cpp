#include "gateway/HostAnnouncer.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/**
 * Duration of the lease. The other hosts count a crashed host until its lease ends; its share of
 * the joint limits is unused until then.
 */
static constexpr Duration kLeaseTimeToLive = std::chrono::seconds(15);
/** After a failed renewal there is time for two more renewals before the lease ends. */
static constexpr Duration kRenewInterval = std::chrono::seconds(5);
static constexpr Duration kRetryInterval = std::chrono::milliseconds(1500);
/** Hosts whose entries the store has lost write them again within this time. */
static constexpr Duration kRewriteSpread = std::chrono::milliseconds(500);

HostAnnouncer::HostAnnouncer(HostEntry host, RegistryStore &store, OnLog onLog, OnCallEnd onCallEnd,
                             std::uint64_t randomSeed)
    : m_host(std::move(host))
    , m_store(store)
    , m_onLog(std::move(onLog))
    , m_onCallEnd(std::move(onCallEnd))
    , m_random(randomSeed)
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
    m_now = std::max(m_now, now);
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
    if (std::exchange(m_isEntryLost, false)) {
        m_isAnnounced = false;
        m_nextCallAt = m_now + kRewriteSpread;
    }
    if (failure == StoreFailure::LeaseEnded) {
        m_onLog({ LogPriority::State, "leaseEnded", { { "lease", std::to_string(*m_lease) } } });
        m_lease.reset();
        m_isAnnounced = false;
    }
    m_onCallEnd();
}

void HostAnnouncer::onHostsRead(const HostsRead &hosts, MonotonicTime now)
{
    const bool isListed =
            std::any_of(hosts.hosts.begin(), hosts.hosts.end(),
                        [this](const HostEntry &host) { return host.host == m_host.host; });
    if (!hosts.hasStoreGoneBack || isListed)
        return;
    // The hosts that the copy does not list write at different times.
    std::uniform_int_distribution<Duration::rep> delay(0, kRewriteSpread.count());
    m_now = std::max(m_now, now);
    m_nextCallAt = m_now + Duration(delay(m_random));
    m_isAnnounced = false;
    m_isEntryLost = m_isCalling;
}

void HostAnnouncer::leave()
{
    m_hasLeft = true;
    if (m_lease)
        m_store.endLease(*m_lease, [](const StoreResult<StoreDone> &) {});
}

} // namespace greengagestair
