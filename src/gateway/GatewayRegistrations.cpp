#include "gateway/Gateway.h"

#include <algorithm>

namespace greengagestair {

/** A live server whose registration expired during an outage registers again within this time. */
static constexpr Duration kReregistrationTime = std::chrono::milliseconds(2000);
/**
 * In a shorter outage of the store no registration of a live server expires: servers write about
 * every 1.2 s, and a registration expires after three silent intervals.
 */
static constexpr Duration kMinExpiryOutage = std::chrono::milliseconds(2400);

void Gateway::on(const RegistrationsRead &event)
{
    std::set<ServerId> listed;
    std::vector<ServerId> newServers;
    for (const BackendRegistration &registration : event.registrations) {
        listed.insert(registration.server);
        const bool wasKnown = m_directory.find(registration.server) != nullptr;
        putListed(registration, event.hasStoreGoneBack);
        const bool isNew = !wasKnown && m_directory.find(registration.server);
        if (isNew && isRouted(registration.service))
            newServers.push_back(registration.server);
    }
    m_areServersKnown = true;
    m_directory.forgetDisplacedExcept(listed);
    // The copy of a store that has gone back says nothing about when a registration disappeared.
    if (event.hasStoreGoneBack)
        m_caughtUpAt.reset();
    warmUp(std::move(newServers));
    for (const ServerId &server : m_directory.absentFrom(listed))
        removeLater(server);
    m_effects.push_back(LogRecord { LogPriority::State,
                                    "registrationsRead",
                                    { { "servers", std::to_string(event.registrations.size()) },
                                      { "known", std::to_string(m_directory.size()) } } });
    m_dispatcher.retryWaiting();
}

void Gateway::putListed(const BackendRegistration &registration, bool hasStoreGoneBack)
{
    m_rollouts.addServer(registration);
    if (!hasStoreGoneBack)
        return putServer(registration, !m_areServersKnown);
    const auto known = m_directory.find(registration.server);
    if (const auto believed = m_retention.reconcile(registration, known.get()))
        putServer(*believed, !m_areServersKnown);
}

void Gateway::putServer(const BackendRegistration &registration, bool isFirstList)
{
    const auto former = m_directory.find(registration.server);
    m_directory.put(registration, m_now);
    const auto current = m_directory.find(registration.server);
    if (current && current != former && !isFirstList)
        m_selector.pacing().addProcess(*current, m_now);
}

void Gateway::on(const RegistrationWritten &event)
{
    logRegistration(event.registration);
    m_retention.addWritten(event.registration.server);
    const bool isNew = !m_directory.find(event.registration.server);
    m_directory.forgetDisplaced(event.registration.server);
    m_rollouts.addServer(event.registration);
    displaceOthers(event.registration);
    putServer(event.registration, false);
    // A server without a route is warmed up, too: the configuration with its route may not have
    // been read yet.
    if (isNew)
        warmUp({ event.registration.server });
    m_dispatcher.retryWaiting();
}

void Gateway::displaceOthers(const BackendRegistration &registered)
{
    for (const BackendRegistration &displaced : m_directory.displaceOthers(registered)) {
        const ServerId &server = displaced.server;
        m_retention.addRemoved(displaced, m_now);
        m_effects.push_back(LogRecord { LogPriority::State,
                                        "addressTakenOver",
                                        { { "server", server.value },
                                          { "by", registered.server.value },
                                          { "address", registered.endpoint.address } } });
        m_effects.push_back(CloseIdleConnections { server });
    }
}

bool Gateway::isRouted(const ServiceId &service) const
{
    if (!m_configuration)
        return false;
    const auto routesToService = [&service](const GatewayRoute &route) {
        if (route.gather) {
            const std::vector<ServiceId> &shards = route.gather->services;
            return std::find(shards.begin(), shards.end(), service) != shards.end();
        }
        return std::any_of(route.targets.begin(), route.targets.end(),
                           [&service](const auto &target) { return target.service == service; });
    };
    return std::any_of(m_configuration->routes.begin(), m_configuration->routes.end(),
                       routesToService);
}

void Gateway::warmUp(std::vector<ServerId> servers)
{
    // Servers in other failure domains get few requests from this host.
    std::erase_if(servers, [this](const ServerId &server) {
        return !m_selector.isOwnDomain(*m_directory.find(server));
    });
    m_warmer.add(std::move(servers), m_now);
}

void Gateway::logRegistration(const BackendRegistration &registration)
{
    const auto known = m_directory.find(registration.server);
    m_effects.push_back(LogRecord {
            LogPriority::State,
            known ? "serverChanged" : "serverRegistered",
            { { "server", registration.server.value },
              { "service", registration.service.value },
              { "endpoint",
                registration.endpoint.address + ":" + std::to_string(registration.endpoint.port) },
              { "draining", registration.isDraining ? "true" : "false" },
              { "coldMicros", std::to_string(registration.coldFor.count()) } } });
}

void Gateway::on(const RegistrationRemoved &event)
{
    m_directory.forgetDisplaced(event.server);
    removeLater(event.server);
}

MonotonicTime Gateway::removalTime(const BackendRegistration &registration) const
{
    // A draining server is shutting down and does not register again.
    if (registration.isDraining)
        return m_now;
    // The registration existed when this host was last up to date. After an outage of the store,
    // the time for live servers to register again begins with its return.
    const MonotonicTime seenAt = m_caughtUpAt.value_or(m_now);
    const bool mayHaveExpired = m_now - seenAt >= kMinExpiryOutage;
    return std::max(m_now, (mayHaveExpired ? m_now : seenAt) + kReregistrationTime);
}

void Gateway::removeLater(const ServerId &server)
{
    const auto backend = m_directory.find(server);
    if (!backend || backend->removeAt)
        return;
    const MonotonicTime removeAt = removalTime(backend->registration);
    m_directory.removeLater(server, removeAt);
    const Duration unseenFor = m_now - m_caughtUpAt.value_or(m_now);
    m_effects.push_back(
            LogRecord { LogPriority::State,
                        "registrationGone",
                        { { "server", server.value },
                          { "unseenMicros", std::to_string(unseenFor.count()) },
                          { "removedInMicros", std::to_string((removeAt - m_now).count()) } } });
}

} // namespace greengagestair
