#include "core/documents/DocumentStore.h"

#include "core/Assert.h"
#include "core/Backoff.h"
#include "core/Hashing.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace greengagestair {

using namespace std::chrono_literals;

/** Cell members that watch the same document: with two, the loss of one watcher causes no delay. */
static constexpr std::size_t kWatchersPerDocument = 2;
/** Hosts of other cells to which a host pushes a version that it adopted. */
static constexpr std::size_t kMaxTargetsInOtherCells = 3;
/**
 * Timeout of a watch. Each watch counts as one platform call: 445 cells with 2 watchers of each of
 * 15 documents make about 670 calls/s at 20 s, and the platform accepts 2,000 calls/s.
 */
static constexpr Duration kWatchTimeout = 20s;
/** Time allowed for the answer to a watch to arrive after the timeout of the watch. */
static constexpr Duration kWatchGrace = 2s;
/** Timeout of a read of a document or of the host list. */
static constexpr Duration kReadTimeout = 2s;
/** Interval of the polls of the host list, and of the checks whether this host is a watcher. */
static constexpr Duration kHostListPollInterval = 2s;
/** Interval at which each host reads each document, also if it is not a watcher. */
static constexpr Duration kSlowReadInterval = 10s;
/** Interval at which each host reads a member list that does not exist yet. */
static constexpr Duration kMissingListInterval = 1s;
/** Number of entry hosts up to which each host reads at kSlowReadInterval. A fleet of n times as
 * many hosts reads at n times this interval, which keeps the load on the platform constant. */
static constexpr std::size_t kHostsPerSlowReadInterval = 100;
/** Time without messages (12 heartbeats) after which a member does not count as a watcher. */
static constexpr Duration kWatcherTimeout = 3s;
/** Time without messages after which the state of a peer is removed. */
static constexpr Duration kPeerStateLifetime = 10s;
static constexpr Duration kFirstRetryDelay = 200ms;
static constexpr Duration kMaxRetryDelay = 5s;
/** Delay before a newer document is offered to a peer, since a peer usually requests it itself. */
static constexpr Duration kOfferDelay = 500ms;
/** Interval between two offers of the same document to the same peer. */
static constexpr Duration kOfferInterval = 1s;
/** Interval between two requests for the same document, to the same peer or to different ones. */
static constexpr Duration kRequestInterval = 500ms;
/** Longest wait for the remaining answers after the first one, see isReady. */
static constexpr Duration kReadyAfterFirstAnswer = 1s;

DocumentStore::DocumentStore(const ReducerOptions &options, PlatformAccess &platform)
    : m_options(options)
    , m_platform(platform)
    , m_documents(options.mechanisms)
    , m_changes(platform,
                [this](StepContext &context, const PlatformKey &key, Revision version,
                       const std::string &content) {
                    if (documentKind(key) != DocumentKind::Other)
                        adoptDocument(context, key, version, content, nullptr);
                })
    , m_pendingSeeds(options.seeds.begin(), options.seeds.end())
{
    m_pendingSeeds.erase(options.peerEndpoint);
}

const Configuration *DocumentStore::configuration() const
{
    return m_documents.configuration();
}

Revision DocumentStore::configurationVersion() const
{
    return m_documents.configurationVersion();
}

const ServiceSnapshots *DocumentStore::snapshots(const ServiceId &service) const
{
    return m_documents.snapshots(service);
}

const MemberList *DocumentStore::members(const FailureDomainId &domain) const
{
    return m_documents.members(domain);
}

Revision DocumentStore::memberListVersion(const FailureDomainId &domain) const
{
    return m_documents.memberListVersion(domain);
}

std::optional<MonotonicTime>
DocumentStore::memberListConfirmedAt(const FailureDomainId &domain) const
{
    const auto found = m_syncs.find(membersKey(domain));
    return found == m_syncs.end() ? std::nullopt : found->second.confirmedAt;
}

const HostList *DocumentStore::hostList() const
{
    return m_documents.hostList();
}

Revision DocumentStore::hostListVersion() const
{
    return m_documents.hostListVersion();
}

const QuarantineList &DocumentStore::quarantine() const
{
    return m_documents.quarantine();
}

std::optional<ResolvedServer> DocumentStore::findServer(const ServerId &server) const
{
    return m_documents.findServer(server);
}

