#include "core/membership/IssuedGrants.h"

#include "core/Assert.h"

#include <algorithm>

namespace greengagestair {

void IssuedGrants::setMembers(const std::vector<Member> &members, const HostId &self,
                              MonotonicTime now)
{
    std::erase_if(m_entries, [&](const auto &entry) {
        return std::none_of(members.begin(), members.end(),
                            [&](const Member &member) { return member.host == entry.first; });
    });
    for (const Member &member : members) {
        if (member.host == self || m_entries.contains(member.host))
            continue;
        Entry &entry = m_entries[member.host];
        entry.clearingSince = now;
        entry.lastAck = now;
    }
}

std::vector<IssuedGrants::Transition> IssuedGrants::detectFailures(MonotonicTime now)
{
    std::vector<Transition> transitions;
    for (auto &[member, entry] : m_entries) {
        if (now - entry.lastAck < kTakeoverDelay)
            continue;
        entry.recentHeartbeat = false;
        if (entry.state == GrantState::Failed)
            continue;
        entry.state = GrantState::Failed;
        transitions.push_back({ member, GrantState::Failed });
    }
    return transitions;
}

bool IssuedGrants::isCurrentIncarnation(const HostId &member, Incarnation incarnation) const
{
    const auto found = m_entries.find(member);
    return found == m_entries.end() || incarnation >= found->second.incarnation;
}

GrantState IssuedGrants::onHeartbeat(const HostId &member, Incarnation incarnation, bool released,
                                     bool mayGrant, MonotonicTime now)
{
    const auto found = m_entries.find(member);
    if (found == m_entries.end())
        return GrantState::Clearing;
    Entry &entry = found->second;
    GREENGAGESTAIR_ASSERT(incarnation >= entry.incarnation);
    // A former process of the host may still have valid grants and requests in progress.
    const bool restarted = incarnation != entry.incarnation;
    if (restarted || (entry.state == GrantState::Failed && !entry.released))
        startClearing(entry, now);
    if (restarted)
        entry.released = false;
    entry.incarnation = incarnation;
    entry.recentHeartbeat = true;
    entry.lastAck = now;
    entry.released = entry.released || released;
    if (entry.released) {
        entry.state = GrantState::Failed;
        return GrantState::Failed;
    }
    if (entry.state == GrantState::Clearing && now - entry.clearingSince >= kTakeoverDelay)
        entry.state = GrantState::Granting;
    if (entry.state != GrantState::Granting || !mayGrant)
        return GrantState::Clearing;
    recordGrant(entry, now);
    return GrantState::Granting;
}

std::vector<MemberReport> IssuedGrants::reports(const HostId &receiver, MonotonicTime now)
{
    std::vector<MemberReport> reports;
    for (auto &[member, entry] : m_entries) {
        if (member == receiver)
            continue;
        if (statement(entry) == GrantState::Failed)
            recordReport(entry, now);
        reports.push_back({ member, statement(entry) });
    }
    return reports;
}

GrantState IssuedGrants::state(const HostId &member) const
{
    const auto found = m_entries.find(member);
    return found == m_entries.end() ? GrantState::Clearing : statement(found->second);
}

bool IssuedGrants::isReleased(const HostId &member) const
{
    const auto found = m_entries.find(member);
    return found != m_entries.end() && found->second.released;
}

bool IssuedGrants::hasRecentHeartbeat(const HostId &member) const
{
    const auto found = m_entries.find(member);
    return found != m_entries.end() && found->second.recentHeartbeat;
}

GrantState IssuedGrants::statement(const Entry &entry)
{
    return entry.released ? GrantState::Failed : entry.state;
}

void IssuedGrants::startClearing(Entry &entry, MonotonicTime now)
{
    entry.state = GrantState::Clearing;
    entry.clearingSince = now;
}

void IssuedGrants::recordReport(Entry &entry, MonotonicTime now)
{
    // A member that has released its servers never uses the grants that are still valid.
    const bool granted = entry.lastGrant && now - *entry.lastGrant < kTakeoverDelay;
    GREENGAGESTAIR_ASSERT(entry.released || !granted);
    entry.lastReport = now;
}

void IssuedGrants::recordGrant(Entry &entry, MonotonicTime now)
{
    const bool reported = entry.lastReport && now - *entry.lastReport < kTakeoverDelay;
    GREENGAGESTAIR_ASSERT(!reported);
    entry.lastGrant = now;
}

} // namespace greengagestair
