#pragma once

#include "core/query/Query.h"
#include "greengagestair/Effect.h"
#include "greengagestair/Reducer.h"

namespace greengagestair {

/**
 * Composes the answer to a query whose parts are all settled. It lists each requested key range of
 * the pinned snapshot once, as answered or as missing. `deadlinePassed` means that the query
 * reached its deadline before all parts were settled.
 */
CallerAnswer composeAnswer(Query &query, bool deadlinePassed, const MechanismSwitches &mechanisms);

/** Maps the reason for which a part failed to the reason that the caller gets. */
QueryReason queryReasonFor(PartReason reason);

/** Returns the label of an outcome in counter names. */
const char *outcomeLabel(QueryOutcome outcome);

/** Returns the label of a query's reason in counter names. */
const char *reasonLabel(QueryReason reason);
/** Returns the label of a part's reason in counter names. */
const char *reasonLabel(PartReason reason);

} // namespace greengagestair
