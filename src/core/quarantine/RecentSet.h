#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace greengagestair {

/** Bounded set of hashes. Keeps at least the last `capacity` that were added. */
class RecentSet
{
public:
    explicit RecentSet(std::size_t capacity);

    void add(std::uint64_t hash);
    void remove(std::uint64_t hash);
    bool contains(std::uint64_t hash) const;
    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    std::size_t m_capacity;
    std::unordered_set<std::uint64_t> m_current;
    std::unordered_set<std::uint64_t> m_previous; ///< forgotten when `m_current` is full
};

} // namespace greengagestair
