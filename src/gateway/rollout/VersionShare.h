#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/**
 * Gives a share of consecutive requests to the target version by counting. Hosts begin at different
 * points, so that the sum over many hosts of few requests each keeps the share as well.
 */
class VersionShare
{
public:
    /** Starts a new count for a roll-out; `host` and `order` determine where it begins. */
    void begin(const HostId &host, const ServiceId &service, Revision order);
    /** True if the next request goes to the target version. */
    bool take(double share);

private:
    double m_credit = 0;
};

} // namespace greengagestair
