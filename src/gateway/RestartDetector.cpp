#include "gateway/RestartDetector.h"

#include <utility>

namespace greengagestair {

/** A process that accepts connections has written its registration after this time. */
static constexpr Duration kRegistrationTime = std::chrono::milliseconds(1200);
/** The registration of a process that has ended expires within this time, unless another process
 * has written it. */
static constexpr Duration kExpiryTime = std::chrono::milliseconds(4000);

RestartDetector::RestartDetector(const BackendDirectory &directory)
    : m_directory(directory)
{
}

void RestartDetector::setConfiguration(std::shared_ptr<const RoutingConfiguration> configuration)
{
    m_configuration = std::move(configuration);
}

const BackendService *RestartDetector::coldLimitOf(const Backend &backend) const
{
    if (!m_configuration)
        return nullptr;
    const auto found = m_configuration->services.find(backend.registration.service);
    const bool isLimited =
            found != m_configuration->services.end() && found->second.coldRequestsPerSecond > 0;
    return isLimited ? &found->second : nullptr;
}

void RestartDetector::addConnectionLoss(Backend &backend, MonotonicTime now)
{
    if (!coldLimitOf(backend))
        return;
    backend.mayHaveRestarted = true;
    m_suspicions.insert_or_assign(backend.registration.server, Suspicion { now, {}, {} });
}

void RestartDetector::addContact(const Backend &backend, MonotonicTime now)
{
    if (!backend.mayHaveRestarted)
        return;
    const auto found = m_suspicions.find(backend.registration.server);
    if (found == m_suspicions.end() || found->second.reachedAt)
        return;
    found->second.reachedAt = now;
    const BackendService *service = coldLimitOf(backend);
    if (service && service->coldTime)
        found->second.warmAt = now + *service->coldTime;
}

template <typename Predicate>
void RestartDetector::endWhere(Predicate isRefuted)
{
    std::erase_if(m_suspicions, [&](const auto &entry) {
        const auto backend = m_directory.find(entry.first);
        const bool isReplaced = !backend || !backend->mayHaveRestarted;
        if (isReplaced || !isRefuted(entry.second))
            return isReplaced;
        backend->mayHaveRestarted = false;
        return true;
    });
}

void RestartDetector::addStoreNews(MonotonicTime now)
{
    endWhere([now](const Suspicion &suspicion) {
        const bool hasRegistered =
                suspicion.reachedAt && now - *suspicion.reachedAt >= kRegistrationTime;
        return hasRegistered || now - suspicion.lostAt >= kExpiryTime;
    });
}

void RestartDetector::advance(MonotonicTime now)
{
    endWhere([now](const Suspicion &suspicion) {
        return suspicion.warmAt && *suspicion.warmAt <= now;
    });
}

std::optional<MonotonicTime> RestartDetector::nextWakeUp() const
{
    std::optional<MonotonicTime> next;
    for (const auto &[server, suspicion] : m_suspicions) {
        if (suspicion.warmAt && (!next || *suspicion.warmAt < *next))
            next = suspicion.warmAt;
    }
    return next;
}

} // namespace greengagestair
