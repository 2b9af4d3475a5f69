#include "gateway/quota/QuotaIssuer.h"

#include <algorithm>

namespace greengagestair {

/** The standby is told of all requests within this time. */
static constexpr Duration kCopyInterval = std::chrono::milliseconds(100);
/** A host that may send without asking first keeps this right for so long. */
static constexpr Duration kFreeTime = std::chrono::seconds(60);
/** Hosts need permits below the first level and send freely again above the second. */
static constexpr double kControlledBelow = 0.5;
static constexpr double kFreeAbove = 0.75;
/**
 * The other hosts drop a host from the list 10 s after its last contact with the store at the
 * earliest, since it renews its lease of 15 s every 5 s. What it issued must have left the window
 * by then.
 */
static constexpr Duration kMinTimeInList = std::chrono::seconds(10);
/** In calm the contacts with the store are 1.6 s apart at most. */
static constexpr Duration kMinContactTime = std::chrono::milliseconds(2500);
/** An account without requests for this time is dropped; longer than kFreeTime. */
static constexpr Duration kUnusedTime = std::chrono::minutes(2);

QuotaIssuer::QuotaIssuer(const IssuerElection &election, CounterSet &counters)
    : m_election(election)
    , m_counters(counters)
{
}

void QuotaIssuer::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
    if (!m_startedAt)
        m_startedAt = now;
    if (!m_storeContactAt)
        m_storeContactAt = now;
}

void QuotaIssuer::setOptions(const QuotaOptions &options)
{
    m_options = options;
    m_limits.clear();
    for (const auto &[tenant, quota] : m_tenants)
        m_limits[tenant] = QuotaLimits::of(quota.first, quota.second, options);
}

void QuotaIssuer::setTenants(const std::vector<Tenant> &tenants)
{
    m_tenants.clear();
    for (const Tenant &tenant : tenants) {
        if (tenant.requestsPerSecond > 0)
            m_tenants[tenant.name] = { tenant.requestsPerSecond, tenant.burst };
    }
    setOptions(m_options);
}

void QuotaIssuer::beforeHostsChange()
{
    for (auto &[tenant, account] : m_accounts) {
        const HostEntry *first = m_election.issuerOf(tenant.value);
        if (first && first->host == m_election.self() && m_now >= issuesFrom())
            account.issuedAsFirstAt = m_now;
    }
}

static Duration contactTime(const QuotaOptions &options)
{
    return std::max(kMinTimeInList - options.window, kMinContactTime);
}

void QuotaIssuer::addStoreContact()
{
    if (m_storeContactAt && m_now - *m_storeContactAt > contactTime(m_options))
        m_reconnectedAt = m_now;
    m_storeContactAt = m_now;
}

const QuotaLimits *QuotaIssuer::limitsOf(const TenantId &tenant) const
{
    const auto found = m_limits.find(tenant);
    return found == m_limits.end() ? nullptr : &found->second;
}

MonotonicTime QuotaIssuer::issuesFrom() const
{
    const MonotonicTime start = std::max(*m_startedAt, m_reconnectedAt);
    if (m_election.hosts().size() < 2)
        return start;
    const MonotonicTime listed = m_election.listedSince().value_or(m_now);
    return std::max(start, listed) + IssuerElection::kTakeoverTime;
}

MonotonicTime QuotaIssuer::knownSince(const TenantId &tenant, bool isFirst) const
{
    const MonotonicTime listed = m_election.listedSince().value_or(m_now);
    MonotonicTime since = std::max(*m_startedAt, m_reconnectedAt);
    // The issuer sends copies to this host only after it has read the same list.
    if (m_election.hasJoined() || !m_election.listedSince())
        since = std::max(since, listed + IssuerElection::kTakeoverTime);
    if (const auto raised = m_election.raisedAt(tenant.value))
        since = std::max(since, *raised + IssuerElection::kTakeoverTime);
    return isFirst ? std::max(since, issuesFrom()) : since;
}

