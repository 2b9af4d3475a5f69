#pragma once

#include "core/CounterSet.h"
#include "gateway/DomainReachability.h"
#include "gateway/GatewayEffect.h"
#include "gateway/IssuerElection.h"
#include "gateway/quota/QuotaHolder.h"
#include "gateway/quota/QuotaIssuer.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace greengagestair {

/** What TenantQuotas says to a request. */
enum class QuotaVerdict {
    Admitted, ///< the request may be sent and counts as sent
    Waiting,  ///< a QuotaDecision follows soon
    Refused   ///< the tenant has used up its quota
};

/** Answer of TenantQuotas to a request. */
struct QuotaAdmission
{
    QuotaVerdict verdict = QuotaVerdict::Admitted;
    Duration retryAfter {}; ///< if refused: time until there is room
};

/** Outcome of a request that waited for a permit; never QuotaVerdict::Waiting. */
struct QuotaDecision
{
    ExchangeId exchange;
    QuotaAdmission admission;
};

/**
 * Keeps the quotas of tenants together with the other entry hosts. While a tenant is well below its
 * quota, requests are admitted at once and reported to the issuer; near the quota each request
 * waits for a permit, for at most three times QuotaHolder::kAnswerTime.
 *
 * Without options it admits everything. Gateway passes the time and the list of effects with
 * beginStep() and collects the outcomes of waiting requests with takeDecisions() after each step.
 */
class TenantQuotas
{
public:
    TenantQuotas(HostId self, const std::optional<QuotaOptions> &options, std::uint64_t randomSeed);

    /** Sets the current time and the list to which effects are appended. */
    void beginStep(MonotonicTime now, GatewayEffects &effects);
    void setOptions(const std::optional<QuotaOptions> &options);
    /** Takes over the tenants of a new configuration. */
    void setTenants(const std::vector<Tenant> &tenants);
    /** Replaces the list of live hosts. */
    void setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts);
    /**
     * Sets what is known of unreachable failure domains; it has to stay valid. Without it, every
     * refused connection counts as the end of a process.
     */
    void setReachability(const DomainReachability *reachability) { m_reachability = reachability; }
    /** Sets the number of hosts among which the fallback is divided. */
    void setHostCount(std::size_t hosts) { m_hostCount = hosts; }
    /** Records that all changes of the store up to now were read. */
    void addStoreContact() { m_issuer.addStoreContact(); }
    /** From now on this host issues nothing to others. */
    void stop() { m_issuer.stop(); }

    /** Asks whether a request of the tenant may be sent. */
    QuotaAdmission admit(const TenantId &tenant, ExchangeId exchange);
    /** Drops a request that waits; it uses nothing. */
    void forget(ExchangeId exchange);
    /** Outcomes of requests that waited. */
    std::vector<QuotaDecision> takeDecisions() { return std::exchange(m_decisions, {}); }

    /** Handles a question or a copy of another host. */
    void onRequest(const QuotaPeer &sender, const QuotaRequest &request);
    /** Handles an answer or a notice. */
    void onGrant(const HostId &sender, const QuotaGrant &grant);
    /** `isConnectionRefused`: the host's machine answers, but no process listens there any more. */
    void onPeerLost(const HostId &host, bool isConnectionRefused);
    /** Handles all timers that are due. */
    void advance();
    /** Time at which advance() is due; nullopt if no timer is pending. */
    std::optional<MonotonicTime> nextWakeUp() const;

    /** Number of requests that wait for a permit. */
    std::size_t waiting() const { return m_waiting.size(); }
    /** Counters for the metrics. */
    const CounterSet &counters() const { return m_counters; }

private:
    /** What this host knows of another one that it has asked. */
    struct Contact
    {
        MonotonicTime goneUntil; ///< counts as stopped or crashed until then
        std::optional<MonotonicTime> silentSince;
    };
    /** The host to ask for permits now. */
    struct Target
    {
        const HostEntry *host = nullptr; ///< null if neither host can be reached
        bool isStandby = false;
        bool isIssuerGone = false;
    };

    bool isSilent(const HostId &host, bool isStandby) const;
    bool isGone(const HostId &host) const;
    /** True if the host's failure domain may be cut off; a cut can reset connections, too. */
    bool mayBeCutOff(const HostId &host) const;
    Target targetOf(const TenantId &tenant, const QuotaHolder &holder) const;
    /** Tries an issuer again that is not asked now. */
    void probeIssuer(const TenantId &tenant, QuotaHolder &holder, const Target &target);
    /** Asks for the permits of all waiting requests and reports what was sent. */
    void ask(const TenantId &tenant, QuotaHolder &holder);
    void askOnce(const TenantId &tenant, QuotaHolder &holder, const Target &target);
    void apply(const TenantId &tenant, QuotaHolder &holder, const QuotaQuestion &question,
               const QuotaGrant &grant);
    /** Follows an issuer that refers this host to the standby. */
    void refer(QuotaHolder &holder, const QuotaGrant &grant) const;
    void onUnanswered(const TenantId &tenant, QuotaHolder &holder);
    /** Decides the waiting requests by this host's own share. */
    void decideAlone(const TenantId &tenant, QuotaHolder &holder);
    void decideNext(QuotaHolder &holder, const QuotaAdmission &admission);
    void refuseWaiting(QuotaHolder &holder, Duration retryAfter);
    void checkDue(const TenantId &tenant, QuotaHolder &holder);
    void arm(const TenantId &tenant, QuotaHolder &holder);
    void log(std::string_view event, const HostId &host);
    void send(const HostEntry &host, const QuotaRequest &request);

    const DomainReachability *m_reachability = nullptr;
    std::optional<QuotaOptions> m_options;
    RandomSource m_random;
    IssuerElection m_election; ///< keys are the names of tenants
    CounterSet m_counters;
    QuotaIssuer m_issuer;
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
    std::size_t m_hostCount = 1;
    std::unordered_map<TenantId, QuotaHolder> m_holders;
    std::unordered_map<HostId, Contact> m_contacts;
    std::unordered_map<ExchangeId, TenantId> m_waiting;
    std::vector<QuotaDecision> m_decisions;
    std::set<std::pair<MonotonicTime, TenantId>> m_timers;
    std::uint64_t m_lastQuestion;
};

} // namespace greengagestair
