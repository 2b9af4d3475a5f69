#pragma once

#include "greengagestair/Types.h"

#include <string_view>

namespace greengagestair {

/** XXH3 64-bit hash of service, operation and body; equal for equal requests on every host. */
Signature computeSignature(const ServiceId &service, const OperationId &operation,
                           std::string_view body);

} // namespace greengagestair
