#include "core/membership/Membership.h"

#include "core/Assert.h"
#include "core/Backoff.h"
#include "core/Hashing.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace greengagestair {

using namespace std::chrono_literals;

static constexpr Duration kCrossCellInterval = 1s;
static constexpr std::size_t kCrossCellPeers = 2;
/** A seed that does not answer may have been replaced: with a list, seeds get few heartbeats. */
static constexpr Duration kSeedInterval = 250ms;
static constexpr Duration kSeedIntervalWithList = 10s;
static constexpr Duration kEditInterval = 1s;
/**
 * Every fourth heartbeat to the cell, that is one per second, contains the document versions: they
 * are most of a heartbeat's bytes, and newly adopted documents are pushed at once anyway.
 */
static constexpr std::uint64_t kHeartbeatsPerDocumentVersions = 4;

Membership::Membership(const ReducerOptions &options, DocumentView &documents,
                       DocumentWriter &writer)
    : m_options(options)
    , m_documents(documents)
    , m_receivedGrants(options.incarnation)
    , m_currentQuorum(options.host)
    , m_delistedMembers(documents)
    , m_editor(m_options, documents, writer)
    , m_unansweredSeeds(options.seeds)
{
    std::erase(m_unansweredSeeds, options.peerEndpoint);
}

std::optional<Member> Membership::ownerOf(const ServerId &server, MonotonicTime now) const
{
    const std::optional<ResolvedServer> resolved = m_documents.findServer(server);
    if (!resolved)
        return std::nullopt;
    const FailureDomainId &domain = resolved->server->failureDomain;
    if (isOwnCell(domain)) {
        const Member *owner = m_currentQuorum.owner(server, now);
        return owner ? std::optional(*owner) : std::nullopt;
    }
    const MemberList *list = m_documents.members(domain);
    if (!list)
        return std::nullopt;
    auto &[version, ranking] = m_otherCells[domain];
    if (version != m_documents.memberListVersion(domain)) {
        version = m_documents.memberListVersion(domain);
        ranking.setMembers(list->members);
    }
    for (const std::uint16_t index : ranking.order(server)) {
        const Member &member = ranking.members()[index];
        if (!m_peerHealth.isFailed(member.host, now))
            return member;
    }
    return std::nullopt;
}

bool Membership::maySendTo(const ServerId &server, MonotonicTime now) const
{
    const std::optional<ResolvedServer> resolved = m_documents.findServer(server);
    if (!resolved || !isOwnCell(resolved->server->failureDomain) || hasReleasedServers())
        return false;
    if (!m_options.mechanisms.ownershipGrants)
        return ranksFirstAmongReachable(server);
    return m_currentQuorum.isActiveOwner(server, now)
            || (m_previousQuorum && m_previousQuorum->isActiveOwner(server, now));
}

std::optional<OwnershipView::OwnershipStart> Membership::ownershipStart(const ServerId &server,
                                                                        MonotonicTime now) const
{
    if (!maySendTo(server, now))
        return std::nullopt;
    if (!m_options.mechanisms.ownershipGrants)
        return OwnershipStart { MonotonicTime(), true };
    if (!m_majoritySince)
        return OwnershipStart { now, false };
    const MemberListQuorum &quorum = m_currentQuorum.isActiveOwner(server, now) || !m_previousQuorum
            ? m_currentQuorum
            : *m_previousQuorum;
    // Since `start`, no other member can have sent to the server, except members that have released
    // it since then.
    MonotonicTime start = std::max(*m_majoritySince, quorum.delayEnd(server));
    MonotonicTime since = start;
    bool anyReleased = false;
    for (const Member *higher : quorum.higherRanked(server)) {
        const auto failed = m_failedSince.find(higher->host);
        const MonotonicTime failedSince = failed == m_failedSince.end() ? now : failed->second;
        since = std::max(since, failedSince);
        if (m_issuedGrants.isReleased(higher->host))
            anyReleased = true;
        else
            start = std::max(start, failedSince);
    }
    const ResolvedServer resolved = *m_documents.findServer(server);
    return OwnershipStart { since, anyReleased && now - start >= resolved.service->maxPartTime };
}

