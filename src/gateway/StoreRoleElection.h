#pragma once

#include "gateway/RegistryStore.h"

#include <vector>

namespace greengagestair {

/** How an entry host gets the changes of the store. */
enum class StoreRole {
    Standalone, ///< watches the store; no other host of its failure domain is listed
    Publisher,  ///< watches the store and sends its changes to other hosts
    Standby,    ///< a subscriber that calls the store first if the publisher sends nothing
    Subscriber  ///< receives changes from another host; watches the store only if none arrive
};

/**
 * The hosts of a failure domain in the order in which StoreRoleElection prefers them: the first is
 * the publisher, the second the standby.
 */
std::vector<HostEntry> publisherRanking(const FailureDomainId &failureDomain,
                                        const std::vector<HostEntry> &hosts);

/**
 * Elects the host of a failure domain that watches the store for all others, so that the number of
 * calls to the store does not grow with the number of hosts. It chooses among the hosts with the
 * highest link bandwidth by rendezvous hashing. Hosts that have read different host lists may
 * elect different ones, which costs additional calls but misses no change.
 */
class StoreRoleElection
{
public:
    /** Creates an election in which `self` is the only host. */
    explicit StoreRoleElection(HostEntry self);

    /** Repeats the election among the live hosts; `hosts` may include this host. */
    void update(const std::vector<HostEntry> &hosts);
    /** Role of this host by the last update(). */
    StoreRole role() const { return m_role; }
    /**
     * Hosts to which this host sends the changes that it has read: all other hosts of its failure
     * domain, or none if one of them has a link with much more bandwidth. A batch of changes takes
     * 100 KB for each recipient.
     */
    const std::vector<HostEntry> &changeRecipients() const { return m_changeRecipients; }
    /**
     * The hosts to which this host sends changes of this size in bytes: changeRecipients(), or none
     * if that would occupy the host's link for too long. The others then notice the gap with the
     * next changes and read from the store.
     */
    const std::vector<HostEntry> &recipientsOf(std::size_t bytes) const;
    /** The other live hosts of this host's failure domain. */
    const std::vector<HostEntry> &domainPeers() const { return m_domainPeers; }
    /** The other live hosts of all failure domains. */
    const std::vector<HostEntry> &otherHosts() const { return m_otherHosts; }

private:
    HostEntry m_self;
    StoreRole m_role = StoreRole::Standalone;
    std::vector<HostEntry> m_domainPeers;
    std::vector<HostEntry> m_changeRecipients;
    std::vector<HostEntry> m_otherHosts;
    std::vector<HostEntry> m_nobody; ///< always empty
};

} // namespace greengagestair