bool DocumentStore::acceptsNewWork(const ServerId &server) const
{
    return m_documents.acceptsNewWork(server);
}

std::vector<DocumentVersion> DocumentStore::versions() const
{
    return m_documents.versions();
}

void DocumentStore::change(StepContext &context, const PlatformKey &key,
                           DocumentChangeFunction change, Duration timeout,
                           DocumentChangeHandler done)
{
    m_changes.start(context, key, std::move(change), timeout, std::move(done));
}

void DocumentStore::onTick(StepContext &context)
{
    m_changes.onTick(context);
    addSyncs(context);
    if (!m_stopping) {
        for (auto &[key, sync] : m_syncs)
            startDueCalls(context, key, sync);
    }
    removeInactivePeers(context.now());
    updateReadiness(context.now());
}

MonotonicTime DocumentStore::nextWakeUp() const
{
    MonotonicTime next = m_changes.nextWakeUp();
    if (!m_ready && m_firstAnswer && configuration())
        next = std::min(next, *m_firstAnswer + kReadyAfterFirstAnswer);
    if (m_stopping)
        return next;
    for (const auto &[key, sync] : m_syncs) {
        if (!sync.reading)
            next = std::min(next, sync.nextRead);
        if (!sync.watching)
            next = std::min(next, sync.nextWatch);
    }
    return next;
}

void DocumentStore::onPush(StepContext &context, const PeerEnvelope &envelope,
                           const DocumentPush &push)
{
    m_peers[envelope.sender].versions[push.key] = push.version;
    m_nextRequest.erase(push.key);
    adoptDocument(context, push.key, push.version, push.content, &envelope.sender);
}

void DocumentStore::onRequest(StepContext &context, const PeerEnvelope &envelope,
                              const DocumentRequest &request)
{
    pushTo(context, envelope.sender, envelope.endpoint, request.key);
}

void DocumentStore::onPeerVersions(StepContext &context, const PeerEnvelope &envelope,
                                   const std::vector<DocumentVersion> &versions)
{
    PeerState &peer = m_peers[envelope.sender];
    peer.lastReceived = context.now();
    m_pendingSeeds.erase(envelope.endpoint);
    if (!m_firstAnswer)
        m_firstAnswer = context.now();
    if (versions.empty())
        return;
    peer.versions.clear();
    for (const DocumentVersion &theirs : versions) {
        peer.versions[theirs.key] = theirs.version;
        if (theirs.key.value == kConfigurationKey)
            m_newestReportedConfiguration = std::max(m_newestReportedConfiguration, theirs.version);
        if (theirs.version > m_documents.seenVersion(theirs.key))
            request(context, envelope, theirs.key);
    }
    for (const DocumentVersion &ours : m_documents.versions())
        offerIfOutdated(context, envelope, peer, ours);
}

bool DocumentStore::isReady() const
{
    return m_ready;
}

void DocumentStore::requestStop()
{
    m_stopping = true;
}

boost::json::object DocumentStore::dump(MonotonicTime now) const
{
    boost::json::array documents;
    for (const DocumentVersion &held : m_documents.versions()) {
        boost::json::object entry;
        entry["key"] = held.key.value;
        entry["version"] = held.version.value;
        const auto sync = m_syncs.find(held.key);
        entry["watching"] = sync != m_syncs.end() && sync->second.watching;
        entry["watcher"] = isWatcher(held.key, now);
        documents.emplace_back(std::move(entry));
    }
    boost::json::object state;
    state["ready"] = m_ready;
    state["documents"] = std::move(documents);
    state["changesUnderWay"] = m_changes.size();
    state["peersHeard"] = m_peers.size();
    if (m_documents.lastError()) {
        state["lastErrorPath"] = m_documents.lastError()->path;
        state["lastErrorExpected"] = m_documents.lastError()->expected;
    }
    return state;
}

