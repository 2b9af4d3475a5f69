#pragma once

#include "greengagestair/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** One backend server of a group. */
struct BackendServer
{
    ServerId name;
    Endpoint endpoint;
    FailureDomainId failureDomain;
    bool inService = true;
};

/** The replicas that hold the same key ranges. */
struct Group
{
    GroupId name;
    std::vector<BackendServer> servers;
};

/** A named request type of a service. */
struct Operation
{
    OperationId name;
    bool urgent = false;
    bool repeatable = true;
};

/** Whether a request goes to every group of the snapshot or to the group that holds its routing
 * key. */
enum class Route { AllGroups, OneGroup };

/** One service, as declared by the operators. */
struct Service
{
    ServiceId name;
    Route route = Route::AllGroups;
    int slots = 1;            ///< requests that a warm backend server runs at a time
    int coldLimit = 1;        ///< requests that a cold backend server bears at a time
    int connectionLimit = 1;  ///< connections that a backend server accepts
    Duration warmPartTime {}; ///< usual time of one part on a warm backend server
    Duration maxPartTime {};  ///< no part may run longer on a backend server
    Duration defaultDeadline {};
    Duration maxDeadline {};
    std::vector<Operation> operations;
    std::vector<Group> groups;
};

/** A failure domain, in or out of service. */
struct FailureDomain
{
    FailureDomainId name;
    bool inService = true;
};

/** The operators' declarations: content of the document `configuration`. */
struct Configuration
{
    std::string changeId;                     ///< identifies the change that wrote this version
    std::vector<std::string> recentChangeIds; ///< the last 32, newest first
    std::vector<FailureDomain> failureDomains;
    std::vector<Service> services;

    const Service *findService(const ServiceId &service) const;
    const FailureDomain *findFailureDomain(const FailureDomainId &domain) const;
};

/** A key range [from, to) of a snapshot; an empty `to` means no upper bound. */
struct KeyRange
{
    std::string from;
    std::string to;
    GroupId group;

    bool contains(const std::string &key) const;
    auto operator<=>(const KeyRange &) const = default;
};

/** One version of a service's index: who holds which key range. */
struct Snapshot
{
    IndexVersion version;
    std::vector<KeyRange> ranges;
};

/** Content of the document `snapshots/<service>`, newest version first. */
struct ServiceSnapshots
{
    ServiceId service;
    std::vector<Snapshot> snapshots;
};

/** An entry host of a cell. */
struct Member
{
    HostId host;
    Endpoint endpoint;
    Revision
            hostListRevision; ///< revision of the host list that showed this host when it was added

    auto operator<=>(const Member &) const = default;
};

/** Content of the document `members/<failure domain>`. */
struct MemberList
{
    FailureDomainId failureDomain;
    std::vector<Member> members;
};

/** State of a host or backend server in the platform's lagging list. */
enum class ListedState { Live, Leaving };

/** One row of the platform's host list. */
struct ListedHost
{
    std::string name; ///< entry host or backend server
    ListedState state = ListedState::Live;
};

/** Content of the document `hosts`. */
struct HostList
{
    std::vector<ListedHost> hosts;
};

/** Progress of a signature towards refusal. */
enum class QuarantineState { Suspect, Quarantined, Cleared };

/** One signature that was in flight on a backend server when it was lost. */
struct QuarantineEntry
{
    Signature signature;
    QuarantineState state = QuarantineState::Suspect;
    std::vector<ServerId> lostServers;
    WallTime changedAt;
};

/** Content of the document `quarantine`. */
struct QuarantineList
{
    std::vector<QuarantineEntry> entries;
};

} // namespace greengagestair
