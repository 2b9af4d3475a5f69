#include "core/quarantine/RecentSet.h"

#include <utility>

namespace greengagestair {

RecentSet::RecentSet(std::size_t capacity)
    : m_capacity(capacity)
{
}

void RecentSet::add(std::uint64_t hash)
{
    if (m_current.size() >= m_capacity)
        m_previous = std::exchange(m_current, {});
    m_current.insert(hash);
}

void RecentSet::remove(std::uint64_t hash)
{
    m_current.erase(hash);
    m_previous.erase(hash);
}

bool RecentSet::contains(std::uint64_t hash) const
{
    return m_current.contains(hash) || m_previous.contains(hash);
}

} // namespace greengagestair
