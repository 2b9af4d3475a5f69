#include "core/quarantine/Quarantine.h"

#include "core/Hashing.h"

#include <boost/json.hpp>

#include <algorithm>
#include <string_view>

namespace greengagestair {

static constexpr std::size_t kKnownGoodCapacity = 16384;
static constexpr Duration kWriteTimeout = std::chrono::seconds(2);
static constexpr Duration kWriteRetryDelay = std::chrono::milliseconds(500);
/**
 * The owner writes a loss at once. The entry host writes it only if the document does not contain
 * it after this time, since the owner may have failed.
 */
static constexpr Duration kEntryHostWriteDelay = std::chrono::milliseconds(300);
/** How long a written loss waits to appear in a document before it is discarded. */
static constexpr Duration kWrittenRetention = std::chrono::seconds(60);
/** The same for a loss that this host has only inferred from a refused part. */
static constexpr Duration kRefusedRetention = std::chrono::seconds(1);

static std::string_view bytesOf(const Signature &signature)
{
    return { reinterpret_cast<const char *>(&signature.value), sizeof(signature.value) };
}

static std::uint64_t knownGoodKey(Signature signature, IndexVersion version)
{
    // An odd multiplier spreads consecutive versions over all bits.
    return signature.value ^ (version.value * 0x9e3779b97f4a7c15ULL);
}

static bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

static std::uint64_t hashOf(const QuarantineList &list)
{
    std::uint64_t hash = list.entries.size();
    for (const QuarantineEntry &entry : list.entries) {
        const auto fields = entry.signature.value
                ^ (entry.lostServers.size() * 4 + static_cast<std::size_t>(entry.state))
                ^ (static_cast<std::uint64_t>(entry.changedAt.time_since_epoch().count()) << 8);
        hash = hash * 0x100000001b3ULL + fields;
    }
    return hash;
}

Quarantine::Quarantine(const ReducerOptions &options, DocumentView &documents,
                       DocumentWriter &writer)
    : m_options(options)
    , m_documents(documents)
    , m_writer(writer)
    , m_knownGood(kKnownGoodCapacity)
{
}

Quarantine::Plan Quarantine::plan(Signature signature, IndexVersion version,
                                  const std::vector<const Group *> &groups,
                                  const std::vector<ServerId> &tried) const
{
    if (!m_options.mechanisms.quarantine)
        return { Plan::Kind::FanOut, {} };
    const QuarantineEntry *entry = findEntry(signature);
    const bool quarantined = entry != nullptr && entry->state == QuarantineState::Quarantined;
    if (quarantined || lostServers(signature).size() >= kMaxLostServers)
        return { Plan::Kind::Refuse, {} };
    if (isPending(signature))
        return { Plan::Kind::Pending, {} };
    if (isSuspect(signature))
        return { Plan::Kind::Isolated, isolatedServer(signature, groups, tried) };
    if (m_knownGood.contains(knownGoodKey(signature, version)))
        return { Plan::Kind::FanOut, {} };
    return { Plan::Kind::Canary, highestRankedServer(signature, groups, tried) };
}

void Quarantine::partAnswered(Signature signature, IndexVersion version)
{
    if (!m_options.mechanisms.quarantine)
        return;
    m_knownGood.add(knownGoodKey(signature, version));
    // The entry may have been added and removed between two document versions that this host has
    // adopted.
    const LocalLoss *loss = findLoss(signature);
    if (loss != nullptr && loss->state == LocalLoss::State::Written) {
        m_losses.erase(signature.value);
        updateWakeUp();
    }
}

void Quarantine::partLost(StepContext &context, Signature signature, const ServerId &server)
{
    addLoss(context, signature, server, context.now() + kEntryHostWriteDelay);
}

void Quarantine::peerReportedLoss(StepContext &context, const SignatureLoss &loss)
{
    addLoss(context, loss.signature, loss.server, context.now() + kEntryHostWriteDelay);
}

void Quarantine::broadcastLoss(StepContext &context, const SignatureLoss &loss) const
{
    const Configuration *configuration = m_documents.configuration();
    if (configuration == nullptr)
        return;
    for (const FailureDomain &domain : configuration->failureDomains) {
        const MemberList *list = m_documents.members(domain.name);
        if (list == nullptr)
            continue;
        for (const Member &member : list->members) {
            if (member.host != m_options.host)
                context.emit(SendToPeer { member.host, member.endpoint, loss });
        }
    }
}

void Quarantine::partRefused(StepContext &context, Signature signature)
{
    if (!m_options.mechanisms.quarantine || findEntry(signature) != nullptr)
        return;
    const auto [position, inserted] = m_losses.try_emplace(signature.value);
    if (!inserted)
        return;
    position->second.expiresAt = context.now() + kRefusedRetention;
    ++m_generation;
    updateWakeUp();
}

bool Quarantine::isBlocked(Signature signature) const
{
    if (!m_options.mechanisms.quarantine)
        return false;
    const QuarantineEntry *entry = findEntry(signature);
    if (entry != nullptr && entry->state == QuarantineState::Quarantined)
        return true;
    // A loss without servers only repeats a refusal by another owner. This owner ignores it.
    const LocalLoss *loss = findLoss(signature);
    return loss != nullptr && !loss->servers.empty()
            && (isPending(signature) || lostServers(signature).size() >= kMaxLostServers);
}

void Quarantine::serverLost(StepContext &context, const ServerId &server,
                            const std::vector<Signature> &trialSignatures)
{
    if (!m_options.mechanisms.quarantine)
        return;
    for (const Signature signature : trialSignatures) {
        addLoss(context, signature, server, context.now());
        broadcastLoss(context, { signature, server });
    }
    writeDueUpdates(context);
}

void Quarantine::signatureAnswered(StepContext &context, Signature signature)
{
    if (!m_options.mechanisms.quarantine)
        return;
    const bool mayClear = isSuspect(signature) && !isPending(signature) && !isBlocked(signature);
    if (!mayClear)
        return;
    m_signaturesToClear.insert(signature.value);
    writeDueUpdates(context);
}

bool Quarantine::mayRun(Signature signature, bool isolated) const
{
    if (!m_options.mechanisms.quarantine)
        return true;
    const bool needsIsolation = isSuspect(signature) && !isolated;
    return !isBlocked(signature) && !needsIsolation;
}

void Quarantine::onTick(StepContext &context)
{
    adoptDocument(context);
    if (m_losses.empty() && m_signaturesToClear.empty())
        return;
    removeExpiredLosses(context.now());
    writeDueUpdates(context);
    updateWakeUp();
}

boost::json::object Quarantine::dump(MonotonicTime now) const
{
    boost::json::array entries;
    for (const QuarantineEntry &entry : m_documents.quarantine().entries) {
        boost::json::object item;
        item["signature"] = toHex(entry.signature);
        item["quarantined"] = entry.state == QuarantineState::Quarantined;
        item["lostServers"] = entry.lostServers.size();
        entries.emplace_back(std::move(item));
    }
    boost::json::array losses;
    for (const auto &[signature, loss] : m_losses) {
        boost::json::object item;
        item["signature"] = toHex({ signature });
        item["written"] = loss.state == LocalLoss::State::Written;
        item["lostServers"] = loss.servers.size();
        losses.emplace_back(std::move(item));
    }
    boost::json::object result;
    result["entries"] = std::move(entries);
    result["losses"] = std::move(losses);
    result["knownGood"] = m_knownGood.size();
    result["clearing"] = m_signaturesToClear.size();
    if (m_wakeUpAt != kNever)
        result["wakeUpInUs"] = (m_wakeUpAt - now).count();
    return result;
}

const QuarantineEntry *Quarantine::findEntry(Signature signature) const
{
    if (m_entries.empty())
        return nullptr;
    const auto found = m_entries.find(signature);
    return found == m_entries.end() ? nullptr : &found->second;
}

const Quarantine::LocalLoss *Quarantine::findLoss(Signature signature) const
{
    if (m_losses.empty())
        return nullptr;
    const auto found = m_losses.find(signature.value);
    return found == m_losses.end() ? nullptr : &found->second;
}

std::vector<ServerId> Quarantine::lostServers(Signature signature) const
{
    std::vector<ServerId> servers;
    if (const QuarantineEntry *entry = findEntry(signature))
        servers = entry->lostServers;
    if (const LocalLoss *loss = findLoss(signature)) {
        for (const ServerId &server : loss->servers) {
            if (!contains(servers, server))
                servers.push_back(server);
        }
    }
    return servers;
}

bool Quarantine::isPending(Signature signature) const
{
    const LocalLoss *loss = findLoss(signature);
    return loss != nullptr && loss->state != LocalLoss::State::Written;
}

bool Quarantine::isSuspect(Signature signature) const
{
    return findEntry(signature) != nullptr || findLoss(signature) != nullptr;
}

ServerId Quarantine::highestRankedServer(Signature signature,
                                         const std::vector<const Group *> &groups,
                                         const std::vector<ServerId> &excluded) const
{
    const BackendServer *first = nullptr;
    std::uint64_t highest = 0;
    for (const Group *group : groups) {
        for (const BackendServer &server : group->servers) {
            const std::uint64_t score = rendezvousScore(bytesOf(signature), server.name.value);
            if ((first != nullptr && score <= highest) || contains(excluded, server.name))
                continue;
            const bool accepts = !m_options.mechanisms.failureDomainState
                    || m_documents.acceptsNewWork(server.name);
            if (!accepts)
                continue;
            first = &server;
            highest = score;
        }
    }
    return first == nullptr ? ServerId() : first->name;
}

ServerId Quarantine::isolatedServer(Signature signature, const std::vector<const Group *> &groups,
                                    const std::vector<ServerId> &tried) const
{
    std::vector<ServerId> excluded = lostServers(signature);
    std::vector<const Group *> lostGroups;
    for (const Group *group : groups) {
        const bool lost = std::any_of(
                group->servers.begin(), group->servers.end(),
                [&](const BackendServer &server) { return contains(excluded, server.name); });
        if (lost)
            lostGroups.push_back(group);
    }
    excluded.insert(excluded.end(), tried.begin(), tried.end());
    ServerId server = highestRankedServer(signature, lostGroups, excluded);
    return server.empty() ? highestRankedServer(signature, groups, excluded) : server;
}

void Quarantine::addLoss(StepContext &context, Signature signature, const ServerId &server,
                         MonotonicTime writeAt)
{
    if (!m_options.mechanisms.quarantine)
        return;
    const QuarantineEntry *entry = findEntry(signature);
    if (entry != nullptr && contains(entry->lostServers, server))
        return;
    const auto [position, inserted] = m_losses.try_emplace(signature.value);
    LocalLoss &loss = position->second;
    if (contains(loss.servers, server)) {
        loss.writeAt = std::min(loss.writeAt, writeAt);
        return;
    }
    context.counters.add("signature_losses_total");
    const bool isScheduled =
            !inserted && loss.state == LocalLoss::State::ToWrite && !loss.servers.empty();
    loss.writeAt = isScheduled ? std::min(loss.writeAt, writeAt) : writeAt;
    loss.servers.push_back(server);
    loss.state = LocalLoss::State::ToWrite;
    loss.expiresAt = kNever;
    m_signaturesToClear.erase(signature.value);
    ++m_generation;
    updateWakeUp();
}

void Quarantine::adoptDocument(StepContext &context)
{
    const QuarantineList &list = m_documents.quarantine();
    const std::uint64_t hash = hashOf(list);
    if (hash == m_documentHash)
        return;
    m_documentHash = hash;
    const auto previousEntries = std::exchange(m_entries, {});
    for (const QuarantineEntry &entry : list.entries) {
        if (entry.state == QuarantineState::Cleared)
            continue;
        m_entries.emplace(entry.signature, entry);
        const auto before = previousEntries.find(entry.signature);
        if (before != previousEntries.end() && before->second.state == entry.state)
            continue;
        const bool quarantined = entry.state == QuarantineState::Quarantined;
        context.emit(LogStateChange { quarantined ? StateChangeKind::SignatureQuarantined
                                                  : StateChangeKind::SignatureSuspect,
                                      toHex(entry.signature), entry.lostServers.size() });
    }
    context.counters.set("quarantine_entries", m_entries.size());
    removeDocumentedLosses();
    std::erase_if(m_signaturesToClear,
                  [&](std::uint64_t signature) { return !isSuspect({ signature }); });
    ++m_generation;
    updateWakeUp();
}

void Quarantine::removeDocumentedLosses()
{
    std::erase_if(m_losses, [&](const auto &item) {
        const QuarantineEntry *entry = findEntry({ item.first });
        const std::vector<ServerId> &servers = item.second.servers;
        return entry != nullptr
                && std::all_of(servers.begin(), servers.end(), [&](const ServerId &server) {
                       return contains(entry->lostServers, server);
                   });
    });
}

void Quarantine::removeExpiredLosses(MonotonicTime now)
{
    const auto removed =
            std::erase_if(m_losses, [&](const auto &item) { return item.second.expiresAt <= now; });
    if (removed > 0)
        ++m_generation;
}

void Quarantine::writeDueUpdates(StepContext &context)
{
    if (m_writing || context.now() < m_nextWriteAt)
        return;
    const QuarantineUpdate update = takeUpdate(context);
    if (update.empty())
        return;
    m_writing = true;
    context.counters.add("quarantine_writes_total");
    m_writer.change(
            context, { "quarantine" },
            [update](const std::optional<std::string> &current) { return update.applyTo(current); },
            kWriteTimeout,
            [this, update](StepContext &inner, bool accepted) {
                finishWrite(inner, update, accepted);
            });
}

QuarantineUpdate Quarantine::takeUpdate(StepContext &context)
{
    QuarantineUpdate update;
    update.time = context.instant.wall;
    for (auto &[signature, loss] : m_losses) {
        const bool due = loss.state == LocalLoss::State::ToWrite && !loss.servers.empty()
                && loss.writeAt <= context.now();
        if (!due)
            continue;
        loss.state = LocalLoss::State::Writing;
        update.losses.push_back({ { signature }, loss.servers });
    }
    for (const std::uint64_t signature : m_signaturesToClear)
        update.cleared.push_back({ signature });
    return update;
}

void Quarantine::finishWrite(StepContext &context, const QuarantineUpdate &update, bool accepted)
{
    m_writing = false;
    if (!accepted) {
        context.counters.add("quarantine_write_failures_total");
        m_nextWriteAt = context.now() + kWriteRetryDelay;
    }
    for (const QuarantineUpdate::Loss &written : update.losses) {
        const auto found = m_losses.find(written.signature.value);
        // A loss that was added during the write needs another write.
        if (found == m_losses.end() || found->second.state != LocalLoss::State::Writing)
            continue;
        found->second.state = accepted ? LocalLoss::State::Written : LocalLoss::State::ToWrite;
        found->second.expiresAt = accepted ? context.now() + kWrittenRetention : kNever;
    }
    if (accepted) {
        for (const Signature signature : update.cleared) {
            m_signaturesToClear.erase(signature.value);
            const auto loss = m_losses.find(signature.value);
            if (loss != m_losses.end() && loss->second.state == LocalLoss::State::Written)
                m_losses.erase(loss);
            context.emit(LogStateChange { StateChangeKind::SignatureCleared, toHex(signature), 0 });
        }
    }
    ++m_generation;
    updateWakeUp();
}

void Quarantine::updateWakeUp()
{
    m_wakeUpAt = kNever;
    for (const auto &[signature, loss] : m_losses) {
        m_wakeUpAt = std::min(m_wakeUpAt, loss.expiresAt);
        const bool toWrite = loss.state == LocalLoss::State::ToWrite && !loss.servers.empty();
        if (toWrite && !m_writing)
            m_wakeUpAt = std::min(m_wakeUpAt, std::max(loss.writeAt, m_nextWriteAt));
    }
    if (!m_signaturesToClear.empty() && !m_writing)
        m_wakeUpAt = std::min(m_wakeUpAt, m_nextWriteAt);
}

} // namespace greengagestair