MonotonicTime Membership::grantsUntil(MonotonicTime now) const
{
    MonotonicTime until = m_currentQuorum.grantsUntil();
    if (m_previousQuorum)
        until = std::max(until, m_previousQuorum->grantsUntil());
    // A cell of one member needs no grants from others, so its grants have no end. They are limited
    // like those of other members, since it cannot rule out later changes either.
    return std::min(until, now + kGrantDuration);
}

bool Membership::hasCurrentMajority(MonotonicTime now) const
{
    return canGrant() && now < m_currentQuorum.grantsUntil();
}

void Membership::onHeartbeat(StepContext &context, const PeerEnvelope &envelope,
                             const Heartbeat &heartbeat)
{
    if (envelope.sender == m_options.host)
        return;
    expireStatements(context);
    const HostId &sender = envelope.sender;
    if (!m_issuedGrants.isCurrentIncarnation(sender, envelope.incarnation)) {
        context.counters.add("heartbeats_of_old_incarnations_total");
        return;
    }
    onPeerMessage(envelope, heartbeat.released, context.now());
    if (isOwnCell(heartbeat.failureDomain))
        recordListVersion(sender, heartbeat.memberListVersion);
    const bool mayGrant = canGrant() && heartbeat.memberListVersion == m_currentQuorum.version()
            && m_currentQuorum.containsSelf() && !m_delistedMembers.delisted().contains(sender);
    const GrantState before = m_issuedGrants.state(sender);
    HeartbeatAck ack;
    ack.sequence = heartbeat.sequence;
    ack.incarnation = envelope.incarnation;
    ack.memberListVersion = m_currentQuorum.version();
    ack.grant = m_issuedGrants.onHeartbeat(sender, envelope.incarnation, heartbeat.released,
                                           mayGrant, context.now());
    ack.reports = m_issuedGrants.reports(sender, context.now());
    // A starting host without a member list needs the versions in every ack to fetch documents.
    if (!heartbeat.documents.empty() || heartbeat.memberListVersion.value == 0)
        ack.documents = m_documents.versions();
    context.emit(SendToPeer { sender, envelope.endpoint, std::move(ack) });
    const GrantState after = m_issuedGrants.state(sender);
    if (after == before)
        return;
    if (after == GrantState::Granting)
        context.emit(LogStateChange { StateChangeKind::MemberRecovered, sender.value, 0 });
    // The acks to this extra heartbeat contain the other members' reports on the released member.
    if (after == GrantState::Failed && heartbeat.released)
        sendToCell(context);
    updateMajorities(context);
}

void Membership::onHeartbeatAck(StepContext &context, const PeerEnvelope &envelope,
                                const HeartbeatAck &ack)
{
    if (envelope.sender == m_options.host)
        return;
    expireStatements(context);
    onPeerMessage(envelope, m_issuedGrants.isReleased(envelope.sender), context.now());
    if (!m_currentQuorum.find(envelope.sender)) {
        m_peerHealth.onFailureReports(ack.reports, context.now());
        return;
    }
    recordListVersion(envelope.sender, ack.memberListVersion);
    if (!m_receivedGrants.onAck(envelope.sender, envelope.incarnation, ack))
        context.counters.add("heartbeat_acks_ignored_total");
    updateMajorities(context);
}

void Membership::onJoinRequest(StepContext &context, const PeerEnvelope &envelope,
                               const JoinRequest &request)
{
    expireStatements(context);
    const Member *listed = m_currentQuorum.find(envelope.sender);
    // A member asks to join again if the host list did not contain it: it needs a new entry.
    const bool unchanged = listed && listed->endpoint == request.endpoint
            && listed->hostListRevision >= m_documents.hostListVersion();
    if (!isOwnCell(request.failureDomain) || unchanged || m_editor.isBusy()
        || !hasCurrentMajority(context.now())
        || !m_delistedMembers.hostListContains(envelope.sender)) {
        context.counters.add("join_requests_refused_total");
        return;
    }
    m_editor.add(context, m_currentQuorum.version(),
                 { envelope.sender, request.endpoint, m_documents.hostListVersion() });
}

void Membership::onPeerLost(StepContext &context, const HostId &host)
{
    m_peerHealth.onConnectionLost(host, context.now());
}

