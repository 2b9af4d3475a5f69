#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/GatewayEvent.h"
#include "greengagestair/Types.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * What a host goes on believing after the platform's store has come back from an older copy, until
 * the lost entries are written again. docs/design.md has the table. Operators, backend servers and
 * hosts write again what they had written; until then the copy would bring back servers that have
 * left, and failure domains and hosts would be missing.
 *
 * Configurations need no rule here, since an older version never takes the place of a newer one,
 * and neither do servers that the copy does not list, which Gateway keeps for the time in which
 * live servers register again.
 */
class LostEntryRetention
{
public:
    /** A server was removed, since its registration had disappeared or its address was taken over.
     */
    void addRemoved(const BackendRegistration &registration, MonotonicTime now);
    /** The server has written its registration; what was known of its removal ends. */
    void addWritten(const ServerId &server) { m_removedServers.erase(server); }
    /**
     * Returns what to believe of a registration in the copy. The newer knowledge wins: a server
     * that was draining stays so, and a server that has left, or whose process has been replaced,
     * does not come back; nullopt then.
     * @param known the server as it is in the directory; null if it is not
     */
    std::optional<BackendRegistration> reconcile(const BackendRegistration &listed,
                                                 const Backend *known) const;

    /**
     * Returns the failure domains to keep out of service: those that were read, and for some time
     * after a return of the store those that were out of service before.
     */
    std::set<FailureDomainId> failureDomainsAfter(const EvacuationsRead &read, MonotonicTime now);
    /** Returns the hosts to count: as for failureDomainsAfter(). */
    std::vector<HostEntry> hostsAfter(const HostsRead &read, MonotonicTime now);

    /** Time at which the next kept failure domain or host ends; nullopt if none is kept. */
    std::optional<MonotonicTime> nextExpiry() const;
    /**
     * The failure domains that were read last. Passed to failureDomainsAfter() at nextExpiry(),
     * they give the set without those whose time has ended.
     */
    const EvacuationsRead &lastEvacuations() const { return m_evacuations; }
    /** The hosts that were read last, for hostsAfter(); see lastEvacuations(). */
    const HostsRead &lastHosts() const { return m_hosts; }

private:
    struct RemovedServer
    {
        std::uint64_t startedAt = 0;
        MonotonicTime removedAt;
    };

    std::unordered_map<ServerId, RemovedServer> m_removedServers;
    EvacuationsRead m_evacuations;
    HostsRead m_hosts;
    std::map<FailureDomainId, MonotonicTime> m_keptDomains; ///< end of the time for each
    std::map<HostId, std::pair<HostEntry, MonotonicTime>> m_keptHosts;
};

} // namespace greengagestair
