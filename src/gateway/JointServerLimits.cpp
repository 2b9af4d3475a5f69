#include "gateway/JointServerLimits.h"

#include "core/Hashing.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace greengagestair {

/**
 * Share of a limit that is not issued but divided among all hosts, for those that get no answer
 * from the issuing host.
 */
static constexpr double kFallbackShare = 0.1;
/**
 * A host issues no permits for this time after it has taken over: the permits of the former issuer
 * expire and the change of the host list reaches all hosts.
 */
static constexpr Duration kTakeoverTime = std::chrono::seconds(2);

/**
 * Limits on notices of changed limits, each of which goes to all hosts; the joint rate is what a
 * single host receives. A host that misses a notice learns from its own requests.
 */
static constexpr std::size_t kMaxNotices = 50;
static constexpr std::size_t kMaxJointNotices = 600;
static constexpr std::size_t kMinNotices = 3;
static constexpr Duration kNoticeWindow = std::chrono::seconds(5);
/** A pause that a server asks for is extended by up to this share of it, at random. */
static constexpr double kPauseSpread = 0.2;

JointServerLimits::JointServerLimits(HostId self, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_random(randomSeed)
    , m_hosts(std::make_shared<const std::vector<HostEntry>>())
    , m_noticeLimit(kMaxNotices, kNoticeWindow)
{
}

void JointServerLimits::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
}

void JointServerLimits::addDeparted(const std::vector<HostEntry> &hosts)
{
    if (m_hosts->empty())
        return;
    std::unordered_set<std::string_view> listed;
    for (const HostEntry &host : hosts)
        listed.insert(host.host.value);
    for (const HostEntry &former : *m_hosts) {
        if (!listed.contains(former.host.value))
            m_departed.push_back({ former.host, m_now });
    }
}

void JointServerLimits::setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts)
{
    std::erase_if(m_departed, [this](const DepartedHost &departed) {
        return departed.at + kTakeoverTime < m_now;
    });
    addDeparted(*hosts);
    const bool isListed = std::any_of(hosts->begin(), hosts->end(), [this](const HostEntry &host) {
        return host.host == m_self;
    });
    if (!isListed)
        m_listedSince.reset();
    else if (!m_listedSince)
        m_listedSince = m_now;
    m_hosts = std::move(hosts);
    m_issuers.clear();
}

const HostEntry *JointServerLimits::issuerOf(const ServerId &server) const
{
    if (m_hosts->empty())
        return nullptr;
    const auto [found, isNew] = m_issuers.try_emplace(server, 0);
    if (isNew) {
        const auto score = [&server](const HostEntry &entry) {
            return rendezvousScore(server.value, entry.host.value);
        };
        const auto best = std::max_element(m_hosts->begin(), m_hosts->end(),
                                           [&score](const auto &left, const auto &right) {
                                               return score(left) < score(right);
                                           });
        found->second = static_cast<std::size_t>(best - m_hosts->begin());
    }
    return &(*m_hosts)[found->second];
}

std::optional<MonotonicTime> JointServerLimits::issuesFrom(const ServerId &server) const
{
    const HostEntry *issuer = issuerOf(server);
    if (!issuer || issuer->host != m_self || !m_listedSince)
        return std::nullopt;
    MonotonicTime from = *m_listedSince + kTakeoverTime;
    const std::uint64_t ownScore = rendezvousScore(server.value, m_self.value);
    for (const DepartedHost &departed : m_departed) {
        if (rendezvousScore(server.value, departed.host.value) > ownScore)
            from = std::max(from, departed.at + kTakeoverTime);
    }
    return from;
}

std::optional<PermitGrant> JointServerLimits::issue(const HostId &sender,
                                                    const PermitRequest &request)
{
    const auto from = issuesFrom(request.server);
    if (!from || m_now < *from)
        return std::nullopt;
    const bool isNews = m_issuer.addStatement(request, m_now);
    const PermitGrant grant = m_issuer.issue(request, *from, m_now);
    m_counters.add("permits_issued_total", grant.permits);
    if (isNews)
        tellHosts(sender, grant);
    return grant;
}

void JointServerLimits::tellHosts(const HostId &source, const PermitGrant &grant)
{
    if (!m_noticeLimit.take(m_now))
        return;
    PermitGrant notice = grant;
    notice.id = 0;
    notice.permits = 0;
    notice.pause = Duration(0);
    for (const HostEntry &host : *m_hosts) {
        if (host.host != m_self && host.host != source)
            m_effects->push_back(SendToHost { host.host, host.peer, notice });
    }
}

void JointServerLimits::setHostCount(std::size_t hosts)
{
    m_hostCount = hosts;
    m_noticeLimit.setMaxEvents(std::clamp(kMaxJointNotices / hosts, kMinNotices, kMaxNotices));
}

void JointServerLimits::log(const Backend &backend, ServerNeeds::Change change,
                            std::string_view source, MonotonicTime attemptStartedAt)
{
    if (change == ServerNeeds::Change::None)
        return;
    LogRecord record {
        LogPriority::State,
        change == ServerNeeds::Change::LimitNamed ? "serverLimit" : "serverLimitEnded",
        { { "server", backend.registration.server.value }, { "source", std::string(source) } }
    };
    if (const auto &limit = backend.needs.requestLimit())
        record.fields.emplace_back("perSecond", std::to_string(*limit));
    record.fields.emplace_back("attemptMicros", std::to_string((m_now - attemptStartedAt).count()));
    m_effects->push_back(std::move(record));
}

