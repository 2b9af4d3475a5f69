#include "net/EndpointText.h"

namespace greengagestair {

std::string toText(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    const std::string address = isIpv6 ? "[" + endpoint.address + "]" : endpoint.address;
    return address + ":" + std::to_string(endpoint.port);
}

} // namespace greengagestair
