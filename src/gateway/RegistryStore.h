#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/RoutingConfiguration.h"
#include "greengagestair/Types.h"

#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace greengagestair {

/** The operators' routing configuration. */
struct ConfigurationEntry
{
    std::shared_ptr<const RoutingConfiguration> configuration;
};

/** A failure domain that is taken out of service while the entry exists. */
struct EvacuationEntry
{
    FailureDomainId failureDomain;
};

/** The registration of a backend server. */
struct ServerEntry
{
    BackendRegistration registration;
};

/** The presence of an entry host. */
struct HostEntry
{
    HostId host;
    FailureDomainId failureDomain;
    Endpoint peer;       ///< where it accepts frames of other hosts
    double linkMbps = 0; ///< bandwidth of its network link, in Mbit/s; 0 if not stated

    bool operator==(const HostEntry &) const = default;
};

/** An entry of no kind that concerns a gateway. */
struct IgnoredEntry
{
};

/** An entry that does not exist any more, or cannot be read. */
struct AbsentEntry
{
    std::string problem; ///< what is wrong with an unreadable entry; empty if it was removed
};

/** A registration that does not exist any more, or names no server that can be used. */
struct AbsentServer
{
    ServerId server;
    std::string problem; ///< as of AbsentEntry
};

using EntryValue = std::variant<IgnoredEntry, AbsentEntry, AbsentServer, ConfigurationEntry,
                                EvacuationEntry, ServerEntry, HostEntry>;

/** One entry as it was written or removed. */
struct StoreEntry
{
    std::string key; ///< unique in the store
    EntryValue value;
    std::string encoded; ///< as the store encodes it, for other hosts
};

/** Entries of the store, and the revision up to which they are complete. */
struct StoreEntries
{
    std::vector<StoreEntry> entries;
    Revision revision;
};

/** Why a call to the store gave no result. */
enum class StoreFailure {
    Unreachable,    ///< no usable answer; nothing is known about its effect
    Refused,        ///< the store did nothing
    HistoryDropped, ///< changes since that revision cannot be had any more; read all entries
    LeaseEnded      ///< the lease does not exist
};

const char *toText(StoreFailure failure);

template <typename Value>
using StoreResult = std::variant<Value, StoreFailure>;

/** A lease as granted. */
struct LeaseGrant
{
    std::uint64_t lease = 0;
    Duration timeToLive {};
};

/** The store has done what was asked. */
struct StoreDone
{
};

/** The platform's store. Callbacks are called on the event loop, each exactly once. */
class RegistryStore
{
public:
    virtual ~RegistryStore() = default;

    /** Reads all entries, those included that were accepted just before the call. */
    virtual void readAll(std::function<void(StoreResult<StoreEntries>)> done) = 0;
    /** Decodes an entry that another host has read. */
    virtual StoreEntry decode(const std::string &encoded) const = 0;
    /** Waits until entries change after `revision`; gives no entries after `wait`. */
    virtual void awaitChanges(Revision revision, Duration wait,
                              std::function<void(StoreResult<StoreEntries>)> done) = 0;
    virtual void grantLease(Duration timeToLive,
                            std::function<void(StoreResult<LeaseGrant>)> done) = 0;
    virtual void renewLease(std::uint64_t lease,
                            std::function<void(StoreResult<StoreDone>)> done) = 0;
    /** Writes the presence of an entry host; it is removed when the lease ends. */
    virtual void announceHost(const HostEntry &host, std::uint64_t lease,
                              std::function<void(StoreResult<StoreDone>)> done) = 0;
    /** Ends a lease, and with it the presence written under it. */
    virtual void endLease(std::uint64_t lease,
                          std::function<void(StoreResult<StoreDone>)> done) = 0;
};

} // namespace greengagestair
