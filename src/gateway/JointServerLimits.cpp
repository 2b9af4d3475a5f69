#include "gateway/JointServerLimits.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace greengagestair {

/**
 * Share of a limit that is not issued but divided among all hosts, for those that get no answer
 * from the issuing host.
 */
static constexpr double kFallbackShare = 0.1;
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
    : m_random(randomSeed)
    , m_election(std::move(self))
    , m_noticeLimit(kMaxNotices, kNoticeWindow)
{
}

void JointServerLimits::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
}

void JointServerLimits::setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts)
{
    m_election.setHosts(std::move(hosts), m_now);
}

std::optional<PermitGrant> JointServerLimits::issue(const HostId &sender,
                                                    const PermitRequest &request)
{
    const auto from = m_election.issuesFrom(request.server.value);
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
    for (const HostEntry &host : m_election.hosts()) {
        if (host.host != m_election.self() && host.host != source)
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
    const HostEntry *issuer = m_election.issuerOf(backend.registration.server.value);
    if (issuer && issuer->host == m_election.self())
        issue(m_election.self(), notice);
    else if (issuer)
        m_effects->push_back(SendToHost { issuer->host, issuer->peer, notice });
}

Permission JointServerLimits::permission(Backend &backend)
{
    const auto &limit = backend.needs.requestLimit();
    if (!limit)
        return Permission::Granted;
    const double fallback = m_election.hosts().empty() ? 0 : kFallbackShare * *limit;
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
    const HostEntry *issuer = m_election.issuerOf(backend.registration.server.value);
    if (!issuer)
        return;
    if (issuer->host != m_election.self()) {
        m_effects->push_back(SendToHost { issuer->host, issuer->peer, request });
        return;
    }
    if (const auto grant = issue(m_election.self(), request))
        addGrant(backend, *grant);
}

void JointServerLimits::take(Backend &backend)
{
    if (backend.needs.requestLimit())
        backend.permits.take(m_now);
}

void JointServerLimits::answer(const HostId &sender, const PermitRequest &request, Backend *backend)
{
    const HostEntry *entry = m_election.find(sender);
    if (!entry)
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
