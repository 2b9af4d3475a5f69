#pragma once

#include "core/CounterSet.h"
#include "greengagestair/Effect.h"
#include "greengagestair/Reducer.h"
#include "greengagestair/Types.h"

#include <random>

namespace greengagestair {

/** What a module may use while it handles one event. */
struct StepContext
{
    const Instant &instant;
    Effects &effects;
    CounterSet &counters;
    std::mt19937_64 &random;

    MonotonicTime now() const { return instant.now; }
    void emit(Effect effect) { effects.push_back(std::move(effect)); }
};

/** Draws call and send identifiers that are unique in one process. */
class IdentifierSource
{
public:
    CallId nextCall() { return { ++m_last }; }
    SendId nextSend() { return { ++m_last }; }
    PartId nextPart() { return { ++m_last }; }

private:
    std::uint64_t m_last = 0;
};

/** No wake-up is wanted. */
constexpr MonotonicTime kNever = MonotonicTime::max();

} // namespace greengagestair
