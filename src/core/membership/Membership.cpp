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
/** Seeds that do not answer may be replaced hosts; they are asked rarely once a list is known. */
static constexpr Duration kSeedInterval = 250ms;
static constexpr Duration kSeedIntervalListed = 10s;
static constexpr Duration kEditInterval = 1s;
/** Document versions go with one in so many heartbeats to the cell, that is once a second: they are
 * most of a heartbeat's bytes, and newly adopted documents are pushed at once anyway. */
static constexpr std::uint64_t kHeartbeatsPerVersions = 4;

Membership::Membership(const ReducerOptions &options, DocumentView &documents,
                       DocumentWriter &writer)
    : m_options(options)
    , m_documents(documents)
    , m_collector(options.incarnation)
    , m_current(options.host)
    , m_presence(documents)
    , m_editor(m_options, documents, writer)
    , m_unheardSeeds(options.seeds)
{
    std::erase(m_unheardSeeds, options.peerEndpoint);
}

std::optional<Member> Membership::ownerOf(const ServerId &server, MonotonicTime now) const
{
    const std::optional<ResolvedServer> place = m_documents.findServer(server);
    if (!place)
        return std::nullopt;
    const FailureDomainId &domain = place->server->failureDomain;
    if (isOwnCell(domain)) {
        const Member *owner = m_current.owner(server, now);
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
        if (!m_contacts.isFailed(member.host, now))
            return member;
    }
    return std::nullopt;
}

bool Membership::maySendTo(const ServerId &server, MonotonicTime now) const
{
    const std::optional<ResolvedServer> place = m_documents.findServer(server);
    if (!place || !isOwnCell(place->server->failureDomain) || hasGivenUp())
        return false;
    if (!m_options.mechanisms.ownershipGrants)
        return ranksFirstAmongHeard(server);
    return m_current.holds(server, now) || (m_previous && m_previous->holds(server, now));
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
    const MemberListQuorum &view =
            m_current.holds(server, now) || !m_previous ? m_current : *m_previous;
    // From `start` on, only members that have released the server since can have acted for it.
    MonotonicTime start = std::max(*m_majoritySince, view.delayEnd(server));
    MonotonicTime since = start;
    bool anyReleased = false;
    for (const Member *higher : view.higherRanked(server)) {
        const auto failed = m_failedSince.find(higher->host);
        const MonotonicTime failedSince = failed == m_failedSince.end() ? now : failed->second;
        since = std::max(since, failedSince);
        if (m_table.isReleased(higher->host))
            anyReleased = true;
        else
            start = std::max(start, failedSince);
    }
    const ResolvedServer place = *m_documents.findServer(server);
    return OwnershipStart { since, anyReleased && now - start >= place.service->maxPartTime };
}

MonotonicTime Membership::grantsUntil(MonotonicTime now) const
{
    MonotonicTime until = m_current.grantsUntil();
    if (m_previous)
        until = std::max(until, m_previous->grantsUntil());
    // A member that is alone needs no grants, but is no more certain of the future than others.
    return std::min(until, now + kGrantDuration);
}

bool Membership::hasCurrentMajority(MonotonicTime now) const
{
    return selfGrants() && now < m_current.grantsUntil();
}

void Membership::onHeartbeat(StepContext &context, const PeerEnvelope &envelope,
                             const Heartbeat &heartbeat)
{
    if (envelope.sender == m_options.host)
        return;
    refresh(context);
    const HostId &sender = envelope.sender;
    if (!m_table.isCurrentIncarnation(sender, envelope.incarnation)) {
        context.counters.add("heartbeats_of_old_incarnations_total");
        return;
    }
    noteHeard(envelope, heartbeat.released, context.now());
    if (isOwnCell(heartbeat.failureDomain))
        noteListVersion(sender, heartbeat.memberListVersion);
    const bool mayGrant = selfGrants() && heartbeat.memberListVersion == m_current.version()
            && m_current.containsSelf() && !m_presence.delisted().contains(sender);
    const GrantState before = m_table.state(sender);
    HeartbeatAck ack;
    ack.sequence = heartbeat.sequence;
    ack.incarnation = envelope.incarnation;
    ack.memberListVersion = m_current.version();
    ack.grant = m_table.onHeartbeat(sender, envelope.incarnation, heartbeat.released, mayGrant,
                                    context.now());
    ack.reports = m_table.reports(sender, context.now());
    // A host that starts up holds nothing and asks with every heartbeat.
    if (!heartbeat.documents.empty() || heartbeat.memberListVersion.value == 0)
        ack.documents = m_documents.versions();
    context.emit(SendToPeer { sender, envelope.endpoint, std::move(ack) });
    const GrantState after = m_table.state(sender);
    if (after == before)
        return;
    if (after == GrantState::Granting)
        context.emit(LogStateChange { StateChangeKind::MemberRecovered, sender.value, 0 });
    // The acks to an extra heartbeat bring the other members' reports on the released member.
    if (after == GrantState::Failed && heartbeat.released)
        sendToCell(context);
    update(context);
}

