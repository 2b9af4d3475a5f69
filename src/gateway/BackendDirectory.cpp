#include "gateway/BackendDirectory.h"

#include <algorithm>

namespace greengagestair {

void BackendDirectory::put(const BackendRegistration &registration, MonotonicTime now)
{
    const auto displaced = m_displaced.find(registration.server);
    if (displaced != m_displaced.end() && displaced->second == registration.startedAt)
        return;
    const auto found = m_servers.find(registration.server);
    const bool isSameProcess = found != m_servers.end()
            && found->second->registration.startedAt == registration.startedAt
            && found->second->registration.service == registration.service
            && found->second->registration.endpoint == registration.endpoint;
    if (isSameProcess) {
        Backend &known = *found->second;
        // An unchanged registration that is read again must not restart the cold period.
        if (known.registration.coldFor != registration.coldFor)
            known.coldUntil = now + registration.coldFor;
        if (known.registration.isDraining && !registration.isDraining)
            known.needs.cancelLeaving();
        known.registration = registration;
        cancelRemoval(known);
        return;
    }
    auto backend = std::make_shared<Backend>();
    if (found != m_servers.end())
        backend->load.takeRecentRequests(found->second->load);
    remove(registration.server);
    backend->registration = registration;
    backend->coldUntil = now + registration.coldFor;
    m_servers[registration.server] = backend;
    m_byService[registration.service].push_back(backend);
    m_byEndpoint[registration.endpoint].insert(registration.server);
}

std::vector<BackendRegistration>
BackendDirectory::displaceOthers(const BackendRegistration &registered)
{
    std::vector<BackendRegistration> displaced;
    const auto sharing = m_byEndpoint.find(registered.endpoint);
    if (sharing == m_byEndpoint.end())
        return displaced;
    for (const ServerId &server : sharing->second) {
        if (server != registered.server)
            displaced.push_back(m_servers.at(server)->registration);
    }
    for (const BackendRegistration &registration : displaced) {
        m_displaced[registration.server] = registration.startedAt;
        remove(registration.server);
    }
    return displaced;
}

void BackendDirectory::forgetDisplacedExcept(const std::set<ServerId> &listed)
{
    std::erase_if(m_displaced,
                  [&](const auto &displaced) { return !listed.contains(displaced.first); });
}

void BackendDirectory::detach(const Backend &backend)
{
    const auto endpoint = m_byEndpoint.find(backend.registration.endpoint);
    if (endpoint != m_byEndpoint.end()) {
        endpoint->second.erase(backend.registration.server);
        if (endpoint->second.empty())
            m_byEndpoint.erase(endpoint);
    }
    const auto service = m_byService.find(backend.registration.service);
    if (service == m_byService.end())
        return;
    std::erase_if(service->second, [&](const auto &other) { return other.get() == &backend; });
    if (service->second.empty())
        m_byService.erase(service);
}

void BackendDirectory::remove(const ServerId &server)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end())
        return;
    detach(*found->second);
    cancelRemoval(*found->second);
    m_servers.erase(found);
}

void BackendDirectory::cancelRemoval(Backend &backend)
{
    if (!backend.removeAt)
        return;
    m_removals.erase({ *backend.removeAt, backend.registration.server });
    backend.removeAt.reset();
}

void BackendDirectory::removeLater(const ServerId &server, MonotonicTime at)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || found->second->removeAt)
        return;
    found->second->removeAt = at;
    m_removals.emplace(at, server);
}

std::vector<ServerId> BackendDirectory::absentFrom(const std::set<ServerId> &listed) const
{
    std::vector<ServerId> absent;
    for (const auto &[server, backend] : m_servers) {
        if (!listed.contains(server))
            absent.push_back(server);
    }
    return absent;
}

std::vector<BackendRegistration> BackendDirectory::removeDue(MonotonicTime now)
{
    std::vector<BackendRegistration> due;
    while (!m_removals.empty() && m_removals.begin()->first <= now) {
        const ServerId server = m_removals.begin()->second;
        due.push_back(m_servers.at(server)->registration);
        remove(server);
    }
    return due;
}

std::optional<MonotonicTime> BackendDirectory::nextRemoval() const
{
    if (m_removals.empty())
        return std::nullopt;
    return m_removals.begin()->first;
}

void BackendDirectory::setEvacuated(std::set<FailureDomainId> failureDomains)
{
    m_evacuated = std::move(failureDomains);
}

const std::vector<std::shared_ptr<Backend>> &
BackendDirectory::serversOf(const ServiceId &service) const
{
    static const std::vector<std::shared_ptr<Backend>> kNone;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? kNone : found->second;
}

std::vector<std::shared_ptr<Backend>>
BackendDirectory::serversIn(const FailureDomainId &failureDomain) const
{
    std::vector<std::shared_ptr<Backend>> servers;
    for (const auto &[server, backend] : m_servers) {
        if (backend->registration.failureDomain == failureDomain)
            servers.push_back(backend);
    }
    return servers;
}

bool BackendDirectory::isInService(const Backend &backend) const
{
    return !backend.registration.isDraining && !backend.needs.isLeaving()
            && !m_evacuated.contains(backend.registration.failureDomain);
}

std::shared_ptr<Backend> BackendDirectory::find(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : found->second;
}

} // namespace greengagestair
