#pragma once

#include "core/Interfaces.h"

#include <map>
#include <set>
#include <string>
#include <unordered_set>

namespace greengagestair {

/**
 * Which members the platform has ended, told by its host list.
 *
 * A member is gone once a host list newer than the one that admitted it does not show it. It stays
 * gone until it is admitted anew, even if its name shows up again: members that still count it as
 * gone and members that count it as live must not form two majorities. This relies on the platform
 * to drop a host only after its process has ended, and on the host to be admitted anew after that.
 */
class HostPresence
{
public:
    explicit HostPresence(const DocumentView &documents);

    /** Compares the members with the host list in force; true if the set of gone ones changed. */
    bool update(const MemberList *members, Revision memberListVersion);

    const std::set<HostId> &gone() const { return m_gone; }
    /** Whether the host list in force shows the host. */
    bool shows(const HostId &host) const { return m_shown.contains(host.value); }

private:
    void readHostList();

    const DocumentView &m_documents;
    Revision m_readVersion;     ///< of the host list
    Revision m_comparedVersion; ///< of the member list
    std::unordered_set<std::string> m_shown;
    std::map<HostId, Revision> m_goneEntries; ///< with the revision that admitted them
    std::set<HostId> m_gone;
};

} // namespace greengagestair
