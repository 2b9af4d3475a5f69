#pragma once

#include "core/CounterSet.h"
#include "gateway/BackendDirectory.h"
#include "gateway/BackendSelector.h"
#include "gateway/ConnectionWarmer.h"
#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/LostEntryRetention.h"
#include "gateway/QuarantineExchange.h"
#include "gateway/RequestDispatcher.h"
#include "gateway/RestartDetector.h"
#include "gateway/explain/Explainer.h"
#include "gateway/observations/SharedObservations.h"
#include "gateway/quota/TenantQuotas.h"
#include "gateway/rollout/Rollouts.h"

#include <boost/json/object.hpp>

#include <memory>
#include <optional>

namespace greengagestair {

/**
 * The core of an entry host: routes callers' requests to backend servers and replies to them.
 *
 * The process passes each event to handle() and carries out the returned effects in order. The
 * class reads no clock and does no input or output, so a run depends on its events, their times and
 * the random seed only.
 */
class Gateway
{
public:
    explicit Gateway(const GatewayOptions &options);

    /** Applies an event and returns the effects that are to be carried out in this order. */
    GatewayEffects handle(GatewayEvent event, MonotonicTime now);
    /** Time at which the next TimeAdvanced event is due; nullopt if no timer is pending. */
    std::optional<MonotonicTime> nextWakeUp() const;
    /**
     * True if the next event should be TimeAdvanced, as soon as the effects of the last one are
     * carried out: parts of requests are still to be sent.
     */
    bool hasUnsentParts() const { return m_dispatcher.hasUnsentParts(); }

    /** True while load balancers should send new callers to this host. */
    bool isReady() const { return m_configuration && !m_isStopping && !m_isCutOff; }
    /**
     * True if this host reaches no other failure domain and some route needs servers there. Entry
     * hosts of other failure domains can serve the callers in that case.
     */
    bool isCutOff() const { return m_isCutOff; }
    /** True if no request of a caller is in progress. */
    bool isIdle() const { return m_dispatcher.isIdle(); }
    /** The configuration in force; null before the first one was read. */
    const RoutingConfiguration *configuration() const { return m_configuration.get(); }
    /** All registered backend servers with their load. */
    const BackendDirectory &directory() const { return m_directory; }

    /** Current values of the metrics: counters of requests and sizes of the state. */
    std::vector<Counter> counters() const;
    /** The state as JSON, for operators. */
    boost::json::object dump(MonotonicTime now) const;

    /**
     * Where a request with this host header and path would go now, and why, as JSON for operators.
     * `tenant` is empty for a request without a key. Sends nothing and uses nothing up.
     */
    boost::json::object explain(const ExplainQuery &query, MonotonicTime now) const;

private:
    void on(const RequestReceived &event);
    void on(const CallerDisconnected &event);
    void on(AttemptEnded &event);
    void on(const ConfigurationRead &event);
    void on(const EvacuationsRead &event);
    void on(const RegistrationsRead &event);
    void on(const RegistrationWritten &event);
    void on(const RegistrationRemoved &event);
    void on(const StoreCaughtUp &event);
    void on(const HostsRead &event);
    void on(const ServerLossReported &event);
    void on(const LossesRequested &event);
    void on(const LossesReceived &event);
    void on(const UnreachableDomainReported &event);
    void on(const PermitsRequested &event);
    void on(const PermitsGranted &event);
    void on(const QuotaRequested &event);
    void on(const QuotaGranted &event);
    void on(const HostLost &event);
    void on(const ObservationsReceived &event);
    void on(const RolloutsRead &event);
    void on(const RolloutReported &event);
    void on(const RolloutNoticed &event);
    void on(const RolloutWriteEnded &event);
    void on(const ConnectionAttemptEnded &event);
    void on(const LastConnectionLost &event);
    void on(const OptionsChanged &event);
    void on(const GatewayStopRequested &event);
    void on(const TimeAdvanced &event);

    bool isCutOff(const GatewayRoute &route) const;
    void updateCutOff();
    void setHosts(const HostCount &hosts);
    /** This host's share of the joint limits on repeats. */
    RepeatLimits repeatShare() const;
    bool isRouted(const ServiceId &service) const;
    void warmUp(std::vector<ServerId> servers);
    /** Schedules the removal of a server whose registration has disappeared. */
    void removeLater(const ServerId &server);
    /** Time at which a server whose registration has disappeared is removed. */
    MonotonicTime removalTime(const BackendRegistration &registration) const;
    void displaceOthers(const BackendRegistration &registered);
    void logRegistration(const BackendRegistration &registration);
    void removeDueServers();
    /** Adds or updates a server; a process that is new to this host is paced. */
    void putServer(const BackendRegistration &registration, bool isFirstList);
    void putListed(const BackendRegistration &registration, bool hasStoreGoneBack);

    BackendDirectory m_directory;
    LostEntryRetention m_retention;
    DomainReachability m_reachability;
    JointServerLimits m_serverLimits;
    TenantQuotas m_quotas;
    SharedObservations m_observations;
    RestartDetector m_restarts;
    BackendSelector m_selector;
    Rollouts m_rollouts;
    ConnectionWarmer m_warmer;
    RepeatLimits m_jointRepeatLimits; ///< for all entry hosts together
    HostCount m_hostCount;
    bool m_areServersKnown = false; ///< a list of registrations has been read
    bool m_areHostsKnown = false;   ///< a host list has been read
    RequestDispatcher m_dispatcher;
    QuarantineExchange m_quarantineExchange;
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    FailureDomainId m_ownDomain;
    std::optional<MonotonicTime> m_lowerCountValidAt; ///< when m_lastHostCount takes effect
    HostCount m_lastHostCount;                        ///< as last read from the store
    bool m_isStopping = false;
    bool m_isCutOff = false;
    std::optional<MonotonicTime> m_startedAt;  ///< time of the first event
    std::optional<MonotonicTime> m_caughtUpAt; ///< time of the last StoreCaughtUp event
    MonotonicTime m_now;
    GatewayEffects m_effects;
};

} // namespace greengagestair
