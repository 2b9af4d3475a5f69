#pragma once

#include "core/Interfaces.h"

#include <map>
#include <set>
#include <string>
#include <unordered_set>

namespace greengagestair {

/**
 * Derives from the platform's host list which members have ended. Membership calls update() when it
 * has adopted documents, excludes ended members from the majorities and removes them from the list.
 *
 * A member is delisted once a host list that is newer than the one under which it was added does
 * not contain it. It stays delisted until it is added again, even if its name reappears in the host
 * list: if some members counted it as ended and others as live, two majorities could form.
 *
 * A delisted member counts as ended once both of these hold:
 * - kTakeoverDelay has passed, so that the statements that it made before its end have expired.
 * - The platform has confirmed the member list since the member was delisted. Otherwise this host
 *   could be the only live member of an outdated list, while the other members' successors own the
 *   servers under a newer list.
 *
 * An empty host list delists nobody. It must be wrong, since this host runs, and if it were applied
 * no cell would own any server.
 *
 * This class relies on the platform to remove a host from the host list only after the host's
 * process has ended. It also relies on a host that returns under its name to be added again.
 */
class DelistedMembers
{
public:
    explicit DelistedMembers(const DocumentView &documents);

    /**
     * Compares the members with the host list in force. Returns whether ended() has changed.
     * `members` is null without a member list.
     */
    bool update(const MemberList *members, const FailureDomainId &domain, MonotonicTime now);

    /** All delisted members. Their processes have ended. */
    const std::set<HostId> &delisted() const { return m_delisted; }
    /** The delisted members that no longer count in majorities. */
    const std::set<HostId> &ended() const { return m_ended; }
    /** Whether the host list in force contains the host. */
    bool hostListContains(const HostId &host) const { return m_hostNames.contains(host.value); }

private:
    struct Delisting
    {
        Revision hostListRevision; ///< of the member's entry when it was delisted
        MonotonicTime since;
    };

    void updateHostNames();
    void updateDelistings(const MemberList *members, MonotonicTime now);

    const DocumentView &m_documents;
    Revision m_hostListVersion;   ///< of the host list that m_hostNames was read from
    Revision m_memberListVersion; ///< of the member list that was compared last
    std::unordered_set<std::string> m_hostNames;
    std::map<HostId, Delisting> m_delistings;
    std::set<HostId> m_delisted;
    std::set<HostId> m_ended;
};

} // namespace greengagestair
