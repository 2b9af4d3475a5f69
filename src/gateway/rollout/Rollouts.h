#pragma once

#include "core/CounterSet.h"
#include "gateway/BackendDirectory.h"
#include "gateway/DomainReachability.h"
#include "gateway/GatewayEffect.h"
#include "gateway/GatewayEvent.h"
#include "gateway/GatewayOptions.h"
#include "gateway/rollout/RolloutCoordinator.h"
#include "gateway/rollout/ServiceRollout.h"

#include <boost/json/array.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Follows the roll-outs of all services on one host: decides which software version gets a request,
 * counts the results, reports them to the coordinators of the service, and coordinates those
 * roll-outs for which this host is first or second in the ranking. Gateway passes the time and the
 * list of effects with beginStep(). Without options it does nothing.
 */
class Rollouts
{
public:
    Rollouts(HostId self, const std::optional<RolloutOptions> &options,
             const BackendDirectory &directory, const DomainReachability &reachability);

    void setOptions(const std::optional<RolloutOptions> &options);
    /** Sets the current time and the list to which effects are appended. */
    void beginStep(MonotonicTime now, GatewayEffects &effects);
    /** Replaces the list of live hosts, which includes this host once it is announced. */
    void setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts);
    /** This host is up to date with the store. */
    void addStoreNews();
    /** Notes the version of a server that is about to be put into the directory. */
    void addServer(const BackendRegistration &registration);
    void read(const RolloutsRead &event);
    void addReport(const HostId &sender, const RolloutReport &report);
    void addNotice(const RolloutNotice &notice);
    void endWrite(const RolloutWriteEnded &event);

    /** True if a new request is to go to the target version; to be called once for each. */
    bool takeTurn(const ServiceId &service);
    /**
     * Versions that may get an attempt now. If the service has no usable server of these versions,
     * others are allowed.
     * @param isForTarget the first attempt of a request for which takeTurn() returned true
     * @param wasUnsent an earlier attempt did not reach its server
     */
    VersionFilter filterFor(const ServiceId &service, bool isForTarget, bool wasUnsent);
    /** True if the results of new attempts have to be passed to addResult(). */
    bool isJudged(const ServiceId &service) const;
    /** Counts the result of an attempt that took `time`. */
    void addResult(const Backend &backend, const std::string &route, RolloutResult result,
                   Duration time);

    /** Sends reports and decides, as far as they are due. */
    void advance();
    /** Time at which advance() is due; nullopt if no roll-out is open. */
    std::optional<MonotonicTime> nextWakeUp() const
    {
        return m_open > 0 ? std::optional(m_nextDecisionAt) : std::nullopt;
    }
    /** Counters for the metrics. */
    std::vector<Counter> counters() const;
    /** The roll-outs as JSON, for the state page. */
    boost::json::array dump() const;

private:
    struct Entry
    {
        Entry(const HostId &self, const ServiceId &service)
            : rollout(self, service)
        {
        }
        ServiceRollout rollout;
        RolloutCoordinator coordinator;
        std::optional<std::array<const HostEntry *, 2>> ranking; ///< null: fewer hosts
        std::optional<RolloutReport> lastReport;
        MonotonicTime lastReportAt;
        MonotonicTime nextReportAt;
        std::optional<MonotonicTime> dueSince; ///< since when a decision is due
        std::optional<RolloutState> pending;   ///< the write in progress
        MonotonicTime mayWriteAt;
        bool awaitsNews = false; ///< the state in the store has to be read before the next write
        MonotonicTime nextNoticeAt;
    };

    void countOpen();
    Entry *find(const ServiceId &service);
    Entry &entryOf(const ServiceId &service);
    bool isStale() const;
    bool hasUsable(const ServiceId &service, const VersionFilter &filter) const;
    std::array<const HostEntry *, 2> rankingOf(const ServiceId &service, Entry &entry) const;
    void report(const ServiceId &service, Entry &entry);
    RolloutReport makeReport(const ServiceId &service, Entry &entry) const;
    /** Decides if this host is first in the ranking, or second and the first does nothing. */
    void coordinate(const ServiceId &service, Entry &entry);
    RolloutSituation situationOf(const ServiceId &service, const Entry &entry) const;
    void carryOut(Entry &entry, const RolloutState &next);
    void tellHosts(Entry &entry, const RolloutState &state);
    void log(const RolloutState &state);

    HostId m_self;
    std::optional<RolloutOptions> m_options;
    const BackendDirectory &m_directory;
    const DomainReachability &m_reachability;
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
    std::shared_ptr<const std::vector<HostEntry>> m_hosts;
    std::optional<MonotonicTime> m_newsAt; ///< when this host was last up to date with the store
    MonotonicTime m_nextDecisionAt;
    MonotonicTime m_listeningSince; ///< reports may be missing from before
    std::unordered_map<ServiceId, Entry> m_entries;
    std::size_t m_open = 0; ///< roll-outs that have not ended
    CounterSet m_counters;
};

} // namespace greengagestair
