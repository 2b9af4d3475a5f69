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
    if (m_documents.hostListVersion() != m_hostListVersion || version != m_memberListVersion) {
        m_memberListVersion = version;
        updateHostNames();
        updateDelistings(members, now);
    }
    if (m_delistings.empty() && m_ended.empty())
        return false;
    const std::optional<MonotonicTime> confirmedAt = m_documents.memberListConfirmedAt(domain);
    std::set<HostId> ended;
    for (const auto &[host, delisting] : m_delistings) {
        const bool statementsExpired = now - delisting.since >= kTakeoverDelay;
        if (statementsExpired && confirmedAt && *confirmedAt >= delisting.since)
            ended.insert(host);
    }
    const bool changed = ended != m_ended;
    m_ended = std::move(ended);
    return changed;
}

void DelistedMembers::updateDelistings(const MemberList *members, MonotonicTime now)
{
    std::map<HostId, Delisting> delistings;
    m_delisted.clear();
    if (members) {
        for (const Member &member : members->members) {
            const auto before = m_delistings.find(member.host);
            const bool wasDelisted = before != m_delistings.end()
                    && before->second.hostListRevision >= member.hostListRevision;
            const bool isDelisted = !m_hostNames.empty()
                    && m_hostListVersion > member.hostListRevision
                    && !hostListContains(member.host);
            if (!wasDelisted && !isDelisted)
                continue;
            delistings[member.host] =
                    wasDelisted ? before->second : Delisting { member.hostListRevision, now };
            m_delisted.insert(member.host);
        }
    }
    m_delistings = std::move(delistings);
}

void DelistedMembers::updateHostNames()
{
    if (!m_documents.hostList() || m_documents.hostListVersion() == m_hostListVersion)
        return;
    m_hostListVersion = m_documents.hostListVersion();
    m_hostNames.clear();
    for (const ListedHost &host : m_documents.hostList()->hosts)
        m_hostNames.insert(host.name);
}

} // namespace greengagestair
