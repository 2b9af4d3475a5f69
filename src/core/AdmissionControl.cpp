#include "core/AdmissionControl.h"

#include <boost/json.hpp>

namespace greengagestair {

AdmissionControl::AdmissionControl(const ReducerOptions &, DocumentView &) { }

AdmissionControl::Verdict AdmissionControl::request(StepContext &, const Service &, Priority,
                                                    QueryId, MonotonicTime)
{
    return Verdict::Admitted;
}

void AdmissionControl::withdraw(const ServiceId &, QueryId) { }

void AdmissionControl::finished(StepContext &, const ServiceId &) { }

void AdmissionControl::partEnded(StepContext &, const ServiceId &, const PartSample &) { }

std::optional<AdmissionControl::Decision> AdmissionControl::nextDecision(StepContext &)
{
    return std::nullopt;
}

MonotonicTime AdmissionControl::nextWakeUp() const
{
    return kNever;
}

boost::json::object AdmissionControl::dump(MonotonicTime) const
{
    return {};
}

} // namespace greengagestair
