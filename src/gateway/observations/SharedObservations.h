#pragma once

#include "core/CounterSet.h"
#include "gateway/BackendDirectory.h"
#include "gateway/GatewayEffect.h"
#include "gateway/StoreRoleElection.h"
#include "gateway/observations/ObservationCollector.h"
#include "gateway/observations/ObservationTimes.h"
#include "gateway/pace/EvidenceSource.h"

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * What the entry hosts tell each other about the results of their requests to servers, so that a
 * host with few requests knows which servers refuse, fail or are slow.
 *
 * Each host reports to the collector of its failure domain twice a second. The collector is the
 * host that StoreRoleElection elects as the publisher; the second in that ranking takes over when
 * the first has sent no summary for 1.5 s. Collectors send summaries to the hosts of their failure
 * domain and to the collectors of the others.
 *
 * Gateway passes the time and the list of effects with beginStep(). Does nothing until enabled.
 */
class SharedObservations : public EvidenceSource
{
public:
    SharedObservations(HostId self, FailureDomainId ownDomain, const BackendDirectory &directory,
                       std::uint64_t randomSeed);

    /** Turns the exchange on or off. */
    void setEnabled(bool isEnabled);
    /** True if this host takes part in the exchange. */
    bool isEnabled() const { return m_isEnabled; }
    /** Sets the failure domain of this host. */
    void setOwnDomain(const FailureDomainId &domain);
    /** Sets the current time and the list to which effects are appended. */
    void beginStep(MonotonicTime now, GatewayEffects &effects);
    /** Replaces the list of live hosts. */
    void setHosts(const std::vector<HostEntry> &hosts);

    /** Records a complete response, or that the request has gone unanswered for `time`. */
    void addAnswer(const Backend &backend, Duration time);
    /** Records that the server refused a request without running it. */
    void addRefusal(const Backend &backend);
    /** Records an error response, a lost connection or a request without a response. */
    void addFailure(const Backend &backend);
    /** Takes over a report or a summary from another host. */
    void receive(const HostId &sender, const ServerObservations &message);

    /** Sends the reports and summaries that are due. */
    void advance();
    /** Time of the next report; nullopt while the exchange is off. */
    std::optional<MonotonicTime> nextWakeUp() const;

    /**
     * Results that the hosts have seen of the server's present process in the last two seconds or
     * so, by the summary of this host's collector; they may include results that this host has
     * reported. nullopt if the server's state does not deviate from the rest of its service or the
     * statement is older than 3 s.
     */
    std::optional<ServerEvidence> evidenceOfOthers(const Backend &backend, MonotonicTime now) const;
    /** evidenceOfOthers() of a server, if that process of it is the registered one. */
    std::optional<ServerEvidence> evidenceOf(const ServerId &server, std::uint64_t startedAt,
                                             MonotonicTime now) const override;
    /**
     * Time that a request to the server is expected to lose beyond what this host has seen itself.
     * This host's own recent results outweigh those of the others. `typical` is the usual time of
     * such a request.
     */
    Duration extraTime(const Backend &backend, Duration typical, MonotonicTime now) const;

    /** Records that a part of a request is sent for the first time, which earns trials. */
    void addFirstAttempt();
    /**
     * True if this host should send a request to a server that is expected to lose time, so that
     * the hosts learn when it recovers and keep knowing it until then. Each server gets about one
     * such request a second from all hosts together.
     */
    bool isTrialDue(const Backend &backend, Duration typical, MonotonicTime now) const;
    /** Records that a request is sent because isTrialDue() was true. */
    void takeTrial(const Backend &backend, MonotonicTime now);

    /** Counters for the metrics. */
    std::vector<Counter> counters() const;
    /** True if this host collects the reports of its failure domain now. */
    bool isCollector() const;

private:
    /** This host's results of one process of a server. */
    struct OwnRecord
    {
        std::uint64_t startedAt = 0;
        RecentEvidence recent;
        ServerEvidence unreported; ///< its age is not used
        MonotonicTime lastResult;
        MonotonicTime unreportedSince;
    };
    struct Statement
    {
        std::uint64_t startedAt = 0;
        ServerEvidence evidence;
        MonotonicTime receivedAt;
    };
    /** How well this host's own results fit the statements about a server. */
    struct Doubt
    {
        double likelihood = 1;      ///< of the last own results, if the statements are right
        MonotonicTime ignoredUntil; ///< the statements have no effect before
    };
    struct Domain
    {
        std::vector<HostEntry> ranking; ///< the collector first, then the standby
        MonotonicTime lastSummary;      ///< from the collector
    };

    void add(const Backend &backend, const ServerEvidence &result);
    /** Compares an own result with the statement about the server, if there is one. */
    void checkStatement(const Backend &backend, const ServerEvidence &result);
    const HostEntry *entryOf(const HostId &host) const;
    /** Position of a host in the ranking of its failure domain; nullopt if it is not listed. */
    std::optional<std::size_t> rankOf(const HostEntry &host) const;
    /** The hosts of a failure domain that collect its reports or may do so. */
    std::vector<HostEntry> collectorsOf(const Domain &domain) const;
    bool isReporter() const;
    std::vector<ServerObservation> takeReport();
    void report();
    void summarise();
    /** Logs when this host begins or ends to collect. */
    void logRole();
    void applySummary(const std::vector<ServerObservation> &observations);
    void send(const HostEntry &host, const ServerObservations &message, std::string_view counter);
    void forgetOld();
    /** Interval at which this host sends trials to one server. */
    Duration trialInterval() const;

    HostId m_self;
    FailureDomainId m_ownDomain;
    const BackendDirectory &m_directory;
    ObservationCollector m_collector;
    bool m_isEnabled = false;
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
    std::uint64_t m_seed; ///< of this host's random choices
    Duration m_phase;     ///< of this host's reports, so that not all hosts report at the same time
    std::optional<MonotonicTime> m_nextRound;
    std::unordered_map<HostId, HostEntry> m_hosts;
    std::map<FailureDomainId, Domain> m_domains;
    std::unordered_map<ServerId, OwnRecord> m_own;
    std::unordered_map<ServerId, Statement> m_statements;
    std::unordered_map<ServerId, Doubt> m_doubts;
    std::unordered_map<ServerId, MonotonicTime> m_trialTimes; ///< of the next trials
    bool m_wasCollector = false;                              ///< isCollector() at the last round
    double m_trials = 0; ///< trials that this host may send now
    CounterSet m_counters;
};

} // namespace greengagestair
