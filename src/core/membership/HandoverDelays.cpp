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

static std::vector<HostId> missingFrom(const std::vector<Member> &members,
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
    Step step;
    step.removed = missingFrom(oldMembers, newMembers);
    const std::size_t changed = step.removed.size() + missingFrom(newMembers, oldMembers).size();
    // A jump of versions may hide a list in which another member owned the server.
    step.comparable = newVersion.value == oldVersion.value + 1 && changed <= 1
            && contains(oldMembers, m_self);
    std::erase_if(step.removed, [&ended](const HostId &host) { return ended.contains(host); });
    m_steps.push_back(std::move(step));
}

void HandoverDelays::onMajorityHoldsList(MonotonicTime now)
{
    for (Step &step : m_steps) {
        if (!step.firstMajority)
            step.firstMajority = now;
    }
    std::erase_if(m_steps,
                  [now](const Step &step) { return now - *step.firstMajority >= kTakeoverDelay; });
}

MonotonicTime HandoverDelays::delayEnd(const ServerId &server) const
{
    MonotonicTime end = MonotonicTime::min();
    for (const Step &step : m_steps) {
        if (!mustWait(step, server))
            continue;
        end = std::max(end, step.firstMajority ? *step.firstMajority + kTakeoverDelay : kNever);
    }
    return end;
}

bool HandoverDelays::mustWait(const Step &step, const ServerId &server) const
{
    if (!step.comparable)
        return true;
    const std::uint64_t own = rendezvousScore(server.value, m_self.value);
    return std::any_of(step.removed.begin(), step.removed.end(), [&](const HostId &host) {
        return rendezvousScore(server.value, host.value) >= own;
    });
}

} // namespace greengagestair
