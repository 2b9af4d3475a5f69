#pragma once

#include "app/Settings.h"
#include "gateway/Gateway.h"

namespace greengagestair {

/** Settings of a gateway. docs/settings.md lists keys, ranges and defaults. */
struct GatewaySettings
{
    HostId host;
    Endpoint callerEndpoint;
    Endpoint readinessEndpoint;
    Endpoint adminEndpoint;
    Endpoint peerEndpoint;                          ///< TCP for frames of other gateways
    Endpoint store;                                 ///< the platform's key-value store
    double linkMbps = 0;                            ///< of the host's network link, in Mbit/s
    std::vector<Endpoint> seeds;                    ///< admin addresses of other gateways
    Duration stopTimeout = std::chrono::seconds(6); ///< from SIGTERM to SIGKILL
    std::optional<std::uint64_t> memoryBytes;       ///< that the process may use, if stated
    std::optional<std::size_t> maxDescriptors;      ///< that the process may open, if stated
    GatewayOptions options;
};

/** Parses the text of a settings file; fails with SettingsProblem. */
boost::leaf::result<GatewaySettings> parseGatewaySettings(std::string_view text,
                                                          const std::string &file);

/** Reads and parses a settings file; fails with SettingsProblem. */
boost::leaf::result<GatewaySettings> readGatewaySettings(const std::string &file);

} // namespace greengagestair
