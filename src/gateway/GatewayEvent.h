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

/** A whole request came from a caller. */
struct RequestReceived
{
    ExchangeId exchange;
    std::shared_ptr<const GatewayRequest> request;
    Duration readDelay {}; ///< time for which it may have waited to be read
};

/** The caller closed its connection before it had an answer. */
struct CallerDisconnected
{
    ExchangeId exchange;
};

/** An attempt ended, also one that was released before. */
struct AttemptEnded
{
    AttemptId attempt;
    AttemptResult result;
};

/** The operators' configuration was read. Older versions than the one in force are ignored. */
struct ConfigurationRead
{
    std::shared_ptr<const RoutingConfiguration> configuration;
};

/** The failure domains that are taken out of service, all of them. */
struct EvacuationsRead
{
    std::set<FailureDomainId> failureDomains;
};

/** All registrations were read; servers that are not among them have left. */
struct RegistrationsRead
{
    std::vector<BackendRegistration> registrations;
};

/** One registration was written. */
struct RegistrationWritten
{
    BackendRegistration registration;
};

/** One registration was removed or cannot be used any more. */
struct RegistrationRemoved
{
    ServerId server;
};

/** The live entry hosts were read. */
struct HostsRead
{
    std::vector<HostEntry> hosts;
};

/** Another host lost a backend server while it worked on a request with this signature. */
struct ServerLossReported
{
    HostId reporter;
    SignatureLoss loss;
};

/** Another host of this failure domain cannot reach that one. */
struct UnreachableDomainReported
{
    FailureDomainId failureDomain;
};

/** An attempt to open a connection has ended. */
struct ConnectionAttemptEnded
{
    ServerId server;
    bool isConnected = false;
};

/** The settings have changed. */
struct OptionsChanged
{
    GatewayOptions options;
};

/** The process is to end. */
struct GatewayStopRequested
{
};

/** Time has passed. */
struct TimeAdvanced
{
};

using GatewayEvent =
        std::variant<RequestReceived, CallerDisconnected, AttemptEnded, ConfigurationRead,
                     EvacuationsRead, RegistrationsRead, RegistrationWritten, RegistrationRemoved,
                     HostsRead, ServerLossReported, UnreachableDomainReported,
                     ConnectionAttemptEnded, OptionsChanged, GatewayStopRequested, TimeAdvanced>;

} // namespace greengagestair
