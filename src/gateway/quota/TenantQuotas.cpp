#include "gateway/quota/TenantQuotas.h"

#include <algorithm>

namespace greengagestair {

/** An issuer that is gone, silent or refers to the standby is tried again at this interval. */
static constexpr Duration kProbeInterval = std::chrono::milliseconds(250);
/** A refused connection shows for this time that the host is gone; then it counts as silent. */
static constexpr Duration kGoneTime = std::chrono::seconds(1);
/** A standby that did not answer is not asked again for this time. */
static constexpr Duration kSilentStandbyTime = std::chrono::milliseconds(500);
/** A referral without a stated time holds for this time unless the issuer repeats it. */
static constexpr Duration kReferralTime = std::chrono::seconds(1);
static constexpr Duration kMaxReferralTime = std::chrono::seconds(2);
/** Hosts that were turned away together ask again over a span longer by this share. */
static constexpr double kPauseSpread = 0.25;
/** Retry-After while neither the issuer nor the standby can be reached. */
static constexpr Duration kAloneRetryAfter = std::chrono::milliseconds(500);

TenantQuotas::TenantQuotas(HostId self, const std::optional<QuotaOptions> &options,
                           std::uint64_t randomSeed)
    : m_options(options)
    , m_random(randomSeed)
    , m_election(std::move(self))
    , m_issuer(m_election, m_counters)
    // Answers to questions of a former process of this host must not be taken for answers to own
    // ones.
    , m_lastQuestion(m_random() >> 1U)
{
    if (m_options)
        m_issuer.setOptions(*m_options);
}

void TenantQuotas::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
    m_issuer.beginStep(now, effects);
}

void TenantQuotas::setOptions(const std::optional<QuotaOptions> &options)
{
    m_options = options;
    if (m_options)
        m_issuer.setOptions(*m_options);
}

void TenantQuotas::setTenants(const std::vector<Tenant> &tenants)
{
    m_issuer.setTenants(tenants);
}

void TenantQuotas::setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts)
{
    m_issuer.beforeHostsChange();
    m_election.setHosts(std::move(hosts), m_now);
}

bool TenantQuotas::isGone(const HostId &host) const
{
    const auto found = m_contacts.find(host);
    return found != m_contacts.end() && m_now < found->second.goneUntil && !mayBeCutOff(host);
}

bool TenantQuotas::mayBeCutOff(const HostId &host) const
{
    const HostEntry *entry = m_election.find(host);
    return m_reachability && entry && !m_reachability->isReachable(entry->failureDomain);
}

bool TenantQuotas::isSilent(const HostId &host, bool isStandby) const
{
    const auto found = m_contacts.find(host);
    if (found == m_contacts.end() || !found->second.silentSince)
        return false;
    return !isStandby || m_now < *found->second.silentSince + kSilentStandbyTime;
}

TenantQuotas::Target TenantQuotas::targetOf(const TenantId &tenant, const QuotaHolder &holder) const
{
    const HostEntry *first = m_election.issuerOf(tenant.value);
    if (!first)
        return {};
    const bool isReferred = m_now < holder.referredUntil;
    const bool isIssuerGone = isReferred || isGone(first->host);
    if (!isIssuerGone && !isSilent(first->host, false))
        return { first, false, false };
    const HostEntry *second = m_election.standbyOf(tenant.value);
    if (!second || isGone(second->host) || isSilent(second->host, true))
        return { nullptr, true, isIssuerGone };
    return { second, true, isIssuerGone };
}

void TenantQuotas::send(const HostEntry &host, const QuotaRequest &request)
{
    m_counters.add("quota_questions_total");
    m_effects->push_back(SendToHost { host.host, host.peer, request });
}

void TenantQuotas::probeIssuer(const TenantId &tenant, QuotaHolder &holder, const Target &target)
{
    const HostEntry *first = m_election.issuerOf(tenant.value);
    if (!target.isStandby || !first || m_now < holder.nextProbeAt)
        return;
    holder.nextProbeAt = m_now + kProbeInterval;
    if (first->host == m_election.self()) {
        holder.referredUntil = m_now;
        return;
    }
    QuotaRequest probe;
    probe.id = holder.probe = ++m_lastQuestion;
    probe.tenant = tenant;
    send(*first, probe);
}

QuotaAdmission TenantQuotas::admit(const TenantId &tenant, ExchangeId exchange)
{
    const QuotaLimits *limits = m_options ? m_issuer.limitsOf(tenant) : nullptr;
    if (!limits)
        return {};
    QuotaHolder &holder = m_holders[tenant];
    checkDue(tenant, holder);
    const Target target = targetOf(tenant, holder);
    if (target.host && holder.maySendFreely(target.host->host, limits->unconfirmed, m_now)) {
        m_counters.add("quota_free_total");
        holder.addUse(m_now);
        probeIssuer(tenant, holder, target);
        checkDue(tenant, holder);
        arm(tenant, holder);
        return {};
    }
    if (holder.takePermit(m_now))
        return {};
    if (m_now < holder.refusedUntil) {
        m_counters.add("quota_refused_total");
        return { QuotaVerdict::Refused, holder.refusedUntil - m_now };
    }
    holder.waiting.push_back(exchange);
    m_waiting.emplace(exchange, tenant);
    ask(tenant, holder);
    // Decided at once if this host issues the permits or can reach nobody who does.
    const auto own = std::find_if(
            m_decisions.begin(), m_decisions.end(),
            [exchange](const QuotaDecision &decision) { return decision.exchange == exchange; });
    if (own == m_decisions.end()) {
        m_counters.add("quota_waited_total");
        return { QuotaVerdict::Waiting, Duration(0) };
    }
    const QuotaAdmission admission = own->admission;
    m_decisions.erase(own);
    return admission;
}

