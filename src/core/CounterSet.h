#pragma once

#include "greengagestair/Reducer.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/**
 * Metrics of one process: running totals and current sizes, by name. Names are in Prometheus style,
 * e.g. `hedges_total`. A counter is created when it is first written.
 */
class CounterSet
{
public:
    /** Adds to a counter, which starts at 0. */
    void add(std::string_view name, std::uint64_t amount = 1);
    /** Sets the current value of a size. */
    void set(std::string_view name, std::uint64_t value);
    /** Returns the value of a counter; 0 if it was never written. */
    std::uint64_t value(std::string_view name) const;
    /** Returns all counters, sorted by name. */
    std::vector<Counter> all() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_values;
};

} // namespace greengagestair
