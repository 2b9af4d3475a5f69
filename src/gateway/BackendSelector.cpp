#include "gateway/BackendSelector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace greengagestair {

/** Time that a request to another failure domain has to save to justify the traffic. */
static constexpr Duration kCrossDomainPenalty = std::chrono::milliseconds(15);
/** A new connection takes one round trip, and some milliseconds of a slot on the server. */
static constexpr Duration kConnectPenalty = std::chrono::milliseconds(7);
/** A server that this host does not prefer usually needs a new connection, and keeps it briefly. */
static constexpr Duration kNotPreferredPenalty = std::chrono::milliseconds(8);
/** A cold server is chosen only if the others are expected to be slower by this time. */
static constexpr Duration kColdPenalty = std::chrono::milliseconds(15);
/**
 * Weight of the loss that is expected at a server for a retry or a hedge: if it is refused or
 * fails, the part has used up another repeat or all of its attempts.
 */
static constexpr int kRepeatLossFactor = 2;
/**
 * Advantage of a returning server of the own failure domain that has got no request for some time.
 * It outweighs a new connection and the cold penalty, but no recent failure or refusal.
 */
static constexpr Duration kProbeAdvantage = std::chrono::milliseconds(25);
/** Penalty for a server whose registration has disappeared, since it has probably stopped. */
static constexpr Duration kUnregisteredCost = std::chrono::milliseconds(40);
/**
 * If a server accepts fewer connections than there are hosts, each host keeps an idle connection
 * for its share of this time only. A server keeps the connections of a host that lost power open
 * for seconds and needs spare capacity for the new connections of the same host.
 */
static constexpr Duration kSharedIdleTime = std::chrono::seconds(4);

/** The limit on requests to a cold server holds in any span of this length. */
static constexpr Duration kColdWindow = std::chrono::seconds(1);

static bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

bool ServerFilter::allows(const BackendRegistration &registration) const
{
    const ServerId &server = registration.server;
    return !contains(excluded, server) && (!only || contains(*only, server))
            && versions.allows(registration.softwareVersion);
}

BackendSelector::BackendSelector(SelectorOptions options, const BackendDirectory &directory,
                                 const DomainReachability &reachability, JointServerLimits &limits,
                                 SharedObservations &observations)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_reachability(reachability)
    , m_limits(limits)
    , m_observations(observations)
    , m_connections(m_options, directory)
    , m_pacing(m_options, directory)
{
}

bool BackendSelector::isUsable(const Backend &backend) const
{
    return m_directory.isInService(backend)
            && m_reachability.isReachable(backend.registration.failureDomain);
}

void BackendSelector::setHostCount(const HostCount &hosts)
{
    m_hostCount = hosts.all;
    m_connections.setHosts(hosts);
    m_pacing.setHostCount(hosts.all);
}

IdleConnectionLimits BackendSelector::idleLimitsFor(const BackendService &service,
                                                    const Backend &backend) const
{
    const double share = m_connections.sharesOf(service).of(backend);
    IdleConnectionLimits limits;
    limits.idle = std::max<std::size_t>(static_cast<std::size_t>(share), 1);
    if (share < 1) {
        const auto time = share * static_cast<double>(kSharedIdleTime.count());
        limits.idleTime = Duration(static_cast<Duration::rep>(time));
    }
    return limits;
}

double BackendSelector::coldShare(const BackendService &service, MonotonicTime now) const
{
    if (m_hostCount == 0 || now < m_startedAt + kColdWindow)
        return 0;
    const double allowed =
            service.coldRequestsPerSecond * m_options.coldFactor + m_options.coldSlack;
    return std::floor(allowed / static_cast<double>(m_hostCount));
}

bool BackendSelector::hasConnection(const ServiceShares &shares, const Backend &backend)
{
    // One request is allowed whatever the share is.
    return backend.load.inFlight() == 0
            || static_cast<double>(backend.load.inFlight()) < std::floor(shares.of(backend));
}

bool BackendSelector::isWithinColdLimit(const BackendService &service, const Backend &backend,
                                        MonotonicTime now) const
{
    const bool mayBeCold = now < backend.coldUntil || backend.mayHaveRestarted;
    if (!mayBeCold || service.coldRequestsPerSecond <= 0)
        return true;
    return static_cast<double>(backend.load.requestsInLastSecond(now)) < coldShare(service, now);
}

