#pragma once

#include "greengagestair/Reducer.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/** Named counters of one process. Names follow Prometheus, e.g. `hedges_total`. */
class CounterSet
{
public:
    void add(std::string_view name, std::uint64_t amount = 1);
    void set(std::string_view name, std::uint64_t value);
    std::uint64_t value(std::string_view name) const;
    std::vector<Counter> all() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_values;
};

} // namespace greengagestair
