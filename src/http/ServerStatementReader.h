#pragma once

#include "gateway/HttpMessage.h"
#include "http/HeaderNames.h"

namespace greengagestair {

/**
 * Reads what a backend server says of itself in the header fields of a response. A field that
 * occurs twice, or whose value is not a number in its range, counts as absent and is reported in
 * ServerStatement::invalid. Retry-After counts with status 503 only, in seconds; a date is invalid.
 */
ServerStatement readServerStatement(int status, const Headers &headers, const HeaderNames &names);

} // namespace greengagestair
