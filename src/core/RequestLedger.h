#pragma once

#include "core/Interfaces.h"

#include <boost/json/fwd.hpp>

namespace greengagestair {

/** At-most-once execution by records in the platform (docs/design.md, section 7). */
class RequestLedger : public RequestClaims
{
public:
    RequestLedger(const ReducerOptions &options, PlatformCaller &platform);

    void claim(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
               MonotonicTime deadline, ClaimHandler handler) override;
    void recordDone(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                    IndexVersion snapshot, const std::string &body, MonotonicTime deadline,
                    RecordHandler handler) override;
    void release(StepContext &context, const ServiceId &service,
                 const IdempotencyKey &key) override;
    void findOutcome(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                     MonotonicTime deadline, ClaimHandler handler) override;

    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const;
    bool idle() const;
    boost::json::object dump(MonotonicTime now) const;
};

} // namespace greengagestair
