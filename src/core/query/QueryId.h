#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/** One query of this process, from its arrival to its answer. */
using QueryId = Number<struct QueryTag>;

} // namespace greengagestair