Duration BackendSelector::cost(const ServiceShares &shares, const Backend &backend,
                               Duration typical, bool isRepeat, MonotonicTime now) const
{
    const BackendRegistration &registration = backend.registration;
    Duration cost = backend.load.expectedTime(typical, registration.slots, now);
    if (registration.failureDomain != m_options.failureDomain)
        cost += kCrossDomainPenalty;
    if (!shares.isAmple() && !shares.isPreferred(backend))
        cost += kNotPreferredPenalty;
    else if (!backend.load.isLikelyConnected(now))
        cost += kConnectPenalty;
    if (now < backend.coldUntil || backend.mayHaveRestarted)
        cost += kColdPenalty;
    if (backend.removeAt)
        cost += kUnregisteredCost;
    const Duration extra = m_observations.extraTime(backend, typical, now);
    cost += isRepeat ? extra * kRepeatLossFactor : extra;
    if (isOwnDomain(backend) && m_pacing.isProbeDue(backend, now))
        cost -= kProbeAdvantage;
    return cost;
}

std::shared_ptr<Backend> BackendSelector::cheapest(const BackendService &service,
                                                   const ServiceShares &shares, Duration typical,
                                                   const ServerFilter &filter,
                                                   const std::vector<const Backend *> &skipped,
                                                   MonotonicTime now)
{
    std::shared_ptr<Backend> best;
    Duration bestCost = Duration::max();
    const auto &servers = m_directory.serversOf(service.name);
    for (std::size_t offset = 0; offset < servers.size(); ++offset) {
        const auto &backend = servers[(offset + m_rotation) % servers.size()];
        const bool isAllowed = filter.allows(backend->registration)
                && now >= backend->misdirectedUntil && now >= backend->needs.pausedUntil();
        const bool isSkipped =
                std::find(skipped.begin(), skipped.end(), backend.get()) != skipped.end();
        if (!isAllowed || isSkipped || !isUsable(*backend) || !hasConnection(shares, *backend)
            || !isWithinColdLimit(service, *backend, now))
            continue;
        if (filter.mayTry && m_observations.isTrialDue(*backend, typical, now)) {
            m_observations.takeTrial(*backend, now);
            return backend;
        }
        const Duration expected = cost(shares, *backend, typical, filter.isRepeat, now);
        if (expected < bestCost) {
            bestCost = expected;
            best = backend;
        }
    }
    return best;
}

void BackendSelector::addPacedDemand(const BackendService &service, MonotonicTime now)
{
    const auto &servers = m_directory.serversOf(service.name);
    const auto isReturning = [](const auto &backend) { return backend->pace.isReturning(); };
    if (std::none_of(servers.begin(), servers.end(), isReturning))
        return;
    std::vector<Backend *> usable;
    for (const auto &backend : servers) {
        if (isUsable(*backend))
            usable.push_back(backend.get());
    }
    m_pacing.addDemand(usable, now);
}

std::shared_ptr<Backend> BackendSelector::choose(const BackendService &service, Duration typical,
                                                 const ServerFilter &filter, MonotonicTime now)
{
    // A different start index each time spreads requests over servers of equal cost.
    ++m_rotation;
    bool isNewDemand = !filter.isWaiting;
    if (isNewDemand)
        addPacedDemand(service, now);
    const ServiceShares shares = m_connections.sharesOf(service);
    std::vector<const Backend *> denied;  // by limits that the servers name
    std::vector<const Backend *> skipped; // those, and the servers beyond their pace
    bool isPaced = true;
    while (true) {
        auto backend = cheapest(service, shares, typical, filter, skipped, now);
        if (!backend && skipped.size() > denied.size()) {
            skipped = denied;
            isPaced = false;
            continue;
        }
        if (!backend)
            return nullptr;
        if (isPaced && !m_pacing.admits(*backend, now)) {
            skipped.push_back(backend.get());
            continue;
        }
        const bool needsPermit = m_limits.permission(*backend) == Permission::Pending;
        m_limits.addDemand(*backend, std::exchange(isNewDemand, false), needsPermit);
        // If this host issues the permits itself, it has got one by now.
        const Permission permission = m_limits.permission(*backend);
        if (permission == Permission::Granted)
            return backend;
        if (permission == Permission::Pending && filter.mayWait)
            return nullptr;
        denied.push_back(backend.get());
        skipped.push_back(backend.get());
    }
}

bool BackendSelector::hasCandidate(const BackendService &service, const ServerFilter &filter,
                                   MonotonicTime now) const
{
    const auto &servers = m_directory.serversOf(service.name);
    return std::any_of(servers.begin(), servers.end(), [&](const auto &backend) {
        return isUsable(*backend) && filter.allows(backend->registration)
                && now >= backend->misdirectedUntil
                && std::max(now, filter.usableBy) >= backend->needs.pausedUntil();
    });
}

bool BackendSelector::isCutOff(const ServiceId &service) const
{
    const auto &servers = m_directory.serversOf(service);
    const bool isInService = std::any_of(servers.begin(), servers.end(), [&](const auto &backend) {
        return m_directory.isInService(*backend);
    });
    const bool hasUsable = std::any_of(servers.begin(), servers.end(),
                                       [&](const auto &backend) { return isUsable(*backend); });
    return isInService && !hasUsable;
}

} // namespace greengagestair