QuotaIssuer::Account &QuotaIssuer::accountOf(const TenantId &tenant, const QuotaLimits &limits)
{
    forgetUnused();
    const auto found = m_accounts.try_emplace(tenant, *m_startedAt, m_options.window).first;
    Account &account = found->second;
    account.bucket.setLimits(limits.rate, limits.capacity, m_now);
    account.reduced.setLimit(limits.reduced);
    account.usedAt = m_now;
    const HostEntry *first = m_election.issuerOf(tenant.value);
    const bool isFirst = first && first->host == m_election.self();
    const MonotonicTime since = knownSince(tenant, isFirst);
    if (since > account.startedFrom) {
        // What another host issued before lies in the same window.
        account.startedFrom = since;
        account.bucket.restart(isFirst ? limits.initial : 0, since);
    }
    return account;
}

bool QuotaIssuer::isInTouch() const
{
    // Contact with other hosts proves nothing: they may be cut off from the platform, too.
    const bool isAlone = m_election.hosts().size() < 2;
    return isAlone || m_now - *m_storeContactAt <= contactTime(m_options);
}

QuotaIssuer::Role QuotaIssuer::roleFor(const TenantId &tenant, const Account &account) const
{
    const HostEntry *first = m_election.issuerOf(tenant.value);
    const HostEntry *second = m_election.standbyOf(tenant.value);
    const HostId &self = m_election.self();
    if (m_isStopping)
        return second ? Role::Starting : Role::Issuer;
    if (first && first->host == self) {
        if (m_now < issuesFrom())
            return Role::Starting;
        return isInTouch() ? Role::Issuer : Role::Isolated;
    }
    const bool hasIssued = account.issuedAsFirstAt
            && m_now < *account.issuedAsFirstAt + IssuerElection::kTakeoverTime;
    if (hasIssued && isInTouch())
        return Role::Issuer;
    // The permits of the host that issued meanwhile lie in the same window.
    if (!second || second->host != self || m_now < m_reconnectedAt + IssuerElection::kTakeoverTime)
        return Role::None;
    const MonotonicTime joinedAt =
            m_election.hasJoined() ? m_election.listedSince().value_or(m_now) : MonotonicTime();
    const MonotonicTime from = joinedAt + IssuerElection::kTakeoverTime;
    return m_now < from ? Role::NewStandby : Role::Standby;
}

std::optional<QuotaGrant> QuotaIssuer::answer(const QuotaPeer &sender, const QuotaRequest &request)
{
    const QuotaLimits *limits = limitsOf(request.tenant);
    if (!limits)
        return std::nullopt;
    Account &account = accountOf(request.tenant, *limits);
    if (request.isCopy) {
        account.bucket.charge(request.used, m_now);
        return std::nullopt;
    }
    const Role role = roleFor(request.tenant, account);
    const HostEntry *first = m_election.issuerOf(request.tenant.value);
    const bool isFirst = first && first->host == m_election.self();
    const bool inFull = role == Role::Issuer || (role == Role::Standby && request.isIssuerGone);
    if (inFull)
        return issueInFull(sender, request, account, isFirst);
    if (role != Role::Starting && role != Role::None)
        return issueReduced(request, account);
    QuotaGrant grant;
    grant.id = request.id;
    grant.tenant = request.tenant;
    grant.mode = QuotaMode::Referred;
    // All hosts return at the same moment, so that two hosts do not issue at the same time.
    if (role == Role::Starting && !m_isStopping)
        grant.pause = issuesFrom() - m_now;
    return grant;
}

