#pragma once

#include "gateway/HttpMessage.h"

#include <string_view>

namespace greengagestair {

/**
 * True for header fields that apply to a single connection (RFC 9110, section 7.6.1), and for
 * Content-Length and Expect, which the gateway handles itself. The case of `name` does not matter.
 */
bool isHopByHop(std::string_view name);

/** True if the comma-separated list `value` contains `token`, in upper or lower case. */
bool hasToken(std::string_view value, std::string_view token);

/** Returns the value of the first field named `name`, or an empty text if there is none. */
std::string_view fieldValue(const Headers &headers, std::string_view name);

/**
 * Returns the fields that a proxy forwards: those that are neither hop-by-hop (see isHopByHop())
 * nor listed in the first Connection field.
 */
Headers endToEndFields(Headers headers);

} // namespace greengagestair
