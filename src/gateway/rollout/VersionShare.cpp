#include "gateway/rollout/VersionShare.h"

#include "core/Hashing.h"

#include <cmath>

namespace greengagestair {

void VersionShare::begin(const HostId &host, const ServiceId &service, Revision order)
{
    const std::string key = service.value + "/" + std::to_string(order.value);
    m_credit = std::ldexp(static_cast<double>(rendezvousScore(key, host.value)), -64);
}

bool VersionShare::take(double share)
{
    m_credit += share;
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

} // namespace greengagestair
