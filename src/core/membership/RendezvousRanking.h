#pragma once

#include "greengagestair/Configuration.h"
#include "greengagestair/Types.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/** Order of a cell's members for each backend server, cached per server. */
class RendezvousRanking
{
public:
    /** Replaces the members and forgets the cached orders. */
    void setMembers(std::vector<Member> members);
    const std::vector<Member> &members() const { return m_members; }

    /** Indexes into members(), the owner-to-be first. Valid until the next call. */
    const std::vector<std::uint16_t> &order(const ServerId &server) const;

private:
    std::vector<std::uint16_t> rank(const ServerId &server) const;

    std::vector<Member> m_members;
    mutable std::unordered_map<ServerId, std::vector<std::uint16_t>> m_orders;
};

} // namespace greengagestair
