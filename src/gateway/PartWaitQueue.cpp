#include "gateway/PartWaitQueue.h"

#include <vector>

namespace greengagestair {

/** Parts that may stay blocked before serve() ends; each costs a choice among the servers. */
static constexpr std::size_t kMaxBlockedParts = 4;

void PartWaitQueue::add(const ServiceId &service, const WaitingPart &part)
{
    if (m_queues[service].insert(part).second)
        ++m_size;
}

void PartWaitQueue::remove(const ServiceId &service, const WaitingPart &part)
{
    const auto queue = m_queues.find(service);
    if (queue == m_queues.end())
        return;
    m_size -= queue->second.erase(part);
    if (queue->second.empty())
        m_queues.erase(queue);
}

void PartWaitQueue::serve(std::set<WaitingPart> &queue, const TrySend &trySend)
{
    std::size_t blocked = 0;
    for (auto part = queue.begin(); part != queue.end() && blocked < kMaxBlockedParts;) {
        if (trySend(*part)) {
            part = queue.erase(part);
            --m_size;
        } else {
            ++blocked;
            ++part;
        }
    }
}

void PartWaitQueue::serve(const ServiceId &service, const TrySend &trySend)
{
    const auto queue = m_queues.find(service);
    if (queue == m_queues.end())
        return;
    serve(queue->second, trySend);
    if (queue->second.empty())
        m_queues.erase(queue);
}

void PartWaitQueue::serveAll(const TrySend &trySend)
{
    for (auto queue = m_queues.begin(); queue != m_queues.end();) {
        serve(queue->second, trySend);
        queue = queue->second.empty() ? m_queues.erase(queue) : std::next(queue);
    }
}

} // namespace greengagestair
