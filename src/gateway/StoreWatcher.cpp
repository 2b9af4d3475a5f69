#include "gateway/StoreWatcher.h"

#include <algorithm>

namespace greengagestair {

/**
 * A watch call can miss changes or hang on a dead connection without an error, so it is repeated
 * after this time. A new configuration has to be in force within 3 s, and a server that has left
 * may get no work 3 s after its registration was removed.
 */
static constexpr Duration kWatchTimeout = std::chrono::milliseconds(1000);
/** Time without changes from another host after which a subscriber calls the store itself. */
static constexpr Duration kSharedChangesTimeout = std::chrono::milliseconds(1600);
/**
 * Maximum random addition to kSharedChangesTimeout, so that one subscriber calls first and shares
 * the result.
 */
static constexpr Duration kSharedChangesJitter = std::chrono::milliseconds(500);
/** Delay of the next call after a change. Changes come in groups; one call then reads several. */
static constexpr Duration kCallInterval = std::chrono::milliseconds(500);
/** Registrations are read up to a second after they were written, so cold ends scatter. */
static constexpr Duration kColdTolerance = std::chrono::milliseconds(1000);
/**
 * Time that other hosts give the publisher to read all entries and to share what has changed,
 * before they read them themselves.
 */
static constexpr Duration kPublisherHeadStart = std::chrono::milliseconds(300);
/** Subscribers that read all entries spread their reads over this time, or longer in a large fleet.
 */
static constexpr Duration kMinReadSpread = std::chrono::milliseconds(500);
static constexpr Duration kReadSpreadPerHost = std::chrono::milliseconds(1);
static constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
/** Maximum retry delay; a configuration has to be in force within 3 s of its acceptance. */
static constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);

StoreWatcher::StoreWatcher(RegistryStore &store, OnEvent onEvent, OnLog onLog, OnChanges onChanges,
                           OnCallEnd onCallEnd, std::uint64_t randomSeed)
    : m_store(store)
    , m_onEvent(std::move(onEvent))
    , m_onLog(std::move(onLog))
    , m_onChanges(std::move(onChanges))
    , m_onCallEnd(std::move(onCallEnd))
    , m_random(randomSeed)
    , m_pace(m_random())
{
}

std::optional<MonotonicTime> StoreWatcher::nextWakeUp() const
{
    if (m_isCalling)
        return std::nullopt;
    if (m_role != StoreRole::Publisher && !mustReadAll())
        return std::max(m_pace.nextCallAt(), m_sharedChangesDueAt);
    return m_pace.nextCallAt();
}

void StoreWatcher::setRole(StoreRole role, MonotonicTime now)
{
    m_now = std::max(m_now, now);
    const auto getsSharedChanges = [](StoreRole other) {
        return other == StoreRole::Subscriber || other == StoreRole::Standby;
    };
    const bool startsWaiting = getsSharedChanges(role) && !getsSharedChanges(m_role);
    m_role = role;
    if (startsWaiting)
        awaitSharedChanges();
}

void StoreWatcher::awaitSharedChanges()
{
    std::uniform_int_distribution<Duration::rep> jitter(0, kSharedChangesJitter.count());
    m_sharedChangesDueAt = m_now + kSharedChangesTimeout;
    if (m_role != StoreRole::Standby)
        m_sharedChangesDueAt += Duration(jitter(m_random));
}

void StoreWatcher::requireReadOfAll(bool &reason)
{
    if (std::exchange(reason, true))
        return addFruitlessCall();
    m_pace.addProgress(m_now, {});
    leaveReadToPublisher();
}

void StoreWatcher::leaveReadToPublisher()
{
    if (m_role != StoreRole::Standby && m_role != StoreRole::Subscriber)
        return;
    Duration delay = kPublisherHeadStart;
    if (m_role == StoreRole::Subscriber) {
        const Duration spread = std::max<Duration>(
                kMinReadSpread, kReadSpreadPerHost * static_cast<Duration::rep>(m_hosts.size()));
        std::uniform_int_distribution<Duration::rep> jitter(0, spread.count());
        delay += Duration(jitter(m_random));
    }
    m_pace.postpone(m_now + delay);
}

