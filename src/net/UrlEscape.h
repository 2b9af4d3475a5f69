#pragma once

#include <string>
#include <string_view>

namespace greengagestair {

/** Percent-encodes a URL path: all bytes except unreserved characters and '/' become %XX. */
std::string escapeUrlPath(std::string_view text);

} // namespace greengagestair
