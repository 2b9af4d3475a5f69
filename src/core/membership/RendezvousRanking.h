#pragma once

#include "greengagestair/Configuration.h"
#include "greengagestair/Types.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Ranks the members of a cell for each backend server by rendezvous hashing and caches the result
 * per server. Every host computes the same order. Used to find the owner of a server.
 */
class RendezvousRanking
{
public:
    /** Replaces the members and clears the cache. */
    void setMembers(std::vector<Member> members);
    /** The members in the order in which they were set. */
    const std::vector<Member> &members() const { return m_members; }

    /**
     * Indexes into members(), by descending rank: the first member owns the server unless it has
     * failed. The reference is valid until the next call.
     */
    const std::vector<std::uint16_t> &order(const ServerId &server) const;

private:
    std::vector<std::uint16_t> rank(const ServerId &server) const;

    std::vector<Member> m_members;
    mutable std::unordered_map<ServerId, std::vector<std::uint16_t>> m_orders;
};

} // namespace greengagestair
