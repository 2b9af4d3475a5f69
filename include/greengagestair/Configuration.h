#pragma once

#include "greengagestair/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** A backend server of a group, as declared in the configuration. */
struct BackendServer
{
    ServerId name;
    Endpoint endpoint;
    FailureDomainId failureDomain;
    bool inService = true; ///< set by the operators; false: the server gets no new work
};

/** A group of backend servers that are replicas of the same key ranges. */
struct Group
{
    GroupId name;
    std::vector<BackendServer> servers;
};

/** A named request type of a service. */
struct Operation
{
    OperationId name;
    bool urgent = false;    ///< whether its requests have Priority::Urgent
    bool repeatable = true; ///< whether a request may be executed more than once
};

/** Groups to which a request is sent: all groups of the snapshot, or only the group that holds the
 * routing key of the request. */
enum class Route { AllGroups, OneGroup };

/** A service with its limits, operations and groups, as declared by the operators. */
struct Service
{
    ServiceId name;
    Route route = Route::AllGroups;
    int slots = 1;               ///< requests that a warm backend server executes concurrently
    int coldLimit = 1;           ///< requests that a cold backend server can execute concurrently
    int connectionLimit = 1;     ///< connections that a backend server accepts
    Duration warmPartTime {};    ///< usual execution time of one part on a warm backend server
    Duration maxPartTime {};     ///< longest time that a part may run on a backend server
    Duration defaultDeadline {}; ///< deadline of a request that states none
    Duration maxDeadline {};     ///< longest deadline that a request may have
    std::vector<Operation> operations;
    std::vector<Group> groups;
};

/** A failure domain, as declared in the configuration. */
struct FailureDomain
{
    FailureDomainId name;
    bool inService = true; ///< set by the operators; false: its servers get no new work
};

/** Content of the document `configuration`: the failure domains and services that the operators
 * declare. */
struct Configuration
{
    std::string changeId;                     ///< identifies the change that wrote this version
    std::vector<std::string> recentChangeIds; ///< the last 32, newest first
    std::vector<FailureDomain> failureDomains;
    std::vector<Service> services;

    /** Returns the service with this name, or null if it is not declared. */
    const Service *findService(const ServiceId &service) const;
    /** Returns the failure domain with this name, or null if it is not declared. */
    const FailureDomain *findFailureDomain(const FailureDomainId &domain) const;
};

/** A half-open key range [from, to) of a snapshot and the group that holds it. An empty `to` means
 * that the range has no upper bound. */
struct KeyRange
{
    std::string from;
    std::string to;
    GroupId group;

    /** True if the key belongs to this range; `to` itself does not. */
    bool contains(const std::string &key) const;
    auto operator<=>(const KeyRange &) const = default;
};

/** One version of a service's index: the assignment of all key ranges to groups. */
struct Snapshot
{
    IndexVersion version;
    std::vector<KeyRange> ranges;
};

/** Content of the document `snapshots/<service>`: the snapshots, newest version first. */
struct ServiceSnapshots
{
    ServiceId service;
    std::vector<Snapshot> snapshots;
};

/** An entry host that belongs to a cell. The entry hosts of one failure domain form a cell. */
struct Member
{
    HostId host;
    Endpoint endpoint;
    Revision hostListRevision; ///< host list revision that contained this host when it was added

    auto operator<=>(const Member &) const = default;
};

/** Content of the document `members/<failure domain>`: the members of that cell. */
struct MemberList
{
    FailureDomainId failureDomain;
    std::vector<Member> members;
};

/** State of an entry host or backend server in the platform's host list. The list lags behind the
 * actual state. */
enum class ListedState { Live, Leaving };

/** One entry of the platform's host list. */
struct ListedHost
{
    std::string name; ///< name of an entry host or a backend server
    ListedState state = ListedState::Live;
};

/** Content of the document `hosts`: the platform's host list. */
struct HostList
{
    std::vector<ListedHost> hosts;
};

/** State of a signature that was in flight when backend servers were lost. */
enum class QuarantineState {
    Suspect,     ///< may have caused a loss; its parts are sent only in isolation
    Quarantined, ///< requests with this signature are refused
    Cleared      ///< no longer suspected
};

/** A signature that was in flight on a backend server when the connection to it was lost. */
struct QuarantineEntry
{
    Signature signature;
    QuarantineState state = QuarantineState::Suspect;
    std::vector<ServerId> lostServers; ///< servers lost with this signature in flight
    WallTime changedAt;                ///< when the signature or its latest lost server was added
};

/** Content of the document `quarantine`: all suspect, quarantined and cleared signatures. */
struct QuarantineList
{
    std::vector<QuarantineEntry> entries;
};

} // namespace greengagestair
