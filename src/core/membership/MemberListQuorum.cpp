#include "core/membership/MemberListQuorum.h"

#include "core/Assert.h"

#include <algorithm>
#include <functional>

namespace greengagestair {

MemberListQuorum::MemberListQuorum(const HostId &self)
    : m_self(self)
    , m_handoverDelays(self)
{
}

MemberListQuorum MemberListQuorum::makeSuccessor(Revision version, const MemberList &list,
                                                 const std::set<HostId> &ended) const
{
    MemberListQuorum successor(m_self);
    successor.m_version = version;
    successor.m_handoverDelays = m_handoverDelays;
    successor.m_handoverDelays.onNewList(m_version, members(), version, list.members, ended);
    successor.m_ranking.setMembers(list.members);
    successor.m_failedUntil.assign(list.members.size(), MonotonicTime::min());
    return successor;
}

void MemberListQuorum::update(const IssuedGrants &issued, const ReceivedGrants &received,
                              const std::set<HostId> &ended,
                              const std::map<HostId, Revision> &heldVersions, bool selfGrants,
                              MonotonicTime now)
{
    const auto live = static_cast<std::size_t>(
            std::count_if(members().begin(), members().end(),
                          [&ended](const Member &member) { return !ended.contains(member.host); }));
    m_majority = live / 2 + 1;
    m_grantsUntil = computeGrantsEnd(received, ended, selfGrants);
    for (std::size_t index = 0; index < members().size(); ++index)
        m_failedUntil[index] = computeFailedEnd(members()[index].host, issued, received, ended);
    if (isHeldByMajority(heldVersions, ended))
        m_handoverDelays.onMajorityHoldsList(now);
}

const Member *MemberListQuorum::find(const HostId &host) const
{
    const auto found = std::find_if(members().begin(), members().end(),
                                    [&host](const Member &member) { return member.host == host; });
    return found == members().end() ? nullptr : &*found;
}

bool MemberListQuorum::isActiveOwner(const ServerId &server, MonotonicTime now) const
{
    if (now >= m_grantsUntil)
        return false;
    for (const std::uint16_t index : m_ranking.order(server)) {
        if (members()[index].host == m_self)
            return now >= m_handoverDelays.delayEnd(server);
        if (now >= m_failedUntil[index])
            return false;
    }
    return false;
}

const Member *MemberListQuorum::owner(const ServerId &server, MonotonicTime now) const
{
    for (const std::uint16_t index : m_ranking.order(server)) {
        if (now >= m_failedUntil[index])
            return &members()[index];
    }
    return nullptr;
}

bool MemberListQuorum::isFailed(const HostId &host, MonotonicTime now) const
{
    for (std::size_t index = 0; index < members().size(); ++index) {
        if (members()[index].host == host)
            return now < m_failedUntil[index];
    }
    return false;
}

std::vector<const Member *> MemberListQuorum::higherRanked(const ServerId &server) const
{
    std::vector<const Member *> higher;
    for (const std::uint16_t index : m_ranking.order(server)) {
        if (members()[index].host == m_self)
            break;
        higher.push_back(&members()[index]);
    }
    return higher;
}

bool MemberListQuorum::isHeldByMajority(const std::map<HostId, Revision> &heldVersions,
                                        const std::set<HostId> &ended) const
{
    const auto holders =
            std::count_if(members().begin(), members().end(), [&](const Member &member) {
                const auto held = heldVersions.find(member.host);
                const bool holdsList = held != heldVersions.end() && held->second >= m_version;
                return !ended.contains(member.host) && (member.host == m_self || holdsList);
            });
    return m_majority > 0 && static_cast<std::size_t>(holders) >= m_majority;
}

MonotonicTime MemberListQuorum::computeGrantsEnd(const ReceivedGrants &received,
                                                 const std::set<HostId> &ended,
                                                 bool selfGrants) const
{
    if (!selfGrants || !containsSelf())
        return MonotonicTime::min();
    std::vector<MonotonicTime> ends;
    for (const Member &member : members()) {
        if (member.host == m_self)
            ends.push_back(m_selfGrantEnd);
        else if (!ended.contains(member.host))
            ends.push_back(received.grantedUntil(member.host, m_version));
    }
    return majorityEnd(std::move(ends));
}

MonotonicTime MemberListQuorum::computeFailedEnd(const HostId &subject, const IssuedGrants &issued,
                                                 const ReceivedGrants &received,
                                                 const std::set<HostId> &ended) const
{
    if (subject == m_self)
        return MonotonicTime::min();
    if (ended.contains(subject))
        return kNever;
    std::vector<MonotonicTime> ends;
    for (const Member &member : members()) {
        const bool mayVote = member.host != subject && !ended.contains(member.host);
        if (mayVote && member.host == m_self) {
            const bool failed = issued.state(subject) == GrantState::Failed;
            ends.push_back(failed ? kNever : MonotonicTime::min());
        } else if (mayVote) {
            ends.push_back(received.reportedFailedUntil(member.host, subject));
        }
    }
    return majorityEnd(std::move(ends));
}

MonotonicTime MemberListQuorum::majorityEnd(std::vector<MonotonicTime> ends) const
{
    if (m_majority == 0 || ends.size() < m_majority)
        return MonotonicTime::min();
    const auto last = ends.begin() + static_cast<std::ptrdiff_t>(m_majority) - 1;
    std::nth_element(ends.begin(), last, ends.end(), std::greater<>());
    return *last;
}

} // namespace greengagestair