void Membership::onHeartbeatAck(StepContext &context, const PeerEnvelope &envelope,
                                const HeartbeatAck &ack)
{
    if (envelope.sender == m_options.host)
        return;
    refresh(context);
    noteHeard(envelope, m_table.isReleased(envelope.sender), context.now());
    if (!m_current.find(envelope.sender)) {
        m_contacts.onFailureReports(ack.reports, context.now());
        return;
    }
    noteListVersion(envelope.sender, ack.memberListVersion);
    if (!m_collector.onAck(envelope.sender, envelope.incarnation, ack))
        context.counters.add("heartbeat_acks_ignored_total");
    update(context);
}

void Membership::onJoinRequest(StepContext &context, const PeerEnvelope &envelope,
                               const JoinRequest &request)
{
    refresh(context);
    const Member *listed = m_current.find(envelope.sender);
    // A listed host asks if it has seen itself dropped from the host list: it needs a new entry.
    const bool unchanged = listed && listed->endpoint == request.endpoint
            && listed->hostListRevision >= m_documents.hostListVersion();
    if (!isOwnCell(request.failureDomain) || unchanged || m_editor.isBusy()
        || !hasCurrentMajority(context.now()) || !m_presence.hostListContains(envelope.sender)) {
        context.counters.add("join_requests_refused_total");
        return;
    }
    m_editor.add(context, m_current.version(),
                 { envelope.sender, request.endpoint, m_documents.hostListVersion() });
}

void Membership::onPeerLost(StepContext &context, const HostId &host)
{
    m_contacts.onConnectionLost(host, context.now());
}

void Membership::onTick(StepContext &context)
{
    refresh(context);
    followDocuments(context);
    updateTrust(context);
    if (m_leaving && m_ownerIdle && !m_released) {
        m_released = true;
        m_nextHeartbeat = context.now();
    }
    if (context.now() >= m_nextHeartbeat)
        sendToCell(context);
    if (context.now() >= m_nextCrossCell)
        sendToOtherCells(context);
    if (!m_unheardSeeds.empty() && context.now() >= m_nextSeeds)
        sendToSeeds(context);
    if (context.now() >= m_nextEdit)
        editList(context);
}

MonotonicTime Membership::nextWakeUp() const
{
    MonotonicTime next = std::min({ m_nextHeartbeat, m_nextCrossCell, m_nextEdit });
    if (!m_unheardSeeds.empty())
        next = std::min(next, m_nextSeeds);
    return next;
}

void Membership::requestStop(StepContext &context)
{
    if (m_leaving)
        return;
    m_leaving = true;
    sendToCell(context);
}

void Membership::setOwnerIdle(bool released)
{
    m_ownerIdle = released;
}

boost::json::object Membership::dump(MonotonicTime now) const
{
    boost::json::array members;
    for (const Member &member : m_current.members()) {
        boost::json::object entry;
        entry["host"] = member.host.value;
        entry["gone"] = m_presence.ended().contains(member.host);
        entry["failed"] = m_current.isFailed(member.host, now);
        if (member.host != m_options.host) {
            const GrantState state = m_table.state(member.host);
            entry["saidHere"] = state == GrantState::Granting ? "granting"
                    : state == GrantState::Failed             ? "failed"
                                                              : "clearing";
        }
        members.emplace_back(std::move(entry));
    }
    boost::json::object state;
    state["memberListVersion"] = m_current.version().value;
    state["listConfirmed"] = m_trusted;
    state["members"] = std::move(members);
    state["majority"] = m_current.majority();
    state["grantsHeld"] = now < grantsUntil(now);
    state["leaving"] = m_leaving;
    state["released"] = m_released;
    state["failedPeersOfOtherCells"] = m_contacts.size();
    return state;
}

