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
 * A member is dropped once a host list newer than the one that admitted it does not show it. It
 * stays dropped until it is admitted anew, even if its name shows up again: members that still
 * count it as gone and members that count it as live must not form two majorities.
 *
 * A dropped member is gone, so that majorities are counted without it, when two conditions hold:
 * - kTakeoverDelay has passed, so that the statements it gave before its end have lapsed;
 * - the member list was current after it was known to be dropped. Otherwise this host might be left
 *   alone with a list whose other members are gone, while their successors serve under a newer one.
 *
 * An empty host list drops nobody: it is wrong, since this host runs, and with it no cell would
 * serve.
 *
 * This relies on the platform to drop a host only after its process has ended, and on a host that
 * returns under its name to be admitted anew.
 */
class DelistedMembers
{
public:
    explicit DelistedMembers(const DocumentView &documents);

    /** Compares the members with the host list in force; true if the set of gone ones changed. */
    bool update(const MemberList *members, const FailureDomainId &domain, MonotonicTime now);

    const std::set<HostId> &delisted() const { return m_dropped; }
    const std::set<HostId> &ended() const { return m_gone; }
    /** Whether the host list in force shows the host. */
    bool hostListContains(const HostId &host) const { return m_shown.contains(host.value); }

private:
    struct Drop
    {
        Revision hostListRevision; ///< of the entry that was dropped
        MonotonicTime since;
    };

    void readHostList();
    void compare(const MemberList *members, MonotonicTime now);

    const DocumentView &m_documents;
    Revision m_readVersion;     ///< of the host list
    Revision m_comparedVersion; ///< of the member list
    std::unordered_set<std::string> m_shown;
    std::map<HostId, Drop> m_drops;
    std::set<HostId> m_dropped;
    std::set<HostId> m_gone;
};

} // namespace greengagestair
