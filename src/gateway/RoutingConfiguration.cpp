#include "gateway/RoutingConfiguration.h"

#include <algorithm>

namespace greengagestair {

static std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    return colon == std::string_view::npos ? host : host.substr(0, colon);
}

static bool equalHosts(std::string_view left, std::string_view right)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c; };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
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
        if (path.starts_with(route.prefix) && equalHosts(route.host, name))
            best = &route;
    }
    return best;
}

} // namespace greengagestair
