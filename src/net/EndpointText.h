#pragma once

#include "greengagestair/Types.h"

#include <string>

namespace greengagestair {

/** `address:port`; an IPv6 address stands in brackets. */
std::string toText(const Endpoint &endpoint);

} // namespace greengagestair
