#include "core/documents/PlatformCallTracker.h"

#include "core/Assert.h"

#include <boost/json/object.hpp>

#include <utility>

namespace greengagestair {

PlatformCallTracker::PlatformCallTracker(IdentifierSource &identifiers)
    : m_identifiers(identifiers)
{
}

CallId PlatformCallTracker::call(StepContext &context, decltype(CallPlatform::request) request,
                                 Duration timeout, PlatformHandler handler)
{
    const CallId id = m_identifiers.nextCall();
    const bool inserted = m_handlers.emplace(id, std::move(handler)).second;
    GREENGAGESTAIR_ASSERT(inserted);
    if (!m_lastAnswer)
        m_lastAnswer = context.now();
    context.counters.add("platform_calls_total");
    context.emit(CallPlatform { id, timeout, std::move(request) });
    return id;
}

Duration PlatformCallTracker::outageDuration(MonotonicTime now) const
{
    if (m_reachable || !m_lastAnswer)
        return Duration::zero();
    return now - *m_lastAnswer;
}

void PlatformCallTracker::deliver(StepContext &context, const PlatformFinished &finished)
{
    const auto found = m_handlers.find(finished.call);
    if (found == m_handlers.end()) {
        context.counters.add("platform_unknown_answers_total");
        return;
    }
    const PlatformHandler handler = std::move(found->second);
    m_handlers.erase(found);
    if (std::holds_alternative<PlatformFailure>(finished.result))
        recordFailure(context);
    else
        recordAnswer(context);
    handler(context, finished);
}

boost::json::object PlatformCallTracker::dump(MonotonicTime now) const
{
    boost::json::object state;
    state["reachable"] = m_reachable;
    state["silenceMs"] = outageDuration(now) / std::chrono::milliseconds(1);
    state["callsWaiting"] = m_handlers.size();
    return state;
}

void PlatformCallTracker::recordAnswer(StepContext &context)
{
    m_lastAnswer = context.now();
    if (m_reachable)
        return;
    m_reachable = true;
    context.emit(LogStateChange { StateChangeKind::PlatformReachable, "platform", 0 });
}

void PlatformCallTracker::recordFailure(StepContext &context)
{
    context.counters.add("platform_failures_total");
    if (!m_reachable)
        return;
    m_reachable = false;
    context.emit(LogStateChange { StateChangeKind::PlatformUnreachable, "platform", 0 });
}

} // namespace greengagestair
