#include "core/Quarantine.h"

#include <boost/json.hpp>

namespace greengagestair {

Quarantine::Quarantine(const ReducerOptions &, DocumentView &, DocumentWriter &) { }

Quarantine::Plan Quarantine::plan(Signature, IndexVersion, const std::vector<const Group *> &,
                                  const std::vector<ServerId> &) const
{
    return {};
}

void Quarantine::partAnswered(Signature, IndexVersion) { }

void Quarantine::partLost(StepContext &, Signature, const ServerId &) { }

void Quarantine::partRefused(StepContext &, Signature) { }

void Quarantine::serverLost(StepContext &, const ServerId &, const std::vector<Signature> &) { }

void Quarantine::signatureAnswered(StepContext &, Signature) { }

bool Quarantine::mayRun(Signature, bool) const
{
    return true;
}

void Quarantine::onTick(StepContext &) { }

MonotonicTime Quarantine::nextWakeUp() const
{
    return kNever;
}

boost::json::object Quarantine::dump(MonotonicTime) const
{
    return {};
}

} // namespace greengagestair
