#include "gateway/RequestQuarantine.h"

#include <algorithm>

namespace greengagestair {

/** Number of distinct servers that have to be lost before a signature is blocked. */
static constexpr std::size_t kServersToBlock = 3;
/** Number of distinct requests that have to lose servers before their signature is blocked. */
static constexpr std::size_t kRequestsToBlock = 2;
/** A signature stays blocked until this time has passed since the last loss. */
static constexpr Duration kBlockDuration = std::chrono::seconds(60);
/** Maximum number of recorded signatures; each takes about 200 bytes. */
static constexpr std::size_t kMaxSignatures = 4096;

template <typename Value>
static void addDistinct(std::vector<Value> &values, const Value &value, std::size_t capacity)
{
    const bool isKnown = std::find(values.begin(), values.end(), value) != values.end();
    if (!isKnown && values.size() < capacity)
        values.push_back(value);
}

void RequestQuarantine::addLoss(Signature signature, const std::string &requestId,
                                const ServerId &server, MonotonicTime now)
{
    const auto [entry, isNew] = m_losses.try_emplace(signature);
    Losses &losses = entry->second;
    losses.lastLossAt = now;
    addDistinct(losses.servers, server, kServersToBlock);
    addDistinct(losses.requests, requestId, kRequestsToBlock);
    if (!isNew)
        return;
    m_insertionOrder.push_back(signature);
    if (m_insertionOrder.size() > kMaxSignatures) {
        m_losses.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
}

void RequestQuarantine::addSuccess(Signature signature)
{
    if (const auto found = m_losses.find(signature); found != m_losses.end()) {
        found->second.servers.clear();
        found->second.requests.clear();
    }
}

bool RequestQuarantine::isBlocked(Signature signature, MonotonicTime now) const
{
    const auto found = m_losses.find(signature);
    return found != m_losses.end() && found->second.servers.size() >= kServersToBlock
            && found->second.requests.size() >= kRequestsToBlock
            && now - found->second.lastLossAt < kBlockDuration;
}

} // namespace greengagestair