void TenantQuotas::forget(ExchangeId exchange)
{
    const auto found = m_waiting.find(exchange);
    if (found == m_waiting.end())
        return;
    std::erase(m_holders[found->second].waiting, exchange);
    m_waiting.erase(found);
}

void TenantQuotas::ask(const TenantId &tenant, QuotaHolder &holder)
{
    // Each round that is answered at once by this host itself settles requests or changes the host
    // that is asked next; two rounds reach the standby.
    for (int round = 0; round < 3 && !holder.question(); ++round) {
        if (holder.waiting.empty() && holder.unreported() == 0)
            break;
        const Target target = targetOf(tenant, holder);
        probeIssuer(tenant, holder, target);
        if (!target.host) {
            decideAlone(tenant, holder);
            break;
        }
        askOnce(tenant, holder, target);
    }
    arm(tenant, holder);
}

void TenantQuotas::askOnce(const TenantId &tenant, QuotaHolder &holder, const Target &target)
{
    const HostId &host = target.host->host;
    const QuotaQuestion &question =
            holder.startQuestion(++m_lastQuestion, host, target.isStandby, m_now);
    QuotaRequest request;
    request.id = question.id;
    request.tenant = tenant;
    request.wanted = question.wanted;
    request.used = question.used;
    request.isIssuerGone = target.isIssuerGone;
    if (host != m_election.self())
        return send(*target.host, request);
    const auto grant = m_issuer.answer({ host, target.host->peer }, request);
    if (grant)
        apply(tenant, holder, holder.endQuestion(true), *grant);
    else
        onUnanswered(tenant, holder);
}

void TenantQuotas::decideNext(QuotaHolder &holder, const QuotaAdmission &admission)
{
    const ExchangeId exchange = holder.waiting.front();
    holder.waiting.pop_front();
    m_waiting.erase(exchange);
    const bool isRefused = admission.verdict == QuotaVerdict::Refused;
    m_counters.add(isRefused ? "quota_refused_total" : "quota_permits_used_total");
    m_decisions.push_back({ exchange, admission });
}

void TenantQuotas::refuseWaiting(QuotaHolder &holder, Duration retryAfter)
{
    while (!holder.waiting.empty())
        decideNext(holder, { QuotaVerdict::Refused, retryAfter });
}

void TenantQuotas::refer(QuotaHolder &holder, const QuotaGrant &grant) const
{
    const bool isForKnownTime = grant.pause > Duration(0);
    holder.referredUntil =
            m_now + (isForKnownTime ? std::min(grant.pause, kMaxReferralTime) : kReferralTime);
    holder.nextProbeAt = isForKnownTime ? holder.referredUntil : m_now + kProbeInterval;
}

void TenantQuotas::apply(const TenantId &tenant, QuotaHolder &holder, const QuotaQuestion &question,
                         const QuotaGrant &grant)
{
    if (grant.mode == QuotaMode::Referred) {
        holder.requirePermits();
        for (std::uint32_t i = 0; i < question.used; ++i)
            holder.addUse(m_now);
        if (question.isToStandby)
            return decideAlone(tenant, holder);
        refer(holder, grant);
        return;
    }
    if (grant.mode == QuotaMode::Free && question.host != m_election.self())
        holder.allowFreely(question.host, m_now);
    else
        holder.requirePermits();
    std::uint32_t permits = grant.permits;
    for (; permits > 0 && !holder.waiting.empty(); --permits) {
        holder.addRecentUse(m_now);
        decideNext(holder, {});
    }
    if (permits > 0)
        holder.addPermits(permits, question.askedAt);
    if (grant.permits >= question.wanted)
        return;
    const double factor = 1 + kPauseSpread * std::generate_canonical<double, 32>(m_random);
    const auto pause =
            static_cast<Duration::rep>(static_cast<double>(grant.pause.count()) * factor);
    holder.refusedUntil = m_now + Duration(pause);
    refuseWaiting(holder, std::max(Duration(pause), Duration(std::chrono::milliseconds(1))));
}

