#include "gateway/RegistryStore.h"

namespace greengagestair {

const char *toText(StoreFailure failure)
{
    switch (failure) {
    case StoreFailure::Unreachable:
        return "unreachable";
    case StoreFailure::Unreadable:
        return "unreadable";
    case StoreFailure::Refused:
        return "refused";
    case StoreFailure::HistoryDropped:
        return "historyDropped";
    case StoreFailure::LeaseEnded:
        return "leaseEnded";
    case StoreFailure::Conflict:
        return "conflict";
    }
    return "unknown";
}

static bool isSameServer(const BackendRegistration &left, const BackendRegistration &right)
{
    return left.service == right.service && left.endpoint == right.endpoint
            && left.failureDomain == right.failureDomain && left.slots == right.slots
            && left.isDraining == right.isDraining && left.startedAt == right.startedAt
            && left.softwareVersion == right.softwareVersion;
}

bool isSameValue(const EntryValue &left, const EntryValue &right)
{
    if (left.index() != right.index())
        return false;
    if (const auto *server = std::get_if<ServerEntry>(&left))
        return isSameServer(server->registration, std::get<ServerEntry>(right).registration);
    if (const auto *host = std::get_if<HostEntry>(&left))
        return *host == std::get<HostEntry>(right);
    if (const auto *evacuation = std::get_if<EvacuationEntry>(&left))
        return evacuation->failureDomain == std::get<EvacuationEntry>(right).failureDomain;
    if (const auto *configuration = std::get_if<ConfigurationEntry>(&left)) {
        return configuration->configuration->version
                == std::get<ConfigurationEntry>(right).configuration->version;
    }
    if (const auto *order = std::get_if<RolloutOrderEntry>(&left))
        return order->order == std::get<RolloutOrderEntry>(right).order;
    if (const auto *state = std::get_if<RolloutStateEntry>(&left))
        return state->state == std::get<RolloutStateEntry>(right).state;
    return true;
}

} // namespace greengagestair
