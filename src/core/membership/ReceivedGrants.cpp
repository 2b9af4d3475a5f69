#include "core/membership/ReceivedGrants.h"

#include "core/Assert.h"

#include <algorithm>

namespace greengagestair {

/** Heartbeats whose acks may still carry a valid statement, with room for extra heartbeats that
 * changes of the member list cause. */
static constexpr std::size_t kSentKept = 32;
/** Grants of the current and the previous list version are in use. */
static constexpr std::size_t kVersionsKept = 2;

/** Earlier than any event: the statement was never made. */
static constexpr MonotonicTime kNeverStated = MonotonicTime::min();

ReceivedGrants::ReceivedGrants(Incarnation own)
    : m_own(own)
{
}

void ReceivedGrants::onHeartbeatSent(std::uint64_t sequence, Revision memberListVersion,
                                     MonotonicTime now)
{
    GREENGAGESTAIR_ASSERT(m_sent.empty() || sequence > m_sent.back().sequence);
    m_sent.push_back({ sequence, memberListVersion, now });
    if (m_sent.size() > kSentKept)
        m_sent.pop_front();
}

bool ReceivedGrants::onAck(const HostId &from, Incarnation fromIncarnation, const HeartbeatAck &ack)
{
    const Sent *sent = findSent(ack.sequence);
    if (ack.incarnation != m_own || !sent)
        return false;
    Statements &statements = m_statements[from];
    if (fromIncarnation < statements.incarnation)
        return false;
    if (fromIncarnation == statements.incarnation && ack.sequence < statements.sequence)
        return false;
    statements.incarnation = fromIncarnation;
    statements.sequence = ack.sequence;
    takeGrant(statements, *sent, ack);
    takeReports(statements, *sent, ack);
    return true;
}

MonotonicTime ReceivedGrants::grantedUntil(const HostId &by, Revision memberListVersion) const
{
    const auto found = m_statements.find(by);
    if (found == m_statements.end())
        return kNeverStated;
    const auto grant = found->second.grants.find(memberListVersion);
    return grant == found->second.grants.end() ? kNeverStated : grant->second;
}

MonotonicTime ReceivedGrants::reportedFailedUntil(const HostId &by, const HostId &subject) const
{
    const auto found = m_statements.find(by);
    if (found == m_statements.end())
        return kNeverStated;
    const auto report = found->second.reports.find(subject);
    return report == found->second.reports.end() ? kNeverStated : report->second;
}

const ReceivedGrants::Sent *ReceivedGrants::findSent(std::uint64_t sequence) const
{
    const auto found = std::find_if(m_sent.begin(), m_sent.end(), [sequence](const Sent &sent) {
        return sent.sequence == sequence;
    });
    return found == m_sent.end() ? nullptr : &*found;
}

void ReceivedGrants::takeGrant(Statements &statements, const Sent &sent, const HeartbeatAck &ack)
{
    // A member with another list cannot grant this heartbeat; what it granted before stands.
    if (ack.memberListVersion != sent.memberListVersion)
        return;
    if (ack.grant != GrantState::Granting) {
        statements.grants.erase(sent.memberListVersion);
        return;
    }
    statements.grants[sent.memberListVersion] = sent.at + kGrantDuration;
    if (statements.grants.size() > kVersionsKept)
        statements.grants.erase(statements.grants.begin());
}

void ReceivedGrants::takeReports(Statements &statements, const Sent &sent, const HeartbeatAck &ack)
{
    // A report that is not repeated stays valid: its giver keeps the silence before it may grant.
    for (const MemberReport &report : ack.reports) {
        if (report.state == GrantState::Failed)
            statements.reports[report.member] = sent.at + kGrantDuration;
    }
}

} // namespace greengagestair
