#pragma once

#include "core/CounterSet.h"
#include "gateway/GatewayEffect.h"
#include "gateway/IssuerElection.h"
#include "gateway/quota/QuotaBucket.h"
#include "gateway/quota/QuotaLimits.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace greengagestair {

/** Another host as it can be answered; it may be missing from this host's list. */
struct QuotaPeer
{
    HostId host;
    Endpoint endpoint;
};

/**
 * Issues the permits of those tenants for which this host is the issuer or the standby, and decides
 * whether hosts may send without asking first. TenantQuotas owns it.
 *
 * The issuer issues in full only while it is in touch with the platform; otherwise the other hosts
 * may have elected another one, and it issues the reduced number.
 */
class QuotaIssuer
{
public:
    QuotaIssuer(const IssuerElection &election, CounterSet &counters);

    void beginStep(MonotonicTime now, GatewayEffects &effects);
    void setOptions(const QuotaOptions &options);
    /** Replaces the limits of all tenants. */
    void setTenants(const std::vector<Tenant> &tenants);
    /** Records the tenants that this host issues for; call it before the host list changes. */
    void beforeHostsChange();
    /** Records that this host is in touch with the platform's store. */
    void addStoreContact();
    /** From now on hosts are referred to the standby, which gets the last copies at once. */
    void stop();

    /**
     * Answers a request for permits. nullopt: no answer, since it is a copy or the tenant is not
     * known here.
     */
    std::optional<QuotaGrant> answer(const QuotaPeer &sender, const QuotaRequest &request);
    /** The limits of a tenant; null if it has none. */
    const QuotaLimits *limitsOf(const TenantId &tenant) const;

    /** Sends copies that are due. */
    void advance();
    std::optional<MonotonicTime> nextWakeUp() const { return m_copiesAt; }
    /** Number of tenants with a bucket on this host. */
    std::size_t accounts() const { return m_accounts.size(); }

private:
    /** What this host may do for a tenant. */
    enum class Role {
        Issuer,
        Starting, ///< issuer from soon on; the predecessor or the standby issues until then
        Isolated, ///< issuer that the other hosts may have replaced without its knowledge
        Standby,
        NewStandby, ///< has joined as the standby; another host may still issue
        None
    };
    struct Account
    {
        Account(MonotonicTime since, Duration window)
            : bucket(since, window)
            , reduced(window)
            , startedFrom(since)
        {
        }

        QuotaBucket bucket;
        QuotaWindow reduced;
        MonotonicTime startedFrom; ///< the bucket was empty or restarted then
        bool isControlled = false;
        std::unordered_map<HostId, std::pair<Endpoint, MonotonicTime>> freeHosts; ///< until when
        std::uint32_t toCopy = 0; ///< requests that the standby was not told of
        std::optional<MonotonicTime> issuedAsFirstAt;
        MonotonicTime usedAt;
    };

    Account &accountOf(const TenantId &tenant, const QuotaLimits &limits);
    Role roleFor(const TenantId &tenant, const Account &account) const;
    bool isInTouch() const;
    /** Time before which this host knows nothing of what was issued. */
    MonotonicTime knownSince(const TenantId &tenant, bool isFirst) const;
    /** Time from which this host, first in the ranking, may issue. */
    MonotonicTime issuesFrom() const;
    QuotaGrant issueInFull(const QuotaPeer &sender, const QuotaRequest &request, Account &account,
                           bool isFirst);
    QuotaGrant issueReduced(const QuotaRequest &request, Account &account);
    /** Allows the sender to send without asking; false if too many hosts may do so. */
    bool addFreeHost(const QuotaPeer &sender, const TenantId &tenant, Account &account);
    void updateMode(const TenantId &tenant, Account &account);
    void sendCopy(const TenantId &tenant, Account &account);
    void forgetUnused();

    const IssuerElection &m_election;
    CounterSet &m_counters;
    QuotaOptions m_options;
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
    std::unordered_map<TenantId, QuotaLimits> m_limits;
    std::unordered_map<TenantId, std::pair<double, double>> m_tenants; ///< rate and burst
    std::unordered_map<TenantId, Account> m_accounts;
    std::set<TenantId> m_copies; ///< tenants with something to copy
    std::optional<MonotonicTime> m_copiesAt;
    std::optional<MonotonicTime> m_startedAt; ///< first step of the process
    std::optional<MonotonicTime> m_storeContactAt;
    MonotonicTime m_reconnectedAt; ///< end of the last loss of contact with the store
    MonotonicTime m_nextCleanUp;
    bool m_isStopping = false;
};

} // namespace greengagestair