void Membership::onTick(StepContext &context)
{
    expireStatements(context);
    applyDocuments(context);
    updateListConfirmed(context);
    if (m_leaving && m_ownerIdle && !m_released) {
        m_released = true;
        m_nextHeartbeat = context.now();
    }
    if (context.now() >= m_nextHeartbeat)
        sendToCell(context);
    if (context.now() >= m_nextCrossCellHeartbeat)
        sendToOtherCells(context);
    if (!m_unansweredSeeds.empty() && context.now() >= m_nextSeedHeartbeat)
        sendToSeeds(context);
    if (context.now() >= m_nextListEdit)
        editList(context);
}

MonotonicTime Membership::nextWakeUp() const
{
    MonotonicTime next = std::min({ m_nextHeartbeat, m_nextCrossCellHeartbeat, m_nextListEdit });
    if (!m_unansweredSeeds.empty())
        next = std::min(next, m_nextSeedHeartbeat);
    return next;
}

void Membership::requestStop(StepContext &context)
{
    if (m_leaving)
        return;
    m_leaving = true;
    sendToCell(context);
}

void Membership::setOwnerIdle(bool idle)
{
    m_ownerIdle = idle;
}

boost::json::object Membership::dump(MonotonicTime now) const
{
    boost::json::array members;
    for (const Member &member : m_currentQuorum.members()) {
        boost::json::object entry;
        entry["host"] = member.host.value;
        entry["gone"] = m_delistedMembers.ended().contains(member.host);
        entry["failed"] = m_currentQuorum.isFailed(member.host, now);
        if (member.host != m_options.host) {
            const GrantState state = m_issuedGrants.state(member.host);
            entry["saidHere"] = state == GrantState::Granting ? "granting"
                    : state == GrantState::Failed             ? "failed"
                                                              : "clearing";
        }
        members.emplace_back(std::move(entry));
    }
    boost::json::object state;
    state["memberListVersion"] = m_currentQuorum.version().value;
    state["listConfirmed"] = m_listConfirmed;
    state["members"] = std::move(members);
    state["majority"] = m_currentQuorum.majority();
    state["grantsHeld"] = now < grantsUntil(now);
    state["leaving"] = m_leaving;
    state["released"] = m_released;
    state["failedPeersOfOtherCells"] = m_peerHealth.size();
    return state;
}

bool Membership::isOwnCell(const FailureDomainId &domain) const
{
    return domain == m_options.failureDomain;
}

bool Membership::hasReleasedServers() const
{
    return m_released || (m_leaving && m_ownerIdle);
}

bool Membership::canGrant() const
{
    return m_listConfirmed && !m_delistedMembers.delisted().contains(m_options.host);
}

bool Membership::ranksFirstAmongReachable(const ServerId &server) const
{
    const std::vector<const Member *> higher = m_currentQuorum.higherRanked(server);
    return m_currentQuorum.containsSelf()
            && std::none_of(higher.begin(), higher.end(), [this](const Member *member) {
                   return m_issuedGrants.hasRecentHeartbeat(member->host);
               });
}

void Membership::expireStatements(StepContext &context)
{
    const std::vector<IssuedGrants::Transition> transitions =
            m_issuedGrants.detectFailures(context.now());
    for (const IssuedGrants::Transition &transition : transitions)
        context.emit(LogStateChange { StateChangeKind::MemberFailed, transition.member.value, 0 });
    updateMajoritySince(context);
    trackFailures(context.now());
    if (!transitions.empty())
        updateMajorities(context);
}

void Membership::updateMajorities(StepContext &context)
{
    m_currentEnded = m_delistedMembers.ended();
    m_currentQuorum.update(m_issuedGrants, m_receivedGrants, m_delistedMembers.ended(),
                           m_peerListVersions, canGrant(), context.now());
    if (m_previousQuorum) {
        m_previousQuorum->update(m_issuedGrants, m_receivedGrants, m_previousEnded,
                                 m_peerListVersions, canGrant(), context.now());
        if (context.now() >= m_previousQuorum->grantsUntil())
            m_previousQuorum.reset();
    }
    updateMajoritySince(context);
    trackFailures(context.now());
}

