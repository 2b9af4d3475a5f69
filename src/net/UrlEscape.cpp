#include "net/UrlEscape.h"

namespace greengagestair {

static bool isAllowedInPath(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '.' || c == '_' || c == '~' || c == '/';
}

std::string escapeUrlPath(std::string_view text)
{
    constexpr std::string_view kHexDigits = "0123456789ABCDEF";
    std::string escaped;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (isAllowedInPath(c))
            escaped += c;
        else
            escaped.append({ '%', kHexDigits[byte >> 4], kHexDigits[byte & 15] });
    }
    return escaped;
}

} // namespace greengagestair
