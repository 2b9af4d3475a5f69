#pragma once

#include "greengagestair/Effect.h"

#include <string>

namespace greengagestair {

/** Name of an outcome as callers and operators see it: the enumerator's name in camelCase. */
std::string toText(QueryOutcome outcome);
/** Name of a query's reason as callers and operators see it, in camelCase. */
std::string toText(QueryReason reason);
/** Name of a part's reason as callers and operators see it, in camelCase. */
std::string toText(PartReason reason);
/** Name of a state change as operators see it in the log, in camelCase. */
std::string toText(StateChangeKind kind);

} // namespace greengagestair
