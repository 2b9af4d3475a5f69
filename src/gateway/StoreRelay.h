#pragma once

#include "gateway/RegistryStore.h"

#include <vector>

namespace greengagestair {

/**
 * Divides the hosts of a failure domain into those that call the store and those that get its
 * changes from them, so that calls do not grow with the number of hosts. The choice is made by
 * rendezvous hashing over the hosts that are present; hosts with different views may choose
 * differently, which costs calls but no change is missed.
 */
class StoreRelay
{
public:
    explicit StoreRelay(HostEntry self);

    void update(const std::vector<HostEntry> &hosts);
    /** True if this host calls the store for others. */
    bool isSharing() const { return !m_readers.empty(); }
    /** Hosts that rely on this one. */
    const std::vector<HostEntry> &readers() const { return m_readers; }
    /** All other hosts that are present. */
    const std::vector<HostEntry> &others() const { return m_others; }

private:
    HostEntry m_self;
    std::vector<HostEntry> m_readers;
    std::vector<HostEntry> m_others;
};

} // namespace greengagestair
