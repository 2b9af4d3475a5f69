#pragma once

#include "gateway/BackendDirectory.h"
#include "gateway/GatewayOptions.h"
#include "gateway/HttpMessage.h"
#include "gateway/RegistryStore.h"
#include "gateway/RoutingConfiguration.h"
#include "greengagestair/Messages.h"

#include <memory>
#include <set>
#include <variant>
#include <vector>

namespace greengagestair {

/** A complete request was read from a caller's connection. */
struct RequestReceived
{
    ExchangeId exchange;
    std::shared_ptr<const GatewayRequest> request;
    Duration readDelay {}; ///< maximum wait before the read; counts against the deadline
};

/** The caller closed its connection before it got a reply. */
struct CallerDisconnected
{
    ExchangeId exchange;
};

/** An attempt ended; sent once for each StartAttempt, also after a ReleaseAttempt. */
struct AttemptEnded
{
    AttemptId attempt;
    AttemptResult result;
};

/** The operators' configuration was read. Only a newer version than the current one has effect. */
struct ConfigurationRead
{
    std::shared_ptr<const RoutingConfiguration> configuration;
};

/** The complete set of failure domains that the operators have taken out of service. */
struct EvacuationsRead
{
    std::set<FailureDomainId> failureDomains;
    bool hasStoreGoneBack = false; ///< the first read after the store's return from an older copy
};

/** All registrations were read; registered servers that are not among them have disappeared. */
struct RegistrationsRead
{
    std::vector<BackendRegistration> registrations;
    bool hasStoreGoneBack = false; ///< the first read after the store's return from an older copy
};

/** A backend server's registration was written, for the first time or again. */
struct RegistrationWritten
{
    BackendRegistration registration;
};

/** A backend server's registration was removed or became invalid. */
struct RegistrationRemoved
{
    ServerId server;
};

/** All changes that the store has accepted so far have been passed on. */
struct StoreCaughtUp
{
};

/** The complete list of live entry hosts was read. This host is listed once it is announced. */
struct HostsRead
{
    std::vector<HostEntry> hosts;
    bool hasStoreGoneBack = false; ///< the first read after the store's return from an older copy
};

/** Another entry host lost a backend server that was running a request with this signature. */
struct ServerLossReported
{
    HostId reporter;
    SignatureLoss loss;
};

/** Another entry host, which has just started, asks for the losses that this host has recorded. */
struct LossesRequested
{
    HostId sender;
    Endpoint endpoint; ///< of the sender, which may not be listed yet
    LossesRequest request;
};

/** Another entry host has answered a LossesRequest. */
struct LossesReceived
{
    HostId sender;
    RecordedLosses recorded;
};

/** Another entry host of this host's own failure domain cannot reach `failureDomain`. */
struct UnreachableDomainReported
{
    FailureDomainId failureDomain;
};

/** Another entry host asks for permits of a server with a request limit. */
struct PermitsRequested
{
    HostId sender;
    PermitRequest request;
};

/** The host that issues the permits of a server has answered. */
struct PermitsGranted
{
    PermitGrant grant;
};

/** Another entry host asks for permits of a tenant's quota, or reports requests sent. */
struct QuotaRequested
{
    HostId sender;
    Endpoint endpoint; ///< of the sender, which may not be listed yet
    QuotaRequest request;
};

/** Another entry host has answered a QuotaRequest, or tells that a mode has changed. */
struct QuotaGranted
{
    HostId sender;
    QuotaGrant grant;
};

/** The connection to another entry host was lost or could not be established. */
struct HostLost
{
    HostId host;
    bool isRefused = false; ///< the process there has ended
};

/** Another entry host reports results of its requests to servers, or a summary of such reports. */
struct ObservationsReceived
{
    HostId sender;
    ServerObservations message;
};

/** The complete lists of the orders and the states of roll-outs in the store. */
struct RolloutsRead
{
    std::vector<RolloutOrder> orders;
    std::vector<RolloutState> states;
    bool hasStoreGoneBack = false; ///< the first read after the store's return from an older copy
};

/** Another entry host reports its results of a roll-out that this host coordinates. */
struct RolloutReported
{
    HostId sender;
    RolloutReport report;
};

/** The coordinator of a roll-out has found its target version bad. */
struct RolloutNoticed
{
    RolloutNotice notice;
};

/** The call for a WriteRolloutState has ended; the result is the revision of the state. */
struct RolloutWriteEnded
{
    ServiceId service;
    StoreResult<Revision> result;
};

/** An attempt to open a connection has ended; the result of OpenConnection. */
struct ConnectionAttemptEnded
{
    ServerId server;
    bool isConnected = false;
};

/** The last connection to a server, which was idle, was closed by the server or broke. */
struct LastConnectionLost
{
    ServerId server;
};

/** The settings file was loaded again; these options replace the former ones. */
struct OptionsChanged
{
    GatewayOptions options;
};

/** The process has been asked to stop; new callers should go to other hosts. */
struct GatewayStopRequested
{
    Duration remaining {}; ///< time until the last reply has to be given
};

/** A timer may be due; sent at the time that Gateway::nextWakeUp() returned. */
struct TimeAdvanced
{
};

/** An input of the gateway. */
using GatewayEvent =
        std::variant<RequestReceived, CallerDisconnected, AttemptEnded, ConfigurationRead,
                     EvacuationsRead, RegistrationsRead, RegistrationWritten, RegistrationRemoved,
                     StoreCaughtUp, HostsRead, ServerLossReported, LossesRequested, LossesReceived,
                     UnreachableDomainReported, PermitsRequested, PermitsGranted, QuotaRequested,
                     QuotaGranted, HostLost, ObservationsReceived, RolloutsRead, RolloutReported,
                     RolloutNoticed, RolloutWriteEnded, ConnectionAttemptEnded, LastConnectionLost,
                     OptionsChanged, GatewayStopRequested, TimeAdvanced>;

} // namespace greengagestair
