#include "gateway/CallerAuthentication.h"

#include <optional>
#include <string>

namespace greengagestair {

static constexpr std::string_view kScheme = "Bearer";

/** The value of the only Authorization field; nullopt if there is none or more than one. */
static std::optional<std::string_view> credentialsOf(const GatewayRequest &request)
{
    std::optional<std::string_view> found;
    for (const HeaderField &field : request.headers) {
        if (!equalsIgnoringCase(field.name, kAuthorizationField))
            continue;
        if (found)
            return std::nullopt;
        found = field.value;
    }
    return found;
}

/** The key in credentials of the form `Bearer KEY`; nullopt for any other form. */
static std::optional<std::string_view> keyIn(std::string_view credentials)
{
    if (credentials.size() <= kScheme.size()
        || !equalsIgnoringCase(credentials.substr(0, kScheme.size()), kScheme))
        return std::nullopt;
    const std::string_view rest = credentials.substr(kScheme.size());
    const std::size_t begin = rest.find_first_not_of(' ');
    if (rest.front() != ' ' || begin == std::string_view::npos)
        return std::nullopt;
    return rest.substr(begin, rest.find_last_not_of(" \t") - begin + 1);
}

static const Tenant *tenantOf(const RoutingConfiguration &configuration,
                              const GatewayRequest &request)
{
    const auto credentials = credentialsOf(request);
    const auto key = credentials ? keyIn(*credentials) : std::nullopt;
    if (!key)
        return nullptr;
    const auto found = configuration.tenantByKey.find(std::string(*key));
    return found == configuration.tenantByKey.end() ? nullptr
                                                    : &configuration.tenants[found->second];
}

Authentication authenticate(const RoutingConfiguration &configuration, const GatewayRoute &route,
                            const GatewayRequest &request)
{
    if (!configuration.requiresKeys)
        return { true, nullptr };
    const Tenant *tenant = tenantOf(configuration, request);
    return { tenant || route.isPublic, tenant };
}

} // namespace greengagestair
