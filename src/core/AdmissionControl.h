#pragma once

#include "core/Interfaces.h"
#include "core/QueryId.h"

#include <boost/json/fwd.hpp>

#include <optional>

namespace greengagestair {

/** Bounds the queries in progress of each service and refuses early what would end late. */
class AdmissionControl
{
public:
    enum class Verdict { Admitted, Queued, Refused };

    /** The end of a waiting query's time in the queue. */
    struct Decision
    {
        QueryId query;
        bool admitted = false;
    };

    /** How one attempt of a part ended, as a sign of load. */
    struct PartSample
    {
        Duration partTime {}; ///< zero if there was no answer
        bool refusedForLoad = false;
    };

    AdmissionControl(const ReducerOptions &options, DocumentView &documents);

    /** Each admitted query must be reported by `finished`. */
    Verdict request(StepContext &context, const Service &service, Priority priority, QueryId query,
                    MonotonicTime deadline);
    /** A queued query is no longer wanted. */
    void withdraw(const ServiceId &service, QueryId query);
    void finished(StepContext &context, const ServiceId &service);
    void partEnded(StepContext &context, const ServiceId &service, const PartSample &sample);
    /** The next queued query that is now admitted or refused, if any. */
    std::optional<Decision> nextDecision(StepContext &context);

    MonotonicTime nextWakeUp() const;
    boost::json::object dump(MonotonicTime now) const;
};

} // namespace greengagestair
