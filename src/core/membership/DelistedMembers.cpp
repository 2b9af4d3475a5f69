#include "core/membership/DelistedMembers.h"

#include "core/membership/MembershipTimes.h"

#include <utility>

namespace greengagestair {

DelistedMembers::DelistedMembers(const DocumentView &documents)
    : m_documents(documents)
{
}

bool DelistedMembers::update(const MemberList *members, const FailureDomainId &domain,
                             MonotonicTime now)
{
    const Revision version = m_documents.memberListVersion(domain);
    if (m_documents.hostListVersion() != m_readVersion || version != m_comparedVersion) {
        m_comparedVersion = version;
        readHostList();
        compare(members, now);
    }
    if (m_drops.empty() && m_gone.empty())
        return false;
    const std::optional<MonotonicTime> confirmedAt = m_documents.memberListConfirmedAt(domain);
    std::set<HostId> ended;
    for (const auto &[host, drop] : m_drops) {
        const bool lapsed = now - drop.since >= kTakeoverDelay;
        if (lapsed && confirmedAt && *confirmedAt >= drop.since)
            ended.insert(host);
    }
    const bool changed = ended != m_gone;
    m_gone = std::move(ended);
    return changed;
}

void DelistedMembers::compare(const MemberList *members, MonotonicTime now)
{
    std::map<HostId, Drop> drops;
    m_dropped.clear();
    if (members) {
        for (const Member &member : members->members) {
            const auto before = m_drops.find(member.host);
            const bool wasDropped = before != m_drops.end()
                    && before->second.hostListRevision >= member.hostListRevision;
            const bool isDropped = !m_shown.empty() && m_readVersion > member.hostListRevision
                    && !hostListContains(member.host);
            if (!wasDropped && !isDropped)
                continue;
            drops[member.host] =
                    wasDropped ? before->second : Drop { member.hostListRevision, now };
            m_dropped.insert(member.host);
        }
    }
    m_drops = std::move(drops);
}

void DelistedMembers::readHostList()
{
    if (!m_documents.hostList() || m_documents.hostListVersion() == m_readVersion)
        return;
    m_readVersion = m_documents.hostListVersion();
    m_shown.clear();
    for (const ListedHost &host : m_documents.hostList()->hosts)
        m_shown.insert(host.name);
}

} // namespace greengagestair
