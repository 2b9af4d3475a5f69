#include "gateway/RequestQuarantine.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/** Number of distinct servers that have to be lost before a signature is blocked. */
static constexpr std::size_t kServersToBlock = 3;
/** Number of distinct requests that have to lose servers before their signature is blocked. */
static constexpr std::size_t kRequestsToBlock = 2;
/** A signature stays blocked until this time has passed since the last loss. */
static constexpr Duration kBlockDuration = std::chrono::seconds(60);
/** Maximum number of recorded signatures; each takes about 200 bytes. */
static constexpr std::size_t kMaxSignatures = 4096;
/** Maximum number of signatures in one statement to another host; each takes up to 300 bytes. */
static constexpr std::size_t kMaxStatedSignatures = 64;

template <typename Value>
static void addDistinct(std::vector<Value> &values, const Value &value, std::size_t capacity)
{
    const bool isKnown = std::find(values.begin(), values.end(), value) != values.end();
    if (!isKnown && values.size() < capacity)
        values.push_back(value);
}

RequestQuarantine::Losses &RequestQuarantine::lossesOf(Signature signature)
{
    const auto [entry, isNew] = m_losses.try_emplace(signature);
    if (!isNew)
        return entry->second;
    m_insertionOrder.push_back(signature);
    if (m_insertionOrder.size() > kMaxSignatures) {
        m_losses.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
    return entry->second;
}

void RequestQuarantine::addLoss(Signature signature, const std::string &requestId,
                                const ServerId &server, MonotonicTime now)
{
    Losses &losses = lossesOf(signature);
    losses.lastLossAt = now;
    addDistinct(losses.servers, server, kServersToBlock);
    addDistinct(losses.ownRequests, requestId, kRequestsToBlock);
}

void RequestQuarantine::addReportedLoss(const HostId &reporter, const SignatureLoss &loss,
                                        MonotonicTime now)
{
    Losses &losses = lossesOf(loss.signature);
    losses.lastLossAt = now;
    addDistinct(losses.servers, loss.server, kServersToBlock);
    addDistinct(losses.reporters, reporter, kRequestsToBlock);
}

void RequestQuarantine::addSuccess(Signature signature, MonotonicTime now)
{
    const auto found = m_losses.find(signature);
    if (found == m_losses.end())
        return;
    Losses &losses = found->second;
    losses.servers.clear();
    losses.ownRequests.clear();
    losses.reporters.clear();
    losses.hasSeveralRequests = false;
    losses.lastSuccessAt = now;
}

bool RequestQuarantine::isBlocked(Signature signature, MonotonicTime now) const
{
    const auto found = m_losses.find(signature);
    if (found == m_losses.end())
        return false;
    const Losses &losses = found->second;
    const bool hasRequests = losses.hasSeveralRequests
            || losses.ownRequests.size() + losses.reporters.size() >= kRequestsToBlock;
    return hasRequests && losses.servers.size() >= kServersToBlock
            && now - losses.lastLossAt < kBlockDuration;
}

std::vector<RecordedLoss> RequestQuarantine::recentLosses(const HostId &self,
                                                          MonotonicTime now) const
{
    using Entry = std::pair<const Signature, Losses>;
    std::vector<const Entry *> recent;
    for (const Entry &entry : m_losses) {
        if (!entry.second.servers.empty() && now - entry.second.lastLossAt < kBlockDuration)
            recent.push_back(&entry);
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(recent.size(), kMaxStatedSignatures));
    std::partial_sort(recent.begin(), recent.begin() + count, recent.end(),
                      [](const Entry *left, const Entry *right) {
                          return left->second.lastLossAt > right->second.lastLossAt;
                      });
    std::vector<RecordedLoss> recorded;
    for (auto entry = recent.begin(); entry != recent.begin() + count; ++entry) {
        const auto &[signature, losses] = **entry;
        RecordedLoss loss;
        loss.signature = signature;
        loss.servers = losses.servers;
        loss.hosts = losses.reporters;
        // The other hosts know requests of this host by its name only.
        if (!losses.ownRequests.empty())
            loss.hosts.push_back(self);
        loss.hasSeveralRequests =
                losses.hasSeveralRequests || losses.ownRequests.size() >= kRequestsToBlock;
        loss.age = now - losses.lastLossAt;
        recorded.push_back(std::move(loss));
    }
    return recorded;
}

std::size_t RequestQuarantine::merge(const std::vector<RecordedLoss> &recorded,
                                     MonotonicTime statedAt, MonotonicTime now)
{
    std::size_t added = 0;
    for (const RecordedLoss &loss : recorded) {
        if (added == kMaxStatedSignatures)
            break;
        const MonotonicTime lossAt = statedAt - std::max(loss.age, Duration(0));
        if (now - lossAt >= kBlockDuration)
            continue;
        const auto known = m_losses.find(loss.signature);
        if (known == m_losses.end())
            ++added;
        else if (known->second.lastSuccessAt && *known->second.lastSuccessAt >= lossAt)
            continue;
        Losses &losses = lossesOf(loss.signature);
        losses.lastLossAt = std::max(losses.lastLossAt, lossAt);
        losses.hasSeveralRequests = losses.hasSeveralRequests || loss.hasSeveralRequests;
        for (const ServerId &server : loss.servers)
            addDistinct(losses.servers, server, kServersToBlock);
        for (const HostId &host : loss.hosts)
            addDistinct(losses.reporters, host, kRequestsToBlock);
    }
    return added;
}

} // namespace greengagestair