bool Membership::isOwnCell(const FailureDomainId &domain) const
{
    return domain == m_options.failureDomain;
}

bool Membership::hasGivenUp() const
{
    return m_released || (m_leaving && m_ownerIdle);
}

bool Membership::selfGrants() const
{
    return m_trusted && !m_presence.delisted().contains(m_options.host);
}

bool Membership::ranksFirstAmongHeard(const ServerId &server) const
{
    const std::vector<const Member *> higher = m_current.higherRanked(server);
    return m_current.containsSelf()
            && std::none_of(higher.begin(), higher.end(), [this](const Member *member) {
                   return m_table.hasRecentHeartbeat(member->host);
               });
}

/** Brings everything that depends on time up to date before an event is applied: statements that
 * lapsed since the last event end here, even if the event renews them. */
void Membership::refresh(StepContext &context)
{
    const std::vector<IssuedGrants::Transition> transitions = m_table.refresh(context.now());
    for (const IssuedGrants::Transition &transition : transitions)
        context.emit(LogStateChange { StateChangeKind::MemberFailed, transition.member.value, 0 });
    noteMajority(context);
    trackFailures(context.now());
    if (!transitions.empty())
        update(context);
}

void Membership::update(StepContext &context)
{
    m_currentGone = m_presence.ended();
    m_current.update(m_table, m_collector, m_presence.ended(), m_heardVersions, selfGrants(),
                     context.now());
    if (m_previous) {
        m_previous->update(m_table, m_collector, m_previousGone, m_heardVersions, selfGrants(),
                           context.now());
        if (context.now() >= m_previous->grantsUntil())
            m_previous.reset();
    }
    noteMajority(context);
    trackFailures(context.now());
}

void Membership::followDocuments(StepContext &context)
{
    const MemberList *list = m_documents.members(m_options.failureDomain);
    const Revision version = m_documents.memberListVersion(m_options.failureDomain);
    const bool listChanged = list && version != m_current.version();
    // Members that the new list lacks are known as dropped only before it is compared.
    const std::set<HostId> delisted = listChanged ? m_presence.delisted() : std::set<HostId>();
    const bool goneChanged = m_presence.update(list, m_options.failureDomain, context.now());
    if (listChanged)
        adoptList(context, *list, delisted);
    else if (goneChanged)
        update(context);
}

void Membership::adoptList(StepContext &context, const MemberList &list,
                           const std::set<HostId> &delisted)
{
    const Revision version = m_documents.memberListVersion(m_options.failureDomain);
    MemberListQuorum next = m_current.next(version, list, delisted);
    m_current.onSuperseded(context.now());
    m_previous = std::move(m_current);
    m_previousGone = m_currentGone;
    m_current = std::move(next);
    std::erase_if(m_heardVersions,
                  [this](const auto &heard) { return !m_current.find(heard.first); });
    m_table.setMembers(list.members, m_options.host, context.now());
    m_nextHeartbeat = context.now();
    update(context);
}

void Membership::trackFailures(MonotonicTime now)
{
    std::map<HostId, MonotonicTime> failedSince;
    const auto track = [&](const MemberListQuorum &view) {
        for (const Member &member : view.members()) {
            if (!view.isFailed(member.host, now))
                continue;
            const auto before = m_failedSince.find(member.host);
            failedSince[member.host] = before == m_failedSince.end() ? now : before->second;
        }
    };
    track(m_current);
    if (m_previous)
        track(*m_previous);
    m_failedSince = std::move(failedSince);
}

void Membership::noteMajority(StepContext &context)
{
    const bool held = context.now() < grantsUntil(context.now());
    if (held == m_majoritySince.has_value())
        return;
    if (held)
        m_majoritySince = context.now();
    else
        m_majoritySince.reset();
    context.emit(LogStateChange { held ? StateChangeKind::GrantsHeld : StateChangeKind::GrantsLost,
                                  m_options.host.value, m_current.version().value });
}

