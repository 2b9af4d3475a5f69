#pragma once

#include "core/CounterSet.h"
#include "gateway/BackendDirectory.h"
#include "gateway/BackendSelector.h"
#include "gateway/ConnectionWarmer.h"
#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/RequestDispatcher.h"

#include <boost/json/object.hpp>

#include <memory>
#include <optional>

namespace greengagestair {

/**
 * Passes callers' requests on to backend servers: the reducer of one entry host. It reads no clock
 * and does no input or output; each event yields effects that are to be carried out in order.
 */
class Gateway
{
public:
    explicit Gateway(const GatewayOptions &options);

    GatewayEffects handle(const GatewayEvent &event, MonotonicTime now);
    /** When TimeAdvanced is wanted next; null if nothing waits. */
    std::optional<MonotonicTime> nextWakeUp() const;

    /** True while new callers should be sent here. */
    bool isReady() const { return m_configuration && !m_isStopping && !m_isCutOff; }
    /**
     * True if this host reaches no other failure domain and cannot serve some route without: hosts
     * elsewhere can serve its callers.
     */
    bool isCutOff() const { return m_isCutOff; }
    /** True if no request of a caller is in progress. */
    bool isIdle() const { return m_flow.isIdle(); }
    const RoutingConfiguration *configuration() const { return m_configuration.get(); }
    const BackendDirectory &directory() const { return m_directory; }

    std::vector<Counter> counters() const;
    boost::json::object dump(MonotonicTime now) const;

private:
    void on(const RequestReceived &event);
    void on(const CallerDisconnected &event);
    void on(const AttemptEnded &event);
    void on(const ConfigurationRead &event);
    void on(const EvacuationsRead &event);
    void on(const RegistrationsRead &event);
    void on(const RegistrationWritten &event);
    void on(const RegistrationRemoved &event);
    void on(const HostsRead &event);
    void on(const ServerLossReported &event);
    void on(const UnreachableDomainReported &event);
    void on(const ConnectionAttemptEnded &event);
    void on(const OptionsChanged &event);
    void on(const GatewayStopRequested &event);
    void on(const TimeAdvanced &event);

    bool isCutOff(const GatewayRoute &route) const;
    void updateCutOff();
    void setHosts(const HostCount &hosts);
    bool isRouted(const ServiceId &service) const;
    void warmUp(std::vector<ServerId> servers);
    void removeLater(const ServerId &server);
    void logRegistration(const BackendRegistration &registration);

    BackendDirectory m_directory;
    DomainReachability m_reachability;
    BackendSelector m_selector;
    ConnectionWarmer m_warmer;
    RequestDispatcher m_flow;
    RepeatLimits m_repeats; ///< of all hosts together
    std::shared_ptr<const RoutingConfiguration> m_configuration;
    FailureDomainId m_ownDomain;
    HostCount m_hosts;
    std::optional<MonotonicTime> m_fewerHostsAt; ///< when a lower count is believed
    HostCount m_countedHosts;                    ///< the last count
    bool m_isStopping = false;
    bool m_isCutOff = false;
    MonotonicTime m_now;
    GatewayEffects m_effects;
};

} // namespace greengagestair
