#include "gateway/RoutingConfiguration.h"

#include "gateway/HttpMessage.h"

#include <utility>

namespace greengagestair {

static std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    return colon == std::string_view::npos ? host : host.substr(0, colon);
}

void addTenant(RoutingConfiguration &configuration, Tenant tenant)
{
    const std::size_t index = configuration.tenants.size();
    for (const std::string &key : tenant.keys)
        configuration.tenantByKey.emplace(key, index);
    configuration.tenants.push_back(std::move(tenant));
    configuration.requiresKeys = true;
}

const GatewayRoute *findRoute(const RoutingConfiguration &configuration, std::string_view host,
                              std::string_view target)
{
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string_view name = withoutPort(host);
    const GatewayRoute *best = nullptr;
    for (const GatewayRoute &route : configuration.routes) {
        if (best && best->prefix.size() >= route.prefix.size())
            continue;
        if (path.starts_with(route.prefix) && equalsIgnoringCase(route.host, name))
            best = &route;
    }
    return best;
}

} // namespace greengagestair
