#pragma once

#include <string>
#include <string_view>

namespace greengagestair {

/** Escapes a path of a URL: all but unreserved characters and '/' become %XX. */
std::string escapeUrlPath(std::string_view text);

} // namespace greengagestair
