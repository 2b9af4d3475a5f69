#pragma once

#include "gateway/HttpMessage.h"

#include <string_view>

namespace greengagestair {

/** True for fields that concern one connection only (RFC 9110, section 7.6.1). */
bool isHopByHop(std::string_view name);

/** True if the list of tokens in `value`, separated by commas, contains `token`. */
bool hasToken(std::string_view value, std::string_view token);

/** Value of the first field of that name; empty if there is none. */
std::string_view fieldValue(const Headers &headers, std::string_view name);

/** The fields that are passed on: neither hop-by-hop nor named in Connection. */
Headers endToEndFields(const Headers &headers);

} // namespace greengagestair