void StoreWatcher::advance(MonotonicTime now)
{
    m_now = std::max(m_now, now);
    const auto next = nextWakeUp();
    if (!next || m_now < *next)
        return;
    m_isCalling = true;
    m_callRole = m_role;
    m_callPosition = m_position;
    m_callStartedAt = m_now;
    m_isReadingAll = mustReadAll();
    if (m_isReadingAll) {
        m_store.readAll([this](const StoreResult<StoreEntries> &result) {
            onAllRead(result);
            m_onCallEnd();
        });
        return;
    }
    m_store.awaitChanges(m_position->revision, kWatchTimeout,
                         [this](const StoreResult<StoreEntries> &result) {
                             onChangesRead(result);
                             m_onCallEnd();
                         });
}

StoreWatcher::AnswerAge StoreWatcher::ageOf(const StorePosition &position) const
{
    if (!m_position)
        return AnswerAge::Current;
    if (position.era > m_position->era)
        return AnswerAge::GoneBack;
    const bool isOlder = position < *m_position;
    if (isOlder && m_callPosition == m_position)
        return AnswerAge::GoneBack;
    // A watch from a position of another era lacks the changes between the two.
    const bool isWatchOfOtherEra =
            !m_isReadingAll && m_callPosition && m_callPosition->era != position.era;
    return isOlder || isWatchOfOtherEra ? AnswerAge::Late : AnswerAge::Current;
}

void StoreWatcher::onAllRead(const StoreResult<StoreEntries> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    onAnswer();
    const StoreEntries &store = std::get<StoreEntries>(result);
    const AnswerAge age = ageOf(store.position);
    if (age == AnswerAge::Late) {
        countCall("late");
        return addFruitlessCall();
    }
    countCall(age == AnswerAge::GoneBack ? "goneBack" : "answered");
    m_pace.addProgress(m_now, store.entries.empty() ? kMinRetryDelay : kCallInterval);
    m_allReadAt = m_now;
    if (age == AnswerAge::GoneBack) {
        StoreChanges shared = changesTo(store);
        const bool isOrdered = shared.position > shared.after;
        applyReturn(store, "store");
        if (isOrdered && m_callRole != StoreRole::Standalone)
            m_onChanges(std::move(shared));
        return;
    }
    m_position = store.position;
    m_isHistoryDropped = false;
    m_hasStoreGoneBack = false;
    publishAll(store, false);
}

void StoreWatcher::onChangesRead(const StoreResult<StoreEntries> &result)
{
    m_isCalling = false;
    if (const auto *failure = std::get_if<StoreFailure>(&result))
        return onFailure(*failure);
    onAnswer();
    const StoreEntries &changes = std::get<StoreEntries>(result);
    const AnswerAge age = ageOf(changes.position);
    if (age == AnswerAge::GoneBack) {
        countCall("goneBack");
        return requireReadOfAll(m_hasStoreGoneBack);
    }
    // Newer changes from another host were applied during the call; older ones must not follow.
    if (age == AnswerAge::Late || !m_position) {
        countCall("late");
        return addFruitlessCall();
    }
    countCall(changes.entries.empty() ? "unchanged" : "answered");
    const bool hasWaited = m_now - m_callStartedAt >= kWatchTimeout / 2;
    if (!changes.entries.empty())
        m_pace.addProgress(m_now, kCallInterval);
    else if (hasWaited)
        m_pace.addProgress(m_now, {});
    else
        addFruitlessCall();
    StoreChanges shared { *m_position, changes.position, {} };
    for (const StoreEntry &entry : changes.entries) {
        if (isWorthSharing(entry))
            shared.entries.push_back(entry.encoded);
    }
    m_position = changes.position;
    publishChanges(changes.entries);
    m_onEvent(StoreCaughtUp {});
    if (m_callRole != StoreRole::Standalone)
        m_onChanges(std::move(shared));
}

