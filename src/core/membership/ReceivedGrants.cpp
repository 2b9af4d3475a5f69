#include "core/membership/ReceivedGrants.h"

#include "core/Assert.h"

#include <algorithm>

namespace greengagestair {

/**
 * Covers the heartbeats whose acks may still contain a valid statement, and the extra heartbeats
 * that changes of the member list cause.
 */
static constexpr std::size_t kMaxSentHeartbeats = 32;
/** Only grants at the current and the previous list version are used. */
static constexpr std::size_t kMaxGrantVersions = 2;

/** End of a statement that was never made; earlier than any event. */
static constexpr MonotonicTime kNoStatement = MonotonicTime::min();

ReceivedGrants::ReceivedGrants(Incarnation own)
    : m_ownIncarnation(own)
{
}

void ReceivedGrants::onHeartbeatSent(std::uint64_t sequence, Revision memberListVersion,
                                     MonotonicTime now)
{
    GREENGAGESTAIR_ASSERT(m_sentHeartbeats.empty() || sequence > m_sentHeartbeats.back().sequence);
    m_sentHeartbeats.push_back({ sequence, memberListVersion, now });
    if (m_sentHeartbeats.size() > kMaxSentHeartbeats)
        m_sentHeartbeats.pop_front();
}

bool ReceivedGrants::onAck(const HostId &from, Incarnation fromIncarnation, const HeartbeatAck &ack)
{
    const SentHeartbeat *sent = findSent(ack.sequence);
    if (ack.incarnation != m_ownIncarnation || !sent)
        return false;
    Statements &statements = m_statements[from];
    if (fromIncarnation < statements.incarnation)
        return false;
    if (fromIncarnation == statements.incarnation && ack.sequence < statements.sequence)
        return false;
    statements.incarnation = fromIncarnation;
    statements.sequence = ack.sequence;
    applyGrant(statements, *sent, ack);
    applyReports(statements, *sent, ack);
    return true;
}

MonotonicTime ReceivedGrants::grantedUntil(const HostId &issuer, Revision memberListVersion) const
{
    const auto found = m_statements.find(issuer);
    if (found == m_statements.end())
        return kNoStatement;
    const auto grant = found->second.grants.find(memberListVersion);
    return grant == found->second.grants.end() ? kNoStatement : grant->second;
}

MonotonicTime ReceivedGrants::reportedFailedUntil(const HostId &issuer, const HostId &subject) const
{
    const auto found = m_statements.find(issuer);
    if (found == m_statements.end())
        return kNoStatement;
    const auto report = found->second.reports.find(subject);
    return report == found->second.reports.end() ? kNoStatement : report->second;
}

const ReceivedGrants::SentHeartbeat *ReceivedGrants::findSent(std::uint64_t sequence) const
{
    const auto found = std::find_if(
            m_sentHeartbeats.begin(), m_sentHeartbeats.end(),
            [sequence](const SentHeartbeat &sent) { return sent.sequence == sequence; });
    return found == m_sentHeartbeats.end() ? nullptr : &*found;
}

void ReceivedGrants::applyGrant(Statements &statements, const SentHeartbeat &sent,
                                const HeartbeatAck &ack)
{
    // A member with another list cannot grant for this heartbeat. Its earlier grants stay valid.
    if (ack.memberListVersion != sent.memberListVersion)
        return;
    if (ack.grant != GrantState::Granting) {
        statements.grants.erase(sent.memberListVersion);
        return;
    }
    statements.grants[sent.memberListVersion] = sent.at + kGrantDuration;
    if (statements.grants.size() > kMaxGrantVersions)
        statements.grants.erase(statements.grants.begin());
}

void ReceivedGrants::applyReports(Statements &statements, const SentHeartbeat &sent,
                                  const HeartbeatAck &ack)
{
    // A report that is not repeated stays valid until its end: the issuer does not grant the member
    // before kTakeoverDelay has passed.
    for (const MemberReport &report : ack.reports) {
        if (report.state == GrantState::Failed)
            statements.reports[report.member] = sent.at + kGrantDuration;
    }
}

} // namespace greengagestair
