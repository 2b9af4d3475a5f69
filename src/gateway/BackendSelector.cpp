#include "gateway/BackendSelector.h"

#include <algorithm>
#include <cmath>

namespace greengagestair {

/** Time that a request to another failure domain has to save to justify the traffic. */
static constexpr Duration kCrossDomainPenalty = std::chrono::milliseconds(15);
/** A new connection takes one round trip, and some milliseconds of a slot on the server. */
static constexpr Duration kConnectPenalty = std::chrono::milliseconds(7);
/** A cold server is chosen only if the others are expected to be slower by this time. */
static constexpr Duration kColdPenalty = std::chrono::milliseconds(15);
/** Penalty for a server whose registration has disappeared, since it has probably stopped. */
static constexpr Duration kUnregisteredCost = std::chrono::milliseconds(40);
/**
 * With at least this many connections for each entry host, all hosts get the same share, so that a
 * host without servers in its own failure domain can send several requests to a server at a time.
 */
static constexpr double kMinEqualShare = 3;
/** Otherwise, share of the usable connections that entry hosts of the server's failure domain may
 * open. */
static constexpr double kOwnDomainShare = 0.7;
/** Share of the connection limit that is divided; the rest is for hosts that have just joined. */
static constexpr double kUsedConnectionShare = 0.9;

/**
 * If a server accepts fewer connections than there are hosts, each host keeps an idle connection
 * for its share of this time only. A server keeps the connections of a host that lost power open
 * for seconds and needs spare capacity for the new connections of the same host.
 */
static constexpr Duration kSharedIdleTime = std::chrono::seconds(4);

static bool contains(const std::vector<ServerId> &servers, const ServerId &server)
{
    return std::find(servers.begin(), servers.end(), server) != servers.end();
}

bool ServerFilter::allows(const ServerId &server) const
{
    return !contains(excluded, server) && (!only || contains(*only, server));
}

BackendSelector::BackendSelector(SelectorOptions options, const BackendDirectory &directory,
                                 const DomainReachability &reachability)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_reachability(reachability)
{
}

bool BackendSelector::isUsable(const Backend &backend) const
{
    return m_directory.isInService(backend)
            && m_reachability.isReachable(backend.registration.failureDomain);
}

double BackendSelector::connectionShare(const BackendService &service, bool isOwnDomain) const
{
    const double usable = static_cast<double>(service.connectionLimit) * kUsedConnectionShare;
    const double equalShare = usable / static_cast<double>(m_hostCount.all);
    if (equalShare >= kMinEqualShare)
        return equalShare;
    const std::size_t others = m_hostCount.all - std::min(m_hostCount.all, m_hostCount.ownDomain);
    const std::size_t sharingHosts = isOwnDomain ? m_hostCount.ownDomain : others;
    const double domainShare = isOwnDomain ? kOwnDomainShare : 1 - kOwnDomainShare;
    return usable * domainShare / static_cast<double>(std::max<std::size_t>(sharingHosts, 1));
}

IdleConnectionLimits BackendSelector::idleLimitsFor(const BackendService &service,
                                                    const Backend &backend) const
{
    const double share = connectionShare(service, isOwnDomain(backend));
    IdleConnectionLimits limits;
    limits.idle = std::max<std::size_t>(static_cast<std::size_t>(share), 1);
    if (share < 1) {
        const auto time = share * static_cast<double>(kSharedIdleTime.count());
        limits.idleTime = Duration(static_cast<Duration::rep>(time));
    }
    return limits;
}

bool BackendSelector::hasCapacity(const BackendService &service, Backend &backend,
                                  MonotonicTime now) const
{
    const double share = connectionShare(service, isOwnDomain(backend));
    if (static_cast<double>(backend.load.inFlight()) >= std::max(std::floor(share), 1.0))
        return false;
    if (now >= backend.coldUntil || service.coldRequestsPerSecond <= 0)
        return true;
    const double allowed =
            service.coldRequestsPerSecond * m_options.coldFactor + m_options.coldSlack;
    const double coldShare = std::floor(allowed / static_cast<double>(m_hostCount.all));
    return static_cast<double>(backend.load.coldRequestsInLastSecond(now)) < coldShare;
}

Duration BackendSelector::cost(const Backend &backend, Duration typical, MonotonicTime now) const
{
    const BackendRegistration &registration = backend.registration;
    Duration cost = backend.load.expectedTime(typical, registration.slots, now);
    if (registration.failureDomain != m_options.failureDomain)
        cost += kCrossDomainPenalty;
    if (!backend.load.isLikelyConnected(now))
        cost += kConnectPenalty;
    if (now < backend.coldUntil)
        cost += kColdPenalty;
    if (backend.removeAt)
        cost += kUnregisteredCost;
    return cost;
}

std::shared_ptr<Backend> BackendSelector::choose(const BackendService &service, Duration typical,
                                                 const ServerFilter &filter, MonotonicTime now)
{
    std::shared_ptr<Backend> best;
    Duration bestCost = Duration::max();
    const auto &servers = m_directory.serversOf(service.name);
    // A different start index each time spreads requests over servers of equal cost.
    ++m_rotation;
    for (std::size_t offset = 0; offset < servers.size(); ++offset) {
        const auto &backend = servers[(offset + m_rotation) % servers.size()];
        const bool isAllowed = filter.allows(backend->registration.server);
        if (!isAllowed || !isUsable(*backend) || !hasCapacity(service, *backend, now))
            continue;
        const Duration expected = cost(*backend, typical, now);
        if (expected < bestCost) {
            bestCost = expected;
            best = backend;
        }
    }
    return best;
}

bool BackendSelector::hasCandidate(const BackendService &service, const ServerFilter &filter) const
{
    const auto &servers = m_directory.serversOf(service.name);
    return std::any_of(servers.begin(), servers.end(), [&](const auto &backend) {
        return isUsable(*backend) && filter.allows(backend->registration.server);
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