StoreChanges StoreWatcher::changesTo(const StoreEntries &store) const
{
    StoreChanges changes { *m_position, store.position, {} };
    std::set<std::string_view> listed;
    for (const StoreEntry &entry : store.entries) {
        listed.insert(entry.key);
        const auto known = m_encodedEntries.find(entry.key);
        const bool isKnown = known != m_encodedEntries.end()
                && isSameValue(m_store.decode(known->second).value, entry.value);
        if (!isKnown && !std::holds_alternative<IgnoredEntry>(entry.value))
            changes.entries.push_back(entry.encoded);
    }
    for (const auto &[key, encoded] : m_encodedEntries) {
        if (!listed.contains(key))
            changes.entries.push_back(m_store.encodeRemoval(key));
    }
    return changes;
}

void StoreWatcher::applyReturn(const StoreEntries &store, std::string_view source)
{
    m_onLog({ LogPriority::State,
              "storeWentBack",
              { { "formerEra", std::to_string(m_position->era.value) },
                { "formerRevision", std::to_string(m_position->revision.value) },
                { "era", std::to_string(store.position.era.value) },
                { "revision", std::to_string(store.position.revision.value) },
                { "formerEntries", std::to_string(m_encodedEntries.size()) },
                { "entries", std::to_string(store.entries.size()) },
                { "source", std::string(source) } } });
    m_position = store.position;
    m_isHistoryDropped = false;
    m_hasStoreGoneBack = false;
    publishAll(store, true);
}

bool StoreWatcher::isWorthSharing(const StoreEntry &entry)
{
    if (const auto *absent = std::get_if<AbsentServer>(&entry.value))
        m_sharedServers.erase(absent->server);
    const auto *server = std::get_if<ServerEntry>(&entry.value);
    if (!server)
        return true;
    const BackendRegistration &registration = server->registration;
    const MonotonicTime coldUntil = m_now + registration.coldFor;
    const auto known = m_sharedServers.find(registration.server);
    const bool isKnown = known != m_sharedServers.end()
            && isSameValue(ServerEntry { known->second.registration }, entry.value)
            && coldUntil <= known->second.coldUntil + kColdTolerance;
    if (isKnown)
        return false;
    m_sharedServers.insert_or_assign(registration.server, SharedServer { registration, coldUntil });
    return true;
}

void StoreWatcher::publishChanges(const std::vector<StoreEntry> &entries)
{
    for (const StoreEntry &entry : entries) {
        updateCache(entry);
        publishChange(entry);
    }
    publishRollouts(false);
    if (!entries.empty())
        publishEvacuationsAndHosts(false);
}

void StoreWatcher::applySharedChanges(const StoreChanges &changes, MonotonicTime now)
{
    m_now = std::max(m_now, now);
    if (!m_position) {
        m_sharedChangesDueAt = m_now;
        return;
    }
    if (changes.position.era > m_position->era)
        return applySharedReturn(changes);
    if (changes.position < *m_position) {
        m_counters.add("store_changes_ignored_total{reason=\"older\"}");
        return;
    }
    // The store is known to have gone back, so what a neighbour read before is no news.
    if (m_hasStoreGoneBack)
        return;
    const bool beginsInFormerEra = changes.after.era < m_position->era;
    if (beginsInFormerEra && changes.position != *m_position)
        return;
    // The changes in between are missing, so this host reads them from the store.
    if (changes.after > *m_position) {
        m_counters.add("store_changes_ignored_total{reason=\"gap\"}");
        m_sharedChangesDueAt = m_now;
        return;
    }
    awaitSharedChanges();
    m_isHistoryDropped = false;
    if (changes.position == *m_position)
        return m_onEvent(StoreCaughtUp {});
    m_position = changes.position;
    std::vector<StoreEntry> entries;
    for (const std::string &encoded : changes.entries)
        entries.push_back(m_store.decode(encoded));
    for (const StoreEntry &entry : entries) {
        if (const auto *server = std::get_if<ServerEntry>(&entry.value))
            m_sharedServers.erase(server->registration.server);
        else if (const auto *absent = std::get_if<AbsentServer>(&entry.value))
            m_sharedServers.erase(absent->server);
    }
    publishChanges(entries);
    m_onEvent(StoreCaughtUp {});
}

