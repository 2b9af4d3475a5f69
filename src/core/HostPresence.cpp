#include "core/HostPresence.h"

#include <utility>

namespace greengagestair {

HostPresence::HostPresence(const DocumentView &documents)
    : m_documents(documents)
{
}

bool HostPresence::update(const MemberList *members, Revision memberListVersion)
{
    const bool newHostList = m_documents.hostListVersion() != m_readVersion;
    if (!newHostList && memberListVersion == m_comparedVersion)
        return false;
    m_comparedVersion = memberListVersion;
    readHostList();
    std::map<HostId, Revision> goneEntries;
    std::set<HostId> gone;
    if (members) {
        for (const Member &member : members->members) {
            const auto before = m_goneEntries.find(member.host);
            const bool wasGone = before != m_goneEntries.end() && before->second >= member.listedAt;
            const bool dropped = m_readVersion > member.listedAt && !shows(member.host);
            if (!wasGone && !dropped)
                continue;
            goneEntries[member.host] = member.listedAt;
            gone.insert(member.host);
        }
    }
    m_goneEntries = std::move(goneEntries);
    const bool changed = gone != m_gone;
    m_gone = std::move(gone);
    return changed;
}

void HostPresence::readHostList()
{
    if (!m_documents.hostList() || m_documents.hostListVersion() == m_readVersion)
        return;
    m_readVersion = m_documents.hostListVersion();
    m_shown.clear();
    for (const ListedHost &host : m_documents.hostList()->hosts)
        m_shown.insert(host.name);
}

} // namespace greengagestair
