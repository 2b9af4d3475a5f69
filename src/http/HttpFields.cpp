#include "http/HttpFields.h"

#include <algorithm>
#include <array>

namespace greengagestair {

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 11> kNames = { "Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "Proxy-Authenticate",
                                                                 "TE",
                                                                 "Proxy-Authorization",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Content-Length",
                                                                 "Expect" };
    return std::any_of(kNames.begin(), kNames.end(),
                       [&](std::string_view known) { return equalsIgnoringCase(known, name); });
}

bool hasToken(std::string_view value, std::string_view token)
{
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        if (equalsIgnoringCase(trimmed(value.substr(0, comma)), token))
            return true;
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
    return false;
}

std::string_view fieldValue(const Headers &headers, std::string_view name)
{
    for (const HeaderField &field : headers) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

Headers endToEndFields(Headers headers)
{
    const std::string connection(fieldValue(headers, "Connection"));
    std::erase_if(headers, [&](const HeaderField &field) {
        return isHopByHop(field.name) || hasToken(connection, field.name);
    });
    return headers;
}

} // namespace greengagestair
