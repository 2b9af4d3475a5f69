#pragma once

#include "core/Interfaces.h"

#include <boost/json/fwd.hpp>

#include <optional>
#include <unordered_map>

namespace greengagestair {

/** Makes calls to the platform, routes each answer to its caller and notes outages. */
class PlatformCallTracker : public PlatformAccess
{
public:
    explicit PlatformCallTracker(IdentifierSource &identifiers);

    CallId call(StepContext &context, decltype(CallPlatform::request) request, Duration timeout,
                PlatformHandler handler) override;

    /**
     * Time since the last answer while the platform is believed unreachable, that is, after a call
     * without a usable answer; zero otherwise. A host without calls to make is not in an outage.
     */
    Duration outageDuration(MonotonicTime now) const override;

    /** Routes the end of a call; an unknown call is counted and ignored. */
    void deliver(StepContext &context, const PlatformFinished &finished);

    boost::json::object dump(MonotonicTime now) const;

private:
    void recordAnswer(StepContext &context);
    void recordFailure(StepContext &context);

    IdentifierSource &m_identifiers;
    std::unordered_map<CallId, PlatformHandler> m_handlers;
    std::optional<MonotonicTime> m_lastAnswer; ///< start of the first call until one is answered
    bool m_reachable = true;
};

} // namespace greengagestair
