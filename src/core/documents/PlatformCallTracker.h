#pragma once

#include "core/Interfaces.h"

#include <boost/json/fwd.hpp>

#include <optional>
#include <unordered_map>

namespace greengagestair {

/**
 * Keeps track of the calls to the platform. It emits a CallPlatform effect for each call, passes
 * the result to the handler of the call and detects outages of the platform. The reducer owns it
 * and delivers the results to it.
 */
class PlatformCallTracker : public PlatformAccess
{
public:
    explicit PlatformCallTracker(IdentifierSource &identifiers);

    CallId call(StepContext &context, decltype(CallPlatform::request) request, Duration timeout,
                PlatformHandler handler) override;

    /**
     * Time since the last usable answer of the platform, if the latest call ended without one; zero
     * otherwise. A period without calls does not count as an outage.
     */
    Duration outageDuration(MonotonicTime now) const override;

    /** Passes the result of a call to its handler. The result of an unknown call is counted and
     * ignored. */
    void deliver(StepContext &context, const PlatformFinished &finished);

    /** Returns the state for the operators' dump. */
    boost::json::object dump(MonotonicTime now) const;

private:
    void recordAnswer(StepContext &context);
    void recordFailure(StepContext &context);

    IdentifierSource &m_identifiers;
    std::unordered_map<CallId, PlatformHandler> m_handlers;
    std::optional<MonotonicTime> m_lastAnswer; ///< before the first answer: start of the first call
    bool m_reachable = true;
};

} // namespace greengagestair