void StoreWatcher::applySharedReturn(const StoreChanges &changes)
{
    if (changes.after != *m_position) {
        m_counters.add("store_changes_ignored_total{reason=\"era\"}");
        if (!std::exchange(m_hasStoreGoneBack, true))
            leaveReadToPublisher();
        return;
    }
    for (const std::string &encoded : changes.entries)
        updateCache(m_store.decode(encoded));
    StoreEntries store { {}, changes.position };
    for (const auto &[key, encoded] : m_encodedEntries)
        store.entries.push_back(m_store.decode(encoded));
    awaitSharedChanges();
    applyReturn(store, "host");
}

void StoreWatcher::updateCache(const StoreEntry &entry)
{
    const bool isGone = std::holds_alternative<AbsentEntry>(entry.value)
            || std::holds_alternative<AbsentServer>(entry.value);
    if (isGone)
        m_encodedEntries.erase(entry.key);
    else if (!std::holds_alternative<IgnoredEntry>(entry.value))
        m_encodedEntries[entry.key] = entry.encoded;
}

std::optional<StoreChanges> StoreWatcher::snapshot() const
{
    if (!m_position)
        return std::nullopt;
    StoreChanges snapshot { {}, *m_position, {} };
    for (const auto &[key, encoded] : m_encodedEntries)
        snapshot.entries.push_back(encoded);
    return snapshot;
}

void StoreWatcher::applySnapshot(const StoreChanges &snapshot, MonotonicTime now)
{
    m_now = std::max(m_now, now);
    if (m_position)
        return;
    m_position = snapshot.position;
    StoreEntries store { {}, snapshot.position };
    for (const std::string &encoded : snapshot.entries)
        store.entries.push_back(m_store.decode(encoded));
    m_onLog({ LogPriority::State,
              "snapshotTaken",
              { { "revision", std::to_string(snapshot.position.revision.value) },
                { "entries", std::to_string(snapshot.entries.size()) } } });
    publishAll(store, false);
}

void StoreWatcher::onFailure(StoreFailure failure)
{
    countCall(toText(failure));
    if (failure == StoreFailure::HistoryDropped) {
        onAnswer();
        if (!m_isHistoryDropped)
            m_onLog({ LogPriority::State, "historyDropped", {} });
        return requireReadOfAll(m_isHistoryDropped);
    }
    if (++m_failures == 2)
        m_onLog({ LogPriority::State, "storeLost", { { "failure", toText(failure) } } });
    addFruitlessCall();
}

void StoreWatcher::addFruitlessCall()
{
    // Most subscribers retry more rarely than the publisher and its standby, so that one of these
    // two reaches the store first. The standby alone has to keep the bound on new configurations if
    // the publisher stays cut off from the store.
    const bool isSubscriber = m_role == StoreRole::Subscriber && !mustReadAll();
    if (isSubscriber)
        m_pace.addFruitlessCall(m_now, { kSharedChangesTimeout, 2 * kSharedChangesTimeout });
    else
        m_pace.addFruitlessCall(m_now, { kMinRetryDelay, kMaxRetryDelay });
}

void StoreWatcher::onAnswer()
{
    if (m_failures > 1)
        m_onLog({ LogPriority::State, "storeRegained", {} });
    m_failures = 0;
}

void StoreWatcher::countCall(std::string_view result)
{
    std::string name = "store_calls_total{kind=\"";
    name += m_isReadingAll ? "read" : "watch";
    name += "\",result=\"";
    name += result;
    name += "\"}";
    m_counters.add(name);
}

std::vector<Counter> StoreWatcher::counters(MonotonicTime now) const
{
    std::vector<Counter> counters = m_counters.all();
    if (m_position) {
        counters.push_back({ "store_era", m_position->era.value });
        counters.push_back({ "store_revision", m_position->revision.value });
    }
    if (m_allReadAt) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_allReadAt);
        counters.push_back({ "store_read_age_millis", static_cast<std::uint64_t>(age.count()) });
    }
    return counters;
}

} // namespace greengagestair
