#pragma once

#include "greengagestair/Types.h"

namespace greengagestair {

/**
 * Results of the recent requests to one process of a server. Older results may count less, so the
 * numbers may be fractions.
 */
struct ServerEvidence
{
    double answers = 0;    ///< complete responses that are not refusals and not failures
    double refusals = 0;   ///< responses that state that the request was not run
    double failures = 0;   ///< error responses, lost connections and requests without a response
    Duration totalTime {}; ///< sum of the response times of the answers
    Duration age {};       ///< time since the last of these results
};

} // namespace greengagestair
