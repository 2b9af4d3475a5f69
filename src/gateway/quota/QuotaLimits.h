#pragma once

#include "gateway/GatewayOptions.h"
#include "gateway/RoutingConfiguration.h"

#include <algorithm>
#include <chrono>

namespace greengagestair {

/**
 * Division of a tenant's limit, (rate x window + burst) x (1 + overage) + slack in each window,
 * among those who may issue permits at the same time. The shares of the overage add up to 1 and so
 * do those of the slack.
 */
struct QuotaLimits
{
    double rate = 0;     ///< of the issuer's bucket, per second
    double capacity = 0; ///< of the issuer's bucket
    double initial = 0;  ///< content of the bucket of an issuer that has just taken over
    double reduced = 0;  ///< permits of the standby in each window while the issuer is silent
    /**
     * Hosts that may send without asking first. Each of them can send a request or two before it
     * notices that it is cut off; these have to fit into the permits of the standby.
     */
    double freeHosts = 0;
    double unconfirmed = 0;  ///< requests that such a host may send before it gets an answer
    double fallbackRate = 0; ///< of all hosts that reach neither, per second

    static QuotaLimits of(double perSecond, double burst, const QuotaOptions &options)
    {
        const std::chrono::duration<double> window = options.window;
        QuotaLimits limits;
        // A token bucket grants its capacity once, whereas the limit holds in each window. What the
        // burst leaves of the issuer's share therefore goes into the rate.
        const double issued = (perSecond * window.count() + burst) * (1 + 0.25 * options.overage)
                + 0.25 * options.slack;
        limits.capacity = std::max(burst, 0.25 * options.slack);
        limits.rate = (issued - limits.capacity) / window.count();
        limits.initial = 0.1 * options.slack;
        limits.reduced = 0.7 * options.overage * perSecond * window.count() + 0.6 * options.slack;
        limits.freeHosts = 0.5 * limits.reduced;
        limits.unconfirmed = std::max(2.0, limits.reduced / 8);
        limits.fallbackRate =
                0.05 * options.overage * perSecond + 0.05 * options.slack / window.count();
        return limits;
    }
};

} // namespace greengagestair