void DocumentStore::addSyncs(StepContext &context)
{
    const Revision version = configurationVersion();
    if (!m_syncs.empty() && version == m_syncedConfiguration)
        return;
    m_syncedConfiguration = version;
    DocumentSync due;
    due.nextWatch = context.now();
    due.nextRead = context.now();
    for (const char *key : { kConfigurationKey, kHostsKey, kQuarantineKey })
        m_syncs.try_emplace({ key }, due);
    m_syncs.try_emplace(membersKey(m_options.failureDomain), due);
    if (!configuration())
        return;
    for (const Service &service : configuration()->services)
        m_syncs.try_emplace(snapshotsKey(service.name), due);
    for (const FailureDomain &domain : configuration()->failureDomains)
        m_syncs.try_emplace(membersKey(domain.name), due);
}

void DocumentStore::startDueCalls(StepContext &context, const PlatformKey &key, DocumentSync &sync)
{
    if (!sync.reading && context.now() >= sync.nextRead)
        startRead(context, key, sync);
    if (sync.watching || context.now() < sync.nextWatch)
        return;
    // A watch starts only after the first answer, which also shows whether the key exists.
    if (sync.answered && isWatcher(key, context.now()))
        startWatch(context, key, sync);
    else
        sync.nextWatch = context.now() + kHostListPollInterval;
}

void DocumentStore::startWatch(StepContext &context, const PlatformKey &key, DocumentSync &sync)
{
    sync.watching = true;
    sync.watchStarted = context.now();
    const PlatformHandler handler = [this, key](StepContext &step,
                                                const PlatformFinished &finished) {
        onWatched(step, key, finished);
    };
    if (documentKind(key) == DocumentKind::Hosts) {
        m_platform.call(context, ListHosts {}, kReadTimeout, handler);
        return;
    }
    const WatchKey watch { key, m_documents.seenVersion(key), kWatchTimeout };
    m_platform.call(context, watch, kWatchTimeout + kWatchGrace, handler);
}

void DocumentStore::startRead(StepContext &context, const PlatformKey &key, DocumentSync &sync)
{
    sync.reading = true;
    sync.readStarted = context.now();
    const PlatformHandler handler = [this, key](StepContext &step,
                                                const PlatformFinished &finished) {
        onRead(step, key, finished);
    };
    if (documentKind(key) == DocumentKind::Hosts)
        m_platform.call(context, ListHosts {}, kReadTimeout, handler);
    else
        m_platform.call(context, ReadKey { key }, kReadTimeout, handler);
}

void DocumentStore::onWatched(StepContext &context, const PlatformKey &key,
                              const PlatformFinished &finished)
{
    DocumentSync &sync = m_syncs[key];
    sync.watching = false;
    const Revision before = m_documents.seenVersion(key);
    const bool answered = applyAnswer(context, key, sync, sync.watchStarted, finished);
    if (answered && documentKind(key) == DocumentKind::Hosts) {
        sync.nextWatch = context.now() + jittered(kHostListPollInterval, context.random);
        return;
    }
    const bool progress = m_documents.seenVersion(key) > before
            || std::holds_alternative<WatchExpired>(finished.result);
    if (answered && progress) {
        sync.nextWatch = context.now();
        return;
    }
    // An answer without a newer version, for example for an absent key, also delays the next watch:
    // otherwise the watch would be repeated in a tight loop. The delay is that after 4 failures.
    const int failures = answered ? 4 : sync.failures;
    sync.nextWatch = context.now()
            + backoffDelay(failures, kFirstRetryDelay, kMaxRetryDelay, context.random);
}

void DocumentStore::onRead(StepContext &context, const PlatformKey &key,
                           const PlatformFinished &finished)
{
    DocumentSync &sync = m_syncs[key];
    sync.reading = false;
    const bool answered = applyAnswer(context, key, sync, sync.readStarted, finished);
    if (std::exchange(sync.readAgain, false)) {
        sync.nextRead = context.now();
        return;
    }
    const bool retrySoon = key == membersKey(m_options.failureDomain) || !m_documents.content(key);
    if (answered || (sync.answered && !retrySoon)) {
        // The member list of a new cell is written within seconds of the start of its first host.
        // Hosts of other cells need the list to send messages to the members of the new cell.
        const bool isMissingList =
                documentKind(key) == DocumentKind::Members && !m_documents.content(key);
        const Duration interval = isMissingList ? kMissingListInterval : slowReadInterval();
        sync.nextRead = context.now() + jittered(interval, context.random);
        if (answered)
            sync.nextWatch = std::min(sync.nextWatch, context.now());
        return;
    }
    sync.nextRead = context.now()
            + backoffDelay(sync.failures, kFirstRetryDelay, kMaxRetryDelay, context.random);
}

