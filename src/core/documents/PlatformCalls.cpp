#include "core/documents/PlatformCalls.h"

#include "core/Assert.h"

#include <boost/json/object.hpp>

#include <utility>

namespace greengagestair {

PlatformCalls::PlatformCalls(IdentifierSource &identifiers)
    : m_identifiers(identifiers)
{
}

CallId PlatformCalls::call(StepContext &context, decltype(CallPlatform::request) request,
                           Duration timeout, PlatformHandler handler)
{
    const CallId id = m_identifiers.nextCall();
    const bool fresh = m_handlers.emplace(id, std::move(handler)).second;
    GREENGAGESTAIR_ASSERT(fresh);
    if (!m_lastAnswer)
        m_lastAnswer = context.now();
    context.counters.add("platform_calls_total");
    context.emit(CallPlatform { id, timeout, std::move(request) });
    return id;
}

Duration PlatformCalls::silence(MonotonicTime now) const
{
    if (m_reachable || !m_lastAnswer)
        return Duration::zero();
    return now - *m_lastAnswer;
}

void PlatformCalls::deliver(StepContext &context, const PlatformFinished &finished)
{
    const auto found = m_handlers.find(finished.call);
    if (found == m_handlers.end()) {
        context.counters.add("platform_unknown_answers_total");
        return;
    }
    const PlatformHandler handler = std::move(found->second);
    m_handlers.erase(found);
    if (std::holds_alternative<PlatformFailure>(finished.result))
        noteFailure(context);
    else
        noteAnswer(context);
    handler(context, finished);
}

boost::json::object PlatformCalls::dump(MonotonicTime now) const
{
    boost::json::object state;
    state["reachable"] = m_reachable;
    state["silenceMs"] = silence(now) / std::chrono::milliseconds(1);
    state["callsWaiting"] = m_handlers.size();
    return state;
}

void PlatformCalls::noteAnswer(StepContext &context)
{
    m_lastAnswer = context.now();
    if (m_reachable)
        return;
    m_reachable = true;
    context.emit(LogStateChange { StateChangeKind::PlatformReachable, "platform", 0 });
}

void PlatformCalls::noteFailure(StepContext &context)
{
    context.counters.add("platform_failures_total");
    if (!m_reachable)
        return;
    m_reachable = false;
    context.emit(LogStateChange { StateChangeKind::PlatformUnreachable, "platform", 0 });
}

} // namespace greengagestair
