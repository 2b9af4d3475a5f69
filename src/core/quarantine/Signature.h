#pragma once

#include "greengagestair/Types.h"

#include <string_view>

namespace greengagestair {

/**
 * Computes the signature of a request: the 64-bit XXH3 hash of service, operation and body. Equal
 * requests have the same signature on every host.
 */
Signature computeSignature(const ServiceId &service, const OperationId &operation,
                           std::string_view body);

} // namespace greengagestair
