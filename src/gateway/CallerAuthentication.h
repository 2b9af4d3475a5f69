#pragma once

#include "gateway/HttpMessage.h"
#include "gateway/RoutingConfiguration.h"

#include <string_view>

namespace greengagestair {

/** Name of the header field that carries a caller's key. */
inline constexpr std::string_view kAuthorizationField = "Authorization";

/** Whether a request may use a route, and for which tenant. */
struct Authentication
{
    bool isAllowed = false;
    const Tenant *tenant = nullptr; ///< belongs to the configuration; null if there is none
};

/**
 * Checks the key of a request: one Authorization field with the scheme Bearer. If the configuration
 * requires no keys, every request is allowed. On a public route a request without a valid key is
 * allowed, too, and has no tenant.
 */
Authentication authenticate(const RoutingConfiguration &configuration, const GatewayRoute &route,
                            const GatewayRequest &request);

} // namespace greengagestair