QuotaGrant QuotaIssuer::issueInFull(const QuotaPeer &sender, const QuotaRequest &request,
                                    Account &account, bool isFirst)
{
    account.bucket.charge(request.used, m_now);
    QuotaGrant grant;
    grant.id = request.id;
    grant.tenant = request.tenant;
    grant.permits = account.bucket.take(request.wanted, m_now);
    if (grant.permits < request.wanted)
        grant.pause = account.bucket.untilNext(m_now);
    m_counters.add("quota_permits_issued_total", grant.permits);
    updateMode(request.tenant, account);
    const bool isFree = !account.isControlled && addFreeHost(sender, request.tenant, account);
    grant.mode = isFree ? QuotaMode::Free : QuotaMode::Controlled;
    if (isFirst && m_election.standbyOf(request.tenant.value))
        account.toCopy += request.used + grant.permits;
    if (account.toCopy > 0) {
        m_copies.insert(request.tenant);
        if (!m_copiesAt)
            m_copiesAt = m_now + kCopyInterval;
    }
    return grant;
}

QuotaGrant QuotaIssuer::issueReduced(const QuotaRequest &request, Account &account)
{
    account.reduced.charge(request.used, m_now);
    QuotaGrant grant;
    grant.id = request.id;
    grant.tenant = request.tenant;
    grant.mode = QuotaMode::Reduced;
    grant.permits = account.reduced.take(request.wanted, m_now);
    if (grant.permits < request.wanted)
        grant.pause = account.reduced.untilNext(m_now);
    account.bucket.charge(static_cast<double>(request.used) + grant.permits, m_now);
    m_counters.add("quota_permits_reduced_total", grant.permits);
    return grant;
}

bool QuotaIssuer::addFreeHost(const QuotaPeer &sender, const TenantId &tenant, Account &account)
{
    if (sender.host == m_election.self())
        return true;
    const auto known = account.freeHosts.find(sender.host);
    if (known == account.freeHosts.end()) {
        std::erase_if(account.freeHosts,
                      [this](const auto &told) { return told.second.second <= m_now; });
        const QuotaLimits *limits = limitsOf(tenant);
        if (!limits || static_cast<double>(account.freeHosts.size()) >= limits->freeHosts)
            return false;
    }
    account.freeHosts[sender.host] = { sender.endpoint, m_now + kFreeTime };
    return true;
}

void QuotaIssuer::updateMode(const TenantId &tenant, Account &account)
{
    const double level = account.bucket.level(m_now);
    if (account.isControlled) {
        account.isControlled = level <= kFreeAbove;
        return;
    }
    account.isControlled = level < kControlledBelow;
    if (!account.isControlled)
        return;
    m_counters.add("quota_controlled_total");
    QuotaGrant notice;
    notice.tenant = tenant;
    notice.mode = QuotaMode::Controlled;
    for (const auto &[host, told] : account.freeHosts) {
        if (m_now < told.second)
            m_effects->push_back(SendToHost { host, told.first, notice });
    }
    account.freeHosts.clear();
}

void QuotaIssuer::sendCopy(const TenantId &tenant, Account &account)
{
    const HostEntry *standby = m_election.standbyOf(tenant.value);
    QuotaRequest copy;
    copy.tenant = tenant;
    copy.used = std::exchange(account.toCopy, 0);
    copy.isCopy = true;
    if (standby && standby->host != m_election.self() && copy.used > 0)
        m_effects->push_back(SendToHost { standby->host, standby->peer, copy });
}

void QuotaIssuer::advance()
{
    if (!m_copiesAt || m_now < *m_copiesAt)
        return;
    m_copiesAt.reset();
    for (const TenantId &tenant : std::exchange(m_copies, {})) {
        const auto found = m_accounts.find(tenant);
        if (found != m_accounts.end())
            sendCopy(tenant, found->second);
    }
}

void QuotaIssuer::stop()
{
    m_isStopping = true;
    if (m_copiesAt)
        m_copiesAt = m_now;
    advance();
}

void QuotaIssuer::forgetUnused()
{
    if (m_now < m_nextCleanUp)
        return;
    m_nextCleanUp = m_now + kUnusedTime;
    std::erase_if(m_accounts, [this](const auto &account) {
        return account.second.usedAt + kUnusedTime < m_now;
    });
}

} // namespace greengagestair