void JointServerLimits::addPause(Backend &backend, Duration pause)
{
    // The hosts that a server has refused together return at different times.
    const double extra = kPauseSpread * std::generate_canonical<double, 32>(m_random);
    const auto longer = static_cast<double>(pause.count()) * (1 + extra);
    const MonotonicTime end = m_now + Duration(static_cast<Duration::rep>(longer));
    if (backend.needs.pausedUntil() <= m_now)
        m_effects->push_back(LogRecord { LogPriority::State,
                                         "serverPaused",
                                         { { "server", backend.registration.server.value },
                                           { "micros", std::to_string(pause.count()) } } });
    backend.needs.addPause(end);
}

void JointServerLimits::addResponse(Backend &backend, const ServerStatement &statement,
                                    MonotonicTime startedAt)
{
    if (!statement.invalid.empty() && !std::exchange(backend.hasInvalidStatement, true))
        m_effects->push_back(LogRecord { LogPriority::State,
                                         "invalidStatement",
                                         { { "server", backend.registration.server.value },
                                           { "field", statement.invalid } } });
    if (statement.isLeaving && backend.needs.addLeaving())
        m_effects->push_back(LogRecord { LogPriority::State,
                                         "serverLeaving",
                                         { { "server", backend.registration.server.value } } });
    if (statement.pause)
        addPause(backend, *statement.pause);
    const ServerNeeds::Change change =
            backend.needs.addNamedLimit(statement.requestLimit, startedAt, m_now);
    log(backend, change, "response", startedAt);
    if (change == ServerNeeds::Change::None)
        return;
    // The other hosts learn it from the issuing host; their own requests may be rare.
    const PermitRequest notice = makeRequest(backend, 0);
    const HostEntry *issuer = issuerOf(backend.registration.server);
    if (issuer && issuer->host == m_self)
        issue(m_self, notice);
    else if (issuer)
        m_effects->push_back(SendToHost { issuer->host, issuer->peer, notice });
}

Permission JointServerLimits::permission(Backend &backend)
{
    const auto &limit = backend.needs.requestLimit();
    if (!limit)
        return Permission::Granted;
    const double fallback = m_hosts->empty() ? 0 : kFallbackShare * *limit;
    backend.permits.setFallbackRate(fallback / static_cast<double>(m_hostCount), m_now);
    return backend.permits.permission(m_now, m_random);
}

PermitRequest JointServerLimits::makeRequest(Backend &backend, std::uint32_t permits)
{
    PermitRequest request;
    request.id = permits > 0 ? backend.permits.startRequest(m_now) : 0;
    request.server = backend.registration.server;
    request.serverStartedAt = backend.registration.startedAt;
    request.permits = permits;
    request.statement = backend.needs.limitStatement(m_now);
    return request;
}

void JointServerLimits::addDemand(Backend &backend, bool isNew, bool isWaitedFor)
{
    if (!backend.needs.requestLimit())
        return;
    if (isNew)
        backend.permits.addDemand(m_now);
    const std::uint32_t permits = backend.permits.permitsToRequest(isWaitedFor, m_now);
    if (permits == 0)
        return;
    m_counters.add("permit_requests_total");
    const PermitRequest request = makeRequest(backend, permits);
    const HostEntry *issuer = issuerOf(backend.registration.server);
    if (!issuer)
        return;
    if (issuer->host != m_self) {
        m_effects->push_back(SendToHost { issuer->host, issuer->peer, request });
        return;
    }
    if (const auto grant = issue(m_self, request))
        addGrant(backend, *grant);
}

void JointServerLimits::take(Backend &backend)
{
    if (backend.needs.requestLimit())
        backend.permits.take(m_now);
}

void JointServerLimits::answer(const HostId &sender, const PermitRequest &request, Backend *backend)
{
    const auto entry =
            std::find_if(m_hosts->begin(), m_hosts->end(),
                         [&sender](const HostEntry &host) { return host.host == sender; });
    if (entry == m_hosts->end())
        return;
    const auto grant = issue(sender, request);
    if (!grant)
        return;
    if (backend && backend->registration.startedAt == grant->serverStartedAt)
        addReport(*backend, grant->statement);
    if (request.permits > 0)
        m_effects->push_back(SendToHost { sender, entry->peer, *grant });
}

void JointServerLimits::addGrant(Backend &backend, const PermitGrant &grant)
{
    if (backend.registration.startedAt != grant.serverStartedAt)
        return;
    addReport(backend, grant.statement);
    const bool isNotice = grant.id == 0;
    if (isNotice)
        return;
    m_counters.add("permits_received_total", grant.permits);
    if (grant.permits == 0)
        m_counters.add("permit_requests_refused_total");
    backend.permits.addGrant(grant, m_now, m_random);
}

void JointServerLimits::addReport(Backend &backend, const LimitStatement &statement)
{
    const ServerNeeds::Change change = backend.needs.addReportedLimit(statement, m_now);
    log(backend, change, "host", m_now - std::max(statement.age, Duration(0)));
}

} // namespace greengagestair