void Membership::applyDocuments(StepContext &context)
{
    const MemberList *list = m_documents.members(m_options.failureDomain);
    const Revision version = m_documents.memberListVersion(m_options.failureDomain);
    const bool listChanged = list && version != m_currentQuorum.version();
    // update() forgets members that the new list does not contain, so copy the set before.
    const std::set<HostId> delisted =
            listChanged ? m_delistedMembers.delisted() : std::set<HostId>();
    const bool endedChanged =
            m_delistedMembers.update(list, m_options.failureDomain, context.now());
    if (listChanged)
        adoptList(context, *list, delisted);
    else if (endedChanged)
        updateMajorities(context);
}

void Membership::adoptList(StepContext &context, const MemberList &list,
                           const std::set<HostId> &delisted)
{
    const Revision version = m_documents.memberListVersion(m_options.failureDomain);
    MemberListQuorum next = m_currentQuorum.makeSuccessor(version, list, delisted);
    m_currentQuorum.onSuperseded(context.now());
    m_previousQuorum = std::move(m_currentQuorum);
    m_previousEnded = m_currentEnded;
    m_currentQuorum = std::move(next);
    std::erase_if(m_peerListVersions,
                  [this](const auto &peer) { return !m_currentQuorum.find(peer.first); });
    m_issuedGrants.setMembers(list.members, m_options.host, context.now());
    m_nextHeartbeat = context.now();
    updateMajorities(context);
}

void Membership::trackFailures(MonotonicTime now)
{
    std::map<HostId, MonotonicTime> failedSince;
    const auto track = [&](const MemberListQuorum &quorum) {
        for (const Member &member : quorum.members()) {
            if (!quorum.isFailed(member.host, now))
                continue;
            const auto before = m_failedSince.find(member.host);
            failedSince[member.host] = before == m_failedSince.end() ? now : before->second;
        }
    };
    track(m_currentQuorum);
    if (m_previousQuorum)
        track(*m_previousQuorum);
    m_failedSince = std::move(failedSince);
}

void Membership::updateMajoritySince(StepContext &context)
{
    const bool held = context.now() < grantsUntil(context.now());
    if (held == m_majoritySince.has_value())
        return;
    if (held)
        m_majoritySince = context.now();
    else
        m_majoritySince.reset();
    context.emit(LogStateChange { held ? StateChangeKind::GrantsHeld : StateChangeKind::GrantsLost,
                                  m_options.host.value, m_currentQuorum.version().value });
}

/**
 * A restarted process does not know at which list its former process granted. It may grant again
 * once its list is known to be at least as new as that one. This is known if the platform has
 * confirmed the list, or if enough other members have sent their list version and none has a newer
 * one: enough that each majority that may have included this host contains one of them.
 */
void Membership::updateListConfirmed(StepContext &context)
{
    if (m_listConfirmed || m_currentQuorum.version().value == 0)
        return;
    m_listConfirmed = m_documents.memberListConfirmedAt(m_options.failureDomain)
            || enoughMembersConfirmList();
    if (m_listConfirmed)
        updateMajorities(context);
}

bool Membership::enoughMembersConfirmList() const
{
    std::size_t confirmations = 0;
    for (const Member &member : m_currentQuorum.members()) {
        const auto found = m_peerListVersions.find(member.host);
        if (found == m_peerListVersions.end())
            continue;
        if (found->second > m_currentQuorum.version())
            return false;
        ++confirmations;
    }
    const std::size_t size = m_currentQuorum.members().size();
    const std::size_t majority = size / 2 + 1;
    return confirmations >= size - majority + 1;
}

void Membership::recordListVersion(const HostId &host, Revision version)
{
    if (version.value == 0)
        return;
    Revision &newest = m_peerListVersions[host];
    newest = std::max(newest, version);
}

void Membership::sendToCell(StepContext &context)
{
    m_nextHeartbeat = context.now() + kHeartbeatInterval;
    const bool withDocuments = m_sequence % kHeartbeatsPerDocumentVersions == 0;
    ++m_sequence;
    m_receivedGrants.onHeartbeatSent(m_sequence, m_currentQuorum.version(), context.now());
    for (const Member &member : m_currentQuorum.members()) {
        if (member.host != m_options.host)
            sendHeartbeat(context, member.host, member.endpoint, withDocuments);
    }
}

