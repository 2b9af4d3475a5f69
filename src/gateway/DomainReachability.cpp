#include "gateway/DomainReachability.h"

#include <algorithm>

namespace greengagestair {

/** Distinct servers that leave requests unanswered before their failure domain is suspected. */
static constexpr std::size_t kMinUnansweredServers = 4;
/**
 * Time without any response from a failure domain before it is suspected; longer than usual
 * response times. Suspecting a domain that is only slow costs some connection attempts.
 */
static constexpr Duration kSuspicionTimeout = std::chrono::milliseconds(250);
/** Servers that are probed at a time; the failure of a single server must not suffice. */
static constexpr std::size_t kProbesPerRound = 3;
/** Interval between probes of an unreachable failure domain. */
static constexpr Duration kProbeInterval = std::chrono::milliseconds(300);

DomainReachability::DomainReachability(FailureDomainId ownDomain, const BackendDirectory &directory)
    : m_ownDomain(std::move(ownDomain))
    , m_directory(directory)
{
}

void DomainReachability::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
}

void DomainReachability::addStart(const BackendRegistration &server)
{
    Domain &domain = m_domains[server.failureDomain];
    if (domain.unansweredServers.empty())
        domain.unansweredSince = m_now;
    const auto begin = domain.unansweredServers.begin();
    const bool isKnown = std::find(begin, domain.unansweredServers.end(), server.server)
            != domain.unansweredServers.end();
    if (!isKnown && domain.unansweredServers.size() < kMinUnansweredServers)
        domain.unansweredServers.push_back(server.server);
}

void DomainReachability::addResponse(const FailureDomainId &failureDomain)
{
    const auto found = m_domains.find(failureDomain);
    if (found != m_domains.end())
        setReachable(failureDomain, found->second);
}

void DomainReachability::setReachable(const FailureDomainId &failureDomain, Domain &domain)
{
    domain.unansweredServers.clear();
    domain.pendingProbes.clear();
    const State former = std::exchange(domain.state, State::Reachable);
    if (former != State::Unreachable)
        return;
    --m_unreachableDomains;
    m_effects->push_back(LogRecord {
            LogPriority::State, "domainReachable", { { "failureDomain", failureDomain.value } } });
}

void DomainReachability::setUnreachable(const FailureDomainId &failureDomain, Domain &domain)
{
    domain.nextProbeAt = m_now + kProbeInterval;
    const State former = std::exchange(domain.state, State::Unreachable);
    if (former == State::Unreachable)
        return;
    ++m_unreachableDomains;
    m_effects->push_back(LogRecord {
            LogPriority::State,
            "domainUnreachable",
            { { "failureDomain", failureDomain.value },
              { "silentMicros", std::to_string((m_now - domain.unansweredSince).count()) },
              { "silentServers", std::to_string(domain.unansweredServers.size()) } } });
    m_effects->push_back(ReportUnreachableDomain { failureDomain });
}

void DomainReachability::addConnectionResult(const ServerId &server, bool isConnected)
{
    for (auto &[failureDomain, domain] : m_domains) {
        if (std::erase(domain.pendingProbes, server) == 0)
            continue;
        if (isConnected)
            setReachable(failureDomain, domain);
        else if (domain.pendingProbes.empty())
            setUnreachable(failureDomain, domain);
        return;
    }
}

void DomainReachability::addUnreachableReport(const FailureDomainId &failureDomain)
{
    Domain &domain = m_domains[failureDomain];
    if (domain.state != State::Reachable)
        return;
    domain.unansweredSince = m_now;
    domain.state = State::Suspected;
    startProbes(failureDomain, domain);
}

void DomainReachability::startProbes(const FailureDomainId &failureDomain, Domain &domain)
{
    const auto servers = m_directory.serversIn(failureDomain);
    if (servers.empty())
        return setReachable(failureDomain, domain);
    const std::size_t count = std::min(kProbesPerRound, servers.size());
    for (std::size_t i = 0; i < count; ++i) {
        const BackendRegistration &server =
                servers[domain.nextProbeIndex++ % servers.size()]->registration;
        domain.pendingProbes.push_back(server.server);
        m_effects->push_back(OpenConnection { server.server, server.endpoint });
    }
}

bool DomainReachability::isUnresponsive(const Domain &domain,
                                        const FailureDomainId &failureDomain) const
{
    if (domain.state != State::Reachable || domain.unansweredServers.empty()
        || m_now < domain.unansweredSince + kSuspicionTimeout)
        return false;
    return domain.unansweredServers.size() >= kMinUnansweredServers
            || domain.unansweredServers.size() >= m_directory.serversIn(failureDomain).size();
}

void DomainReachability::advance()
{
    for (auto &[failureDomain, domain] : m_domains) {
        if (isUnresponsive(domain, failureDomain)) {
            domain.state = State::Suspected;
            startProbes(failureDomain, domain);
        } else if (domain.state == State::Unreachable && domain.pendingProbes.empty()
                   && domain.nextProbeAt <= m_now) {
            startProbes(failureDomain, domain);
        }
    }
}

std::optional<MonotonicTime> DomainReachability::nextWakeUp() const
{
    std::optional<MonotonicTime> next;
    const auto consider = [&next](MonotonicTime time) {
        if (!next || time < *next)
            next = time;
    };
    for (const auto &[failureDomain, domain] : m_domains) {
        const bool hasSuspicionDeadline = domain.state == State::Reachable
                && domain.unansweredServers.size() >= kMinUnansweredServers;
        if (hasSuspicionDeadline)
            consider(std::max(domain.unansweredSince + kSuspicionTimeout, m_now));
        if (domain.state == State::Unreachable && domain.pendingProbes.empty())
            consider(domain.nextProbeAt);
    }
    return next;
}

bool DomainReachability::isReachable(const FailureDomainId &failureDomain) const
{
    if (m_unreachableDomains == 0)
        return true;
    const auto found = m_domains.find(failureDomain);
    return found == m_domains.end() || found->second.state != State::Unreachable;
}

bool DomainReachability::isIsolated() const
{
    if (m_unreachableDomains == 0)
        return false;
    bool hasOthers = false;
    for (const auto &[server, backend] : m_directory.servers()) {
        const FailureDomainId &failureDomain = backend->registration.failureDomain;
        if (failureDomain == m_ownDomain)
            continue;
        hasOthers = true;
        if (isReachable(failureDomain))
            return false;
    }
    return hasOthers;
}

} // namespace greengagestair
