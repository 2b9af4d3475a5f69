#include "gateway/StoreWatcher.h"

#include <utility>

namespace greengagestair {

void StoreWatcher::publishAll(const StoreEntries &store, bool hasStoreGoneBack)
{
    RegistrationsRead servers;
    servers.hasStoreGoneBack = hasStoreGoneBack;
    m_sharedServers.clear();
    m_encodedEntries.clear();
    m_evacuations.clear();
    m_hosts.clear();
    m_rolloutOrders.clear();
    m_rolloutStates.clear();
    m_haveRolloutsChanged = true;
    for (const StoreEntry &entry : store.entries) {
        updateCache(entry);
        if (const auto *server = std::get_if<ServerEntry>(&entry.value))
            servers.registrations.push_back(server->registration);
        else if (const auto *absent = std::get_if<AbsentServer>(&entry.value))
            logUnreadable(entry.key, absent->problem);
        else
            publishChange(entry);
    }
    // Orders come first, so that servers of a target version are known as such.
    publishRollouts(hasStoreGoneBack);
    m_onEvent(std::move(servers));
    publishEvacuationsAndHosts(hasStoreGoneBack);
    m_onEvent(StoreCaughtUp {});
}

void StoreWatcher::publishChange(const StoreEntry &entry)
{
    if (const auto *configuration = std::get_if<ConfigurationEntry>(&entry.value)) {
        m_onEvent(ConfigurationRead { configuration->configuration });
    } else if (const auto *evacuation = std::get_if<EvacuationEntry>(&entry.value)) {
        m_evacuations[entry.key] = evacuation->failureDomain;
    } else if (const auto *server = std::get_if<ServerEntry>(&entry.value)) {
        m_onEvent(RegistrationWritten { server->registration });
    } else if (const auto *absentServer = std::get_if<AbsentServer>(&entry.value)) {
        logUnreadable(entry.key, absentServer->problem);
        m_onEvent(RegistrationRemoved { absentServer->server });
    } else if (const auto *host = std::get_if<HostEntry>(&entry.value)) {
        m_hosts[entry.key] = *host;
    } else if (const auto *order = std::get_if<RolloutOrderEntry>(&entry.value)) {
        m_rolloutOrders[entry.key] = order->order;
        m_haveRolloutsChanged = true;
    } else if (const auto *state = std::get_if<RolloutStateEntry>(&entry.value)) {
        m_rolloutStates[entry.key] = state->state;
        m_haveRolloutsChanged = true;
    } else if (const auto *absentEntry = std::get_if<AbsentEntry>(&entry.value)) {
        logUnreadable(entry.key, absentEntry->problem);
        m_evacuations.erase(entry.key);
        m_hosts.erase(entry.key);
        const auto removed = m_rolloutOrders.erase(entry.key) + m_rolloutStates.erase(entry.key);
        m_haveRolloutsChanged = m_haveRolloutsChanged || removed > 0;
    }
}

void StoreWatcher::logUnreadable(const std::string &key, const std::string &problem)
{
    if (problem.empty())
        return;
    m_onLog({ LogPriority::State, "entryUnreadable", { { "key", key }, { "problem", problem } } });
}

void StoreWatcher::publishEvacuationsAndHosts(bool hasStoreGoneBack)
{
    EvacuationsRead evacuations;
    evacuations.hasStoreGoneBack = hasStoreGoneBack;
    for (const auto &[key, failureDomain] : m_evacuations)
        evacuations.failureDomains.insert(failureDomain);
    m_onEvent(std::move(evacuations));
    HostsRead hosts;
    hosts.hasStoreGoneBack = hasStoreGoneBack;
    for (const auto &[key, host] : m_hosts)
        hosts.hosts.push_back(host);
    m_onEvent(std::move(hosts));
}

void StoreWatcher::publishRollouts(bool hasStoreGoneBack)
{
    if (!std::exchange(m_haveRolloutsChanged, false))
        return;
    RolloutsRead rollouts;
    rollouts.hasStoreGoneBack = hasStoreGoneBack;
    for (const auto &[key, order] : m_rolloutOrders)
        rollouts.orders.push_back(order);
    for (const auto &[key, state] : m_rolloutStates)
        rollouts.states.push_back(state);
    m_onEvent(std::move(rollouts));
}

} // namespace greengagestair
