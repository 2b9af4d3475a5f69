#pragma once

#include "core/CounterSet.h"
#include "greengagestair/Effect.h"
#include "greengagestair/Reducer.h"
#include "greengagestair/Types.h"

#include <random>

namespace greengagestair {

/**
 * Context in which a module handles one event: the event's time, the effects to emit, the counters
 * and the random generator. The reducer passes it to each function that handles an event.
 */
struct StepContext
{
    const Instant &instant; ///< time of the event
    Effects &effects;       ///< effects emitted so far for the event
    CounterSet &counters;
    std::mt19937_64 &random; ///< seeded once per process, so that a trace can be replayed

    /** Monotonic time of the event. */
    MonotonicTime now() const { return instant.now; }
    /** Appends an effect, which the process carries out after the event. */
    void emit(Effect effect) { effects.push_back(std::move(effect)); }
};

/** Generates call, send and part identifiers; all are unique within one process. */
class IdentifierSource
{
public:
    CallId nextCall() { return { ++m_last }; }
    SendId nextSend() { return { ++m_last }; }
    PartId nextPart() { return { ++m_last }; }

private:
    std::uint64_t m_last = 0;
};

/** Wake-up time of a module that needs no wake-up. */
constexpr MonotonicTime kNever = MonotonicTime::max();

} // namespace greengagestair
