#include "greengagestair/Configuration.h"

#include <algorithm>

namespace greengagestair {

const Service *Configuration::findService(const ServiceId &service) const
{
    const auto found =
            std::find_if(services.begin(), services.end(),
                         [&](const Service &candidate) { return candidate.name == service; });
    return found == services.end() ? nullptr : &*found;
}

const FailureDomain *Configuration::findFailureDomain(const FailureDomainId &domain) const
{
    const auto found =
            std::find_if(failureDomains.begin(), failureDomains.end(),
                         [&](const FailureDomain &candidate) { return candidate.name == domain; });
    return found == failureDomains.end() ? nullptr : &*found;
}

bool KeyRange::contains(const std::string &key) const
{
    const bool aboveStart = key >= from;
    const bool belowEnd = to.empty() || key < to;
    return aboveStart && belowEnd;
}

} // namespace greengagestair
