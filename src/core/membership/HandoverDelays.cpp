#include "core/membership/HandoverDelays.h"

#include "core/Hashing.h"
#include "core/StepContext.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

static bool contains(const std::vector<Member> &members, const HostId &host)
{
    return std::any_of(members.begin(), members.end(),
                       [&host](const Member &member) { return member.host == host; });
}

static std::vector<HostId> membersMissingFrom(const std::vector<Member> &members,
                                              const std::vector<Member> &others)
{
    std::vector<HostId> missing;
    for (const Member &member : members) {
        if (!contains(others, member.host))
            missing.push_back(member.host);
    }
    return missing;
}

HandoverDelays::HandoverDelays(HostId self)
    : m_self(std::move(self))
{
}

void HandoverDelays::onNewList(Revision oldVersion, const std::vector<Member> &oldMembers,
                               Revision newVersion, const std::vector<Member> &newMembers,
                               const std::set<HostId> &ended)
{
    ListChange change;
    change.removed = membersMissingFrom(oldMembers, newMembers);
    const std::size_t changedHosts =
            change.removed.size() + membersMissingFrom(newMembers, oldMembers).size();
    // If versions were skipped, another member may have owned the server in a list between.
    change.isSingleChange = newVersion.value == oldVersion.value + 1 && changedHosts <= 1
            && contains(oldMembers, m_self);
    std::erase_if(change.removed, [&ended](const HostId &host) { return ended.contains(host); });
    m_changes.push_back(std::move(change));
}

void HandoverDelays::onMajorityHoldsList(MonotonicTime now)
{
    for (ListChange &change : m_changes) {
        if (!change.firstMajority)
            change.firstMajority = now;
    }
    std::erase_if(m_changes, [now](const ListChange &change) {
        return now - *change.firstMajority >= kTakeoverDelay;
    });
}

MonotonicTime HandoverDelays::delayEnd(const ServerId &server) const
{
    MonotonicTime end = MonotonicTime::min();
    for (const ListChange &change : m_changes) {
        if (!requiresDelay(change, server))
            continue;
        end = std::max(end, change.firstMajority ? *change.firstMajority + kTakeoverDelay : kNever);
    }
    return end;
}

bool HandoverDelays::requiresDelay(const ListChange &change, const ServerId &server) const
{
    if (!change.isSingleChange)
        return true;
    const std::uint64_t own = rendezvousScore(server.value, m_self.value);
    return std::any_of(change.removed.begin(), change.removed.end(), [&](const HostId &host) {
        return rendezvousScore(server.value, host.value) >= own;
    });
}

} // namespace greengagestair
