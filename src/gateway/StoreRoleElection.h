#pragma once

#include "gateway/RegistryStore.h"

#include <vector>

namespace greengagestair {

/** A host's part in reading the store for its failure domain. */
enum class StoreRole {
    Standalone, ///< no other host is known in the failure domain
    Publisher,  ///< calls the store and tells the others of its changes
    Subscriber  ///< gets changes from others, and calls the store if none tells it anything
};

/**
 * Chooses the host of a failure domain that calls the store for all, so that calls do not grow with
 * the number of hosts. It is one with the widest link, by rendezvous hashing over the hosts that
 * are present; hosts with different views may choose differently, which costs calls but no change
 * is missed.
 */
class StoreRoleElection
{
public:
    explicit StoreRoleElection(HostEntry self);

    void update(const std::vector<HostEntry> &hosts);
    StoreRole role() const { return m_role; }
    /**
     * Neighbours that are told of changes that this host has read: all, or none if a host with a
     * much wider link is there to tell them. A batch of changes takes 100 KB for each neighbour.
     */
    const std::vector<HostEntry> &changeRecipients() const { return m_changeRecipients; }
    /** The other hosts of this failure domain. */
    const std::vector<HostEntry> &domainPeers() const { return m_domainPeers; }
    /** All other hosts that are present. */
    const std::vector<HostEntry> &otherHosts() const { return m_otherHosts; }

private:
    HostEntry m_self;
    StoreRole m_role = StoreRole::Standalone;
    std::vector<HostEntry> m_domainPeers;
    std::vector<HostEntry> m_changeRecipients;
    std::vector<HostEntry> m_otherHosts;
};

} // namespace greengagestair
