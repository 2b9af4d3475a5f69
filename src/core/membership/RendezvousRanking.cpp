#include "core/membership/RendezvousRanking.h"

#include "core/Hashing.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/**
 * The cache is cleared at this size, so that configurations that rename servers do not let it grow
 * without bound. A failure domain has 2,400 backend servers at design size.
 */
static constexpr std::size_t kMaxCachedOrders = 50'000;

void RendezvousRanking::setMembers(std::vector<Member> members)
{
    m_members = std::move(members);
    m_orders.clear();
}

const std::vector<std::uint16_t> &RendezvousRanking::order(const ServerId &server) const
{
    const auto found = m_orders.find(server);
    if (found != m_orders.end())
        return found->second;
    if (m_orders.size() >= kMaxCachedOrders)
        m_orders.clear();
    return m_orders.emplace(server, rank(server)).first->second;
}

std::vector<std::uint16_t> RendezvousRanking::rank(const ServerId &server) const
{
    std::vector<std::pair<std::uint64_t, std::uint16_t>> scored;
    scored.reserve(m_members.size());
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        scored.emplace_back(rendezvousScore(server.value, m_members[index].host.value),
                            static_cast<std::uint16_t>(index));
    }
    // Equal scores are ordered by host name, so the result does not depend on the list's order.
    std::sort(scored.begin(), scored.end(), [this](const auto &left, const auto &right) {
        if (left.first != right.first)
            return left.first > right.first;
        return m_members[left.second].host < m_members[right.second].host;
    });
    std::vector<std::uint16_t> order;
    order.reserve(scored.size());
    for (const auto &[score, index] : scored)
        order.push_back(index);
    return order;
}

} // namespace greengagestair