bool DocumentStore::applyAnswer(StepContext &context, const PlatformKey &key, DocumentSync &sync,
                                MonotonicTime started, const PlatformFinished &finished)
{
    if (std::holds_alternative<PlatformFailure>(finished.result)) {
        ++sync.failures;
        return false;
    }
    sync.failures = 0;
    sync.answered = true;
    if (!m_firstAnswer)
        m_firstAnswer = context.now();
    bool confirmed = std::holds_alternative<KeyAbsent>(finished.result);
    if (const auto *found = std::get_if<KeyValue>(&finished.result)) {
        adoptDocument(context, key, found->revision, found->value, nullptr);
        confirmed = found->revision <= m_documents.version(key);
    } else if (const auto *hosts = std::get_if<HostListAnswer>(&finished.result)) {
        adoptDocument(context, key, hosts->revision, hosts->value, nullptr);
    }
    if (confirmed)
        sync.confirmedAt = std::max(sync.confirmedAt.value_or(started), started);
    return true;
}

void DocumentStore::confirmMemberList(StepContext &context)
{
    const MemberList *list = members(m_options.failureDomain);
    if (!list)
        return;
    const bool allListed =
            std::all_of(list->members.begin(), list->members.end(), [this](const Member &member) {
                return m_documents.isOnHostList(member.host.value);
            });
    if (!allListed)
        readNow(context, m_syncs[membersKey(m_options.failureDomain)]);
}

void DocumentStore::readNow(StepContext &context, DocumentSync &sync)
{
    sync.readAgain = sync.reading;
    sync.nextRead = context.now();
}

Duration DocumentStore::slowReadInterval() const
{
    std::size_t hosts = 0;
    for (const auto &[domain, list] : m_documents.allMembers())
        hosts += list.members.size();
    const std::size_t factor = std::max<std::size_t>(1, hosts / kHostsPerSlowReadInterval);
    return kSlowReadInterval * static_cast<Duration::rep>(factor);
}

std::size_t DocumentStore::watcherRank(const PlatformKey &key, MonotonicTime now) const
{
    const MemberList *list = members(m_options.failureDomain);
    if (!list)
        return 0;
    const std::uint64_t own = rendezvousScore(key.value, m_options.host.value);
    std::size_t rank = 0;
    bool listed = false;
    for (const Member &member : list->members) {
        if (member.host == m_options.host) {
            listed = true;
            continue;
        }
        const auto peer = m_peers.find(member.host);
        const bool isRecent =
                peer != m_peers.end() && now - peer->second.lastReceived < kWatcherTimeout;
        if (isRecent && rendezvousScore(key.value, member.host.value) > own)
            ++rank;
    }
    return listed ? rank : kWatchersPerDocument;
}

bool DocumentStore::isWatcher(const PlatformKey &key, MonotonicTime now) const
{
    switch (documentKind(key)) {
    case DocumentKind::Hosts:
        return watcherRank(key, now) == 0;
    case DocumentKind::Members:
        return key == membersKey(m_options.failureDomain)
                && watcherRank(key, now) < kWatchersPerDocument;
    default:
        return watcherRank(key, now) < kWatchersPerDocument;
    }
}

void DocumentStore::updateReadiness(MonotonicTime now)
{
    if (m_ready || !configuration() || !m_firstAnswer)
        return;
    const bool waitedLongEnough = now >= *m_firstAnswer + kReadyAfterFirstAnswer;
    const bool platformAnswered = m_syncs[{ kConfigurationKey }].answered;
    const bool newest =
            m_documents.seenVersion({ kConfigurationKey }) >= m_newestReportedConfiguration;
    if (!waitedLongEnough && !(platformAnswered && m_pendingSeeds.empty() && newest))
        return;
    m_ready = true;
}

