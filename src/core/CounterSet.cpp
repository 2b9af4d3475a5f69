#include "core/CounterSet.h"

namespace greengagestair {

void CounterSet::add(std::string_view name, std::uint64_t amount)
{
    auto found = m_values.find(name);
    if (found == m_values.end())
        found = m_values.emplace(std::string(name), 0).first;
    found->second += amount;
}

void CounterSet::set(std::string_view name, std::uint64_t value)
{
    auto found = m_values.find(name);
    if (found == m_values.end())
        found = m_values.emplace(std::string(name), 0).first;
    found->second = value;
}

std::uint64_t CounterSet::value(std::string_view name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

std::vector<Counter> CounterSet::all() const
{
    std::vector<Counter> counters;
    counters.reserve(m_values.size());
    for (const auto &[name, value] : m_values)
        counters.push_back({ name, value });
    return counters;
}

} // namespace greengagestair
