#pragma once

#include "greengagestair/Effect.h"

#include <string>

namespace greengagestair {

/** Names as callers and operators see them, in camelCase. */
std::string toText(QueryOutcome outcome);
std::string toText(QueryReason reason);
std::string toText(PartReason reason);
std::string toText(StateChangeKind kind);

} // namespace greengagestair
