#pragma once

#include "core/query/Query.h"
#include "greengagestair/Effect.h"
#include "greengagestair/Reducer.h"

namespace greengagestair {

/**
 * The answer to a query whose parts are all settled, with its coverage over the key ranges of the
 * pinned snapshot. Moves the bodies out of the parts. `deadlinePassed` tells that the deadline
 * settled some part.
 */
CallerAnswer composeAnswer(Query &query, bool deadlinePassed, const MechanismSwitches &mechanisms);

/** What a caller is told when its part failed for this reason. */
QueryReason queryReasonFor(PartReason reason);

/** Label of an outcome in counters. */
const char *outcomeLabel(QueryOutcome outcome);

/** Labels of reasons in counters. */
const char *reasonLabel(QueryReason reason);
const char *reasonLabel(PartReason reason);

} // namespace greengagestair
