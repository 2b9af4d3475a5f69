#include "gateway/LostEntryRetention.h"

#include <algorithm>

namespace greengagestair {

/**
 * Lost entries are written again within this time after the return of the store. Live servers are
 * back within about two seconds; hosts find out with their next read and write at once.
 */
static constexpr Duration kRewriteTime = std::chrono::seconds(5);
/** A copy of the store is not older than this. */
static constexpr Duration kMaxCopyAge = std::chrono::seconds(60);

void LostEntryRetention::addRemoved(const BackendRegistration &registration, MonotonicTime now)
{
    std::erase_if(m_removedServers, [now](const auto &removed) {
        return removed.second.removedAt + kMaxCopyAge < now;
    });
    m_removedServers[registration.server] = { registration.startedAt, now };
}

std::optional<BackendRegistration> LostEntryRetention::reconcile(const BackendRegistration &listed,
                                                                 const Backend *known) const
{
    if (!known) {
        const auto removed = m_removedServers.find(listed.server);
        const bool hasLeft =
                removed != m_removedServers.end() && listed.startedAt <= removed->second.startedAt;
        return hasLeft ? std::nullopt : std::optional(listed);
    }
    const BackendRegistration &current = known->registration;
    if (known->removeAt || listed.startedAt < current.startedAt)
        return std::nullopt;
    BackendRegistration believed = listed;
    if (listed.startedAt == current.startedAt) {
        believed.isDraining = listed.isDraining || current.isDraining;
        // The copy states the cold time as it was when the copy was made.
        believed.coldFor = current.coldFor;
    }
    return believed;
}

std::set<FailureDomainId> LostEntryRetention::failureDomainsAfter(const EvacuationsRead &read,
                                                                  MonotonicTime now)
{
    if (read.hasStoreGoneBack) {
        for (auto &[domain, end] : m_keptDomains)
            end = now + kRewriteTime;
        for (const FailureDomainId &domain : m_evacuations.failureDomains)
            m_keptDomains.insert_or_assign(domain, now + kRewriteTime);
    }
    std::erase_if(m_keptDomains, [&](const auto &kept) {
        return kept.second <= now || read.failureDomains.contains(kept.first);
    });
    m_evacuations.failureDomains = read.failureDomains;
    std::set<FailureDomainId> domains = read.failureDomains;
    for (const auto &[domain, end] : m_keptDomains)
        domains.insert(domain);
    return domains;
}

std::vector<HostEntry> LostEntryRetention::hostsAfter(const HostsRead &read, MonotonicTime now)
{
    if (read.hasStoreGoneBack) {
        for (auto &[id, kept] : m_keptHosts)
            kept.second = now + kRewriteTime;
        for (const HostEntry &host : m_hosts.hosts)
            m_keptHosts.insert_or_assign(host.host, std::pair(host, now + kRewriteTime));
    }
    for (const HostEntry &host : read.hosts)
        m_keptHosts.erase(host.host);
    std::erase_if(m_keptHosts, [now](const auto &kept) { return kept.second.second <= now; });
    m_hosts.hosts = read.hosts;
    std::vector<HostEntry> hosts = read.hosts;
    for (const auto &[id, kept] : m_keptHosts)
        hosts.push_back(kept.first);
    return hosts;
}

std::optional<MonotonicTime> LostEntryRetention::nextExpiry() const
{
    std::optional<MonotonicTime> next;
    const auto consider = [&next](MonotonicTime end) {
        if (!next || end < *next)
            next = end;
    };
    for (const auto &[domain, end] : m_keptDomains)
        consider(end);
    for (const auto &[id, kept] : m_keptHosts)
        consider(kept.second);
    return next;
}

} // namespace greengagestair