/**
 * Sends heartbeats to two hosts of other cells. The choice changes every second, so that documents
 * and failure reports also reach cells that are disconnected from the platform.
 */
void Membership::sendToOtherCells(StepContext &context)
{
    m_nextCrossCellHeartbeat = context.now() + kCrossCellInterval;
    m_peerHealth.removeExpired(context.now());
    const Configuration *configuration = m_documents.configuration();
    if (!configuration)
        return;
    const auto second = context.now().time_since_epoch() / 1s;
    const std::string seed = m_options.host.value + "/" + std::to_string(second);
    std::vector<std::pair<std::uint64_t, const Member *>> ranked;
    for (const FailureDomain &domain : configuration->failureDomains) {
        const MemberList *list = m_documents.members(domain.name);
        if (!list || isOwnCell(domain.name))
            continue;
        for (const Member &member : list->members)
            ranked.emplace_back(rendezvousScore(seed, member.host.value), &member);
    }
    const std::size_t count = std::min(kCrossCellPeers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    for (std::size_t index = 0; index < count; ++index)
        sendHeartbeat(context, ranked[index].second->host, ranked[index].second->endpoint, true);
}

void Membership::sendToSeeds(StepContext &context)
{
    const bool listed = m_currentQuorum.version().value != 0;
    m_nextSeedHeartbeat = context.now() + (listed ? kSeedIntervalWithList : kSeedInterval);
    // The host names of seeds are not known yet, so only the endpoint is set.
    for (const Endpoint &endpoint : m_unansweredSeeds)
        sendHeartbeat(context, HostId {}, endpoint, true);
}

void Membership::sendHeartbeat(StepContext &context, const HostId &host, const Endpoint &endpoint,
                               bool withDocuments)
{
    context.counters.add("heartbeats_total");
    context.emit(SendToPeer { host, endpoint, makeHeartbeat(withDocuments) });
}

Heartbeat Membership::makeHeartbeat(bool withDocuments) const
{
    Heartbeat heartbeat;
    heartbeat.sequence = m_sequence;
    heartbeat.failureDomain = m_options.failureDomain;
    heartbeat.memberListVersion = m_currentQuorum.version();
    heartbeat.leaving = m_leaving;
    heartbeat.released = m_released;
    if (withDocuments)
        heartbeat.documents = m_documents.versions();
    return heartbeat;
}

void Membership::onPeerMessage(const PeerEnvelope &envelope, bool released, MonotonicTime now)
{
    std::erase(m_unansweredSeeds, envelope.endpoint);
    m_peerHealth.onMessage(envelope.sender, released, now);
}

void Membership::editList(StepContext &context)
{
    m_nextListEdit = context.now() + jittered(kEditInterval, context.random);
    if (m_leaving || m_editor.isBusy())
        return;
    const Member *self = m_currentQuorum.find(m_options.host);
    const bool listed = self && self->endpoint == m_options.peerEndpoint
            && !m_delistedMembers.delisted().contains(m_options.host);
    if (!listed) {
        sendJoinRequest(context);
        return;
    }
    const std::set<HostId> &ended = m_delistedMembers.ended();
    if (!ended.empty() && hasCurrentMajority(context.now()))
        m_editor.remove(context, m_currentQuorum.version(), *ended.begin());
}

void Membership::sendJoinRequest(StepContext &context)
{
    if (!m_delistedMembers.hostListContains(m_options.host))
        return;
    std::vector<const Member *> others;
    for (const Member &member : m_currentQuorum.members()) {
        if (member.host != m_options.host && !m_delistedMembers.delisted().contains(member.host))
            others.push_back(&member);
    }
    if (others.empty()) {
        m_editor.create(context, m_delistedMembers.ended());
        return;
    }
    // Each attempt asks the next member: a disconnected member has no majority and refuses.
    const Member *target = others[m_joinAttempts++ % others.size()];
    context.emit(SendToPeer { target->host, target->endpoint,
                              JoinRequest { m_options.failureDomain, m_options.peerEndpoint } });
}

} // namespace greengagestair
