#include "core/RequestLedger.h"

#include <boost/json.hpp>

namespace greengagestair {

RequestLedger::RequestLedger(const ReducerOptions &, PlatformCaller &) { }

void RequestLedger::claim(StepContext &context, const ServiceId &, const IdempotencyKey &,
                          MonotonicTime, ClaimHandler handler)
{
    ClaimResult result;
    result.reason = QueryReason::PlatformUnavailable;
    handler(context, result);
}

void RequestLedger::recordDone(StepContext &context, const ServiceId &, const IdempotencyKey &,
                               IndexVersion, const std::string &, MonotonicTime,
                               RecordHandler handler)
{
    handler(context, false);
}

void RequestLedger::release(StepContext &, const ServiceId &, const IdempotencyKey &) { }

void RequestLedger::findOutcome(StepContext &context, const ServiceId &, const IdempotencyKey &,
                                MonotonicTime, ClaimHandler handler)
{
    ClaimResult result;
    result.verdict = ClaimResult::Verdict::MayHaveRun;
    handler(context, result);
}

void RequestLedger::onTick(StepContext &) { }

MonotonicTime RequestLedger::nextWakeUp() const
{
    return kNever;
}

bool RequestLedger::idle() const
{
    return true;
}

boost::json::object RequestLedger::dump(MonotonicTime) const
{
    return {};
}

} // namespace greengagestair
