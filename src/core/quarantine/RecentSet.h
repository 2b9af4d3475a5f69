#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace greengagestair {

/**
 * Set of bounded size that contains at least the last `capacity` hashes added and at most twice as
 * many. Quarantine stores the requests in it that were answered.
 */
class RecentSet
{
public:
    explicit RecentSet(std::size_t capacity);

    /** Adds a hash; may remove the oldest ones. */
    void add(std::uint64_t hash);
    /** Removes a hash; does nothing if it is not contained. */
    void remove(std::uint64_t hash);
    /** True if the hash was added and has not been dropped since. */
    bool contains(std::uint64_t hash) const;
    /** Number of stored hashes; one that is in both generations counts twice. */
    std::size_t size() const { return m_current.size() + m_previous.size(); }

private:
    std::size_t m_capacity;
    std::unordered_set<std::uint64_t> m_current;
    std::unordered_set<std::uint64_t> m_previous; ///< replaced by `m_current` when that is full
};

} // namespace greengagestair