void DocumentStore::adoptDocument(StepContext &context, const PlatformKey &key, Revision version,
                                  const std::string &content, const HostId *from)
{
    const Revision seen = m_documents.seenVersion(key);
    switch (m_documents.adopt(key, version, content)) {
    case DocumentSet::Adoption::NotNewer:
        return;
    case DocumentSet::Adoption::Malformed:
        context.counters.add("documents_rejected_total");
        if (version > seen)
            context.emit(
                    LogStateChange { StateChangeKind::DocumentRejected, key.value, version.value });
        return;
    case DocumentSet::Adoption::Adopted:
        context.counters.add("documents_adopted_total");
        context.emit(LogStateChange { StateChangeKind::DocumentAdopted, key.value, version.value });
        pushToPeers(context, key, from);
        if (documentKind(key) == DocumentKind::Hosts)
            confirmMemberList(context);
        return;
    }
}

void DocumentStore::pushToPeers(StepContext &context, const PlatformKey &key, const HostId *from)
{
    const Revision version = m_documents.version(key);
    std::vector<const Member *> targets = targetsInOtherCells(key);
    if (const MemberList *list = members(m_options.failureDomain)) {
        for (const Member &member : list->members)
            targets.push_back(&member);
    }
    for (const Member *member : targets) {
        const bool skipped = member->host == m_options.host || (from && member->host == *from)
                || peerHoldsVersion(member->host, key, version);
        if (!skipped)
            pushTo(context, member->host, member->endpoint, key);
    }
}

void DocumentStore::pushTo(StepContext &context, const HostId &host, const Endpoint &endpoint,
                           const PlatformKey &key)
{
    const std::string *content = m_documents.content(key);
    if (!content)
        return;
    context.counters.add("document_pushes_total");
    context.emit(SendToPeer { host, endpoint,
                              DocumentPush { key, m_documents.version(key), *content } });
}

void DocumentStore::offerIfOutdated(StepContext &context, const PeerEnvelope &envelope,
                                    PeerState &peer, const DocumentVersion &ours)
{
    const auto theirs = peer.versions.find(ours.key);
    if (theirs != peer.versions.end() && theirs->second >= ours.version) {
        peer.nextOffer.erase(ours.key);
        return;
    }
    const auto [due, inserted] = peer.nextOffer.try_emplace(ours.key, context.now() + kOfferDelay);
    if (inserted || context.now() < due->second)
        return;
    due->second = context.now() + kOfferInterval;
    pushTo(context, envelope.sender, envelope.endpoint, ours.key);
}

void DocumentStore::request(StepContext &context, const PeerEnvelope &envelope,
                            const PlatformKey &key)
{
    if (documentKind(key) == DocumentKind::Other)
        return;
    MonotonicTime &next = m_nextRequest[key];
    if (context.now() < next)
        return;
    next = context.now() + kRequestInterval;
    context.counters.add("document_requests_total");
    context.emit(SendToPeer { envelope.sender, envelope.endpoint, DocumentRequest { key } });
}

std::vector<const Member *> DocumentStore::targetsInOtherCells(const PlatformKey &key) const
{
    // The name of this host is part of the hash key, so that hosts choose different targets.
    const std::string seed = key.value + "/" + std::to_string(m_documents.version(key).value) + "/"
            + m_options.host.value;
    std::vector<std::pair<std::uint64_t, const Member *>> ranked;
    for (const auto &[domain, list] : m_documents.allMembers()) {
        if (domain == m_options.failureDomain)
            continue;
        for (const Member &member : list.members)
            ranked.emplace_back(rendezvousScore(seed, member.host.value), &member);
    }
    const std::size_t count = std::min(kMaxTargetsInOtherCells, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<const Member *> targets;
    for (std::size_t index = 0; index < count; ++index)
        targets.push_back(ranked[index].second);
    return targets;
}

bool DocumentStore::peerHoldsVersion(const HostId &host, const PlatformKey &key,
                                     Revision version) const
{
    const auto peer = m_peers.find(host);
    if (peer == m_peers.end())
        return false;
    const auto theirs = peer->second.versions.find(key);
    return theirs != peer->second.versions.end() && theirs->second >= version;
}

void DocumentStore::removeInactivePeers(MonotonicTime now)
{
    if (now < m_nextPeerCleanup)
        return;
    m_nextPeerCleanup = now + kPeerStateLifetime;
    std::erase_if(m_peers, [now](const auto &entry) {
        return now - entry.second.lastReceived >= kPeerStateLifetime;
    });
}

} // namespace greengagestair