/**
 * A restarted process does not know at which list it granted before. It may grant again once its
 * list is not older than that: the platform itself told the list, or so many other members were
 * heard, none of them with a newer list, that one of them belongs to each majority that may have
 * included this host.
 */
void Membership::updateTrust(StepContext &context)
{
    if (m_trusted || m_current.version().value == 0)
        return;
    m_trusted = m_documents.memberListConfirmedAt(m_options.failureDomain) || heardEnoughMembers();
    if (m_trusted)
        update(context);
}

bool Membership::heardEnoughMembers() const
{
    std::size_t heard = 0;
    for (const Member &member : m_current.members()) {
        const auto found = m_heardVersions.find(member.host);
        if (found == m_heardVersions.end())
            continue;
        if (found->second > m_current.version())
            return false;
        ++heard;
    }
    const std::size_t size = m_current.members().size();
    const std::size_t majority = size / 2 + 1;
    return heard >= size - majority + 1;
}

void Membership::noteListVersion(const HostId &host, Revision version)
{
    if (version.value == 0)
        return;
    Revision &heard = m_heardVersions[host];
    heard = std::max(heard, version);
}

void Membership::sendToCell(StepContext &context)
{
    m_nextHeartbeat = context.now() + kHeartbeatInterval;
    const bool withDocuments = m_sequence % kHeartbeatsPerVersions == 0;
    ++m_sequence;
    m_collector.onHeartbeatSent(m_sequence, m_current.version(), context.now());
    for (const Member &member : m_current.members()) {
        if (member.host != m_options.host)
            sendHeartbeat(context, member.host, member.endpoint, withDocuments);
    }
}

/** Two hosts of other cells, chosen anew each second, so that news crosses cells that are cut off
 * from the platform. */
void Membership::sendToOtherCells(StepContext &context)
{
    m_nextCrossCell = context.now() + kCrossCellInterval;
    m_contacts.removeExpired(context.now());
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
    const bool listed = m_current.version().value != 0;
    m_nextSeeds = context.now() + (listed ? kSeedIntervalListed : kSeedInterval);
    // The names of the seeds are not known yet: only the endpoint is given.
    for (const Endpoint &endpoint : m_unheardSeeds)
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
    heartbeat.memberListVersion = m_current.version();
    heartbeat.leaving = m_leaving;
    heartbeat.released = m_released;
    if (withDocuments)
        heartbeat.documents = m_documents.versions();
    return heartbeat;
}

void Membership::noteHeard(const PeerEnvelope &envelope, bool released, MonotonicTime now)
{
    std::erase(m_unheardSeeds, envelope.endpoint);
    m_contacts.onMessage(envelope.sender, released, now);
}

void Membership::editList(StepContext &context)
{
    m_nextEdit = context.now() + jittered(kEditInterval, context.random);
    if (m_leaving || m_editor.isBusy())
        return;
    const Member *self = m_current.find(m_options.host);
    const bool listed = self && self->endpoint == m_options.peerEndpoint
            && !m_presence.delisted().contains(m_options.host);
    if (!listed) {
        askToJoin(context);
        return;
    }
    const std::set<HostId> &ended = m_presence.ended();
    if (!ended.empty() && hasCurrentMajority(context.now()))
        m_editor.remove(context, m_current.version(), *ended.begin());
}

void Membership::askToJoin(StepContext &context)
{
    if (!m_presence.hostListContains(m_options.host))
        return;
    std::vector<const Member *> others;
    for (const Member &member : m_current.members()) {
        if (member.host != m_options.host && !m_presence.delisted().contains(member.host))
            others.push_back(&member);
    }
    if (others.empty()) {
        m_editor.create(context, m_presence.ended());
        return;
    }
    // Each attempt asks another member: one that is cut off has no majority and refuses.
    const Member *asked = others[m_joinAttempts++ % others.size()];
    context.emit(SendToPeer { asked->host, asked->endpoint,
                              JoinRequest { m_options.failureDomain, m_options.peerEndpoint } });
}

} // namespace greengagestair
