#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/** Identifies a query within this process. Identifiers are not reused. */
using QueryId = Number<struct QueryTag>;

} // namespace greengagestair
