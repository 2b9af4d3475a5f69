#pragma once

#include "gateway/ServerEvidence.h"
#include "greengagestair/Messages.h"

namespace greengagestair {

/** Number of results in the evidence. */
double resultCount(const ServerEvidence &evidence);
/** The evidence with all numbers multiplied by `factor`; the age stays. */
ServerEvidence scaled(ServerEvidence evidence, double factor);
/** Adds `added` to `evidence`; the age is that of the more recent one. */
void addEvidence(ServerEvidence &evidence, const ServerEvidence &added);
/** Mean response time of the answers; zero without answers. */
Duration meanTime(const ServerEvidence &evidence);
/**
 * Time that a request is expected to lose by refusals and failures, if it goes to a server with
 * this evidence. It grows with the share of refusals and failures and with the number of results.
 */
Duration expectedLoss(const ServerEvidence &evidence);
/**
 * The evidence in a message of another host. Invalid numbers (negative, not finite) give empty
 * evidence; counts and times beyond what one host can have seen since its last message are reduced.
 */
ServerEvidence evidenceIn(const ServerObservation &observation);

/** Results of one server, of which older ones count less. */
class RecentEvidence
{
public:
    /** Adds results, of which the last one came `added.age` ago. */
    void add(const ServerEvidence &added, Duration halfLife, MonotonicTime now);
    /** The sum of the results; empty if nothing was added for longer than `validity`. */
    ServerEvidence at(MonotonicTime now, Duration halfLife, Duration validity) const;

private:
    ServerEvidence m_sum; ///< as of m_updatedAt; its age is not used
    MonotonicTime m_updatedAt;
    MonotonicTime m_lastResult;
};

} // namespace greengagestair
