#pragma once

#include "greengagestair/Types.h"

#include <algorithm>

namespace greengagestair {

/** A statement about a server is void at this age, so that a wrong one has no effect for longer. */
inline constexpr Duration kStatementValidity = std::chrono::seconds(3);

/** Weight of a statement of this age: 1 at first, 0 at kStatementValidity. */
inline double statementWeight(Duration age)
{
    const std::chrono::duration<double> seconds = age;
    return std::clamp(1 - seconds / std::chrono::duration<double>(kStatementValidity), 0.0, 1.0);
}

} // namespace greengagestair