void TenantQuotas::decideAlone(const TenantId &tenant, QuotaHolder &holder)
{
    const QuotaLimits *limits = m_issuer.limitsOf(tenant);
    // A configuration read meanwhile may have ended the limit.
    while (!limits && !holder.waiting.empty())
        decideNext(holder, {});
    const double share = limits && !m_election.hosts().empty() ? limits->fallbackRate : 0;
    holder.fallback.setRate(share / static_cast<double>(std::max<std::size_t>(m_hostCount, 1)),
                            m_now);
    while (!holder.waiting.empty() && holder.fallback.mayTake(m_now, m_random)) {
        holder.fallback.take(m_now);
        m_counters.add("quota_alone_total");
        holder.addUse(m_now);
        decideNext(holder, {});
    }
    refuseWaiting(holder, kAloneRetryAfter);
}

void TenantQuotas::log(std::string_view event, const HostId &host)
{
    m_effects->push_back(LogRecord { LogPriority::State, event, { { "host", host.value } } });
}

void TenantQuotas::onUnanswered(const TenantId &tenant, QuotaHolder &holder)
{
    const QuotaQuestion question = holder.endQuestion(false);
    Contact &contact = m_contacts[question.host];
    if (!contact.silentSince) {
        m_counters.add("quota_silent_hosts_total");
        log("quotaHostSilent", question.host);
    }
    contact.silentSince = m_now;
    holder.requirePermits();
    holder.nextProbeAt = m_now + kProbeInterval;
    if (question.isToStandby && !holder.waiting.empty())
        decideAlone(tenant, holder);
}

void TenantQuotas::checkDue(const TenantId &tenant, QuotaHolder &holder)
{
    const auto dueAt = holder.dueAt();
    if (!dueAt || m_now < *dueAt)
        return;
    if (holder.question())
        onUnanswered(tenant, holder);
    const Target target = targetOf(tenant, holder);
    // Reports that nobody can take are kept for the next host that answers.
    if (target.host || !holder.waiting.empty())
        ask(tenant, holder);
    arm(tenant, holder);
}

void TenantQuotas::arm(const TenantId &tenant, QuotaHolder &holder)
{
    auto dueAt = holder.dueAt();
    if (dueAt && *dueAt <= m_now)
        dueAt = m_now + kProbeInterval;
    if (dueAt == holder.armedAt)
        return;
    if (holder.armedAt)
        m_timers.erase({ *holder.armedAt, tenant });
    if (dueAt)
        m_timers.emplace(*dueAt, tenant);
    holder.armedAt = dueAt;
}

void TenantQuotas::advance()
{
    while (!m_timers.empty() && m_timers.begin()->first <= m_now) {
        const TenantId tenant = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        QuotaHolder &holder = m_holders[tenant];
        holder.armedAt.reset();
        checkDue(tenant, holder);
        arm(tenant, holder);
    }
    m_issuer.advance();
}

std::optional<MonotonicTime> TenantQuotas::nextWakeUp() const
{
    std::optional<MonotonicTime> next = m_issuer.nextWakeUp();
    if (!m_timers.empty() && (!next || m_timers.begin()->first < *next))
        next = m_timers.begin()->first;
    return next;
}

void TenantQuotas::onRequest(const QuotaPeer &sender, const QuotaRequest &request)
{
    if (!m_options)
        return;
    if (const auto grant = m_issuer.answer(sender, request))
        m_effects->push_back(SendToHost { sender.host, sender.endpoint, *grant });
}

void TenantQuotas::onGrant(const HostId &sender, const QuotaGrant &grant)
{
    if (!m_options)
        return;
    m_contacts.erase(sender);
    const auto found = m_holders.find(grant.tenant);
    if (found == m_holders.end())
        return;
    QuotaHolder &holder = found->second;
    if (grant.id == 0) {
        if (holder.freeFrom() == sender)
            holder.requirePermits();
    } else if (grant.id == holder.probe) {
        holder.referredUntil = m_now;
        if (grant.mode == QuotaMode::Referred)
            refer(holder, grant);
    } else if (holder.question() && holder.question()->id == grant.id) {
        apply(grant.tenant, holder, holder.endQuestion(true), grant);
        if (!holder.waiting.empty())
            ask(grant.tenant, holder);
    }
    arm(grant.tenant, holder);
}

void TenantQuotas::onPeerLost(const HostId &host, bool isConnectionRefused)
{
    if (!m_options)
        return;
    const bool isRefused = isConnectionRefused && !mayBeCutOff(host);
    const bool isNewlyGone = isRefused && !isGone(host);
    if (isNewlyGone)
        log("quotaHostGone", host);
    if (isRefused)
        m_contacts[host].goneUntil = m_now + kGoneTime;
    for (auto &[tenant, holder] : m_holders) {
        const HostEntry *first = m_election.issuerOf(tenant.value);
        const bool wasAsked = holder.question() && holder.question()->host == host;
        if (wasAsked && isRefused)
            holder.endQuestion(false);
        else if (wasAsked)
            onUnanswered(tenant, holder);
        // A process that has ended refuses the next connection at once.
        if (wasAsked && !isRefused)
            holder.nextProbeAt = m_now;
        if (isNewlyGone && first && first->host == host)
            holder.repeatRecentUses(m_now);
        if (wasAsked)
            ask(tenant, holder);
        arm(tenant, holder);
    }
}

} // namespace greengagestair
