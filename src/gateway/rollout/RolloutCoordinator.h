#pragma once

#include "gateway/GatewayOptions.h"
#include "gateway/RegistryStore.h"
#include "gateway/rollout/RolloutJudge.h"
#include "gateway/rollout/RolloutPlan.h"
#include "gateway/rollout/RolloutState.h"
#include "greengagestair/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace greengagestair {

/** What a coordinator decides from, besides the reports of the hosts. */
struct RolloutSituation
{
    MonotonicTime now;
    MonotonicTime orderedAt;             ///< estimate of the time of the order
    MonotonicTime appliedAt;             ///< when this host began to apply the state
    MonotonicTime listeningSince;        ///< reports of the hosts may be missing from before
    const RolloutOrder *order = nullptr; ///< null if there is none
    const RolloutState *state = nullptr; ///< null if there is none
    bool hasTargetServers = false;       ///< of the order's target version, and not draining
    bool hasOldServers = false;          ///< any registered server of another version
    bool wasToldBad = false;             ///< another coordinator has found the target version bad
};

/**
 * Decides the next state of the roll-out of one service from the order, the state and the reports
 * of all hosts. The first two hosts in the ranking of the service keep the same reports. A decision
 * depends on what is in the store only, so that any number of coordinators may act: each write is
 * conditional on the state that it was decided from.
 */
class RolloutCoordinator
{
public:
    /** Adds a host's counts, which are cumulative for one state and one process of the host. */
    void addReport(const HostId &host, const RolloutReport &report, MonotonicTime now);
    /** The state to be written now; nullopt if the current one stays. */
    std::optional<RolloutState> decide(const RolloutSituation &situation,
                                       const RolloutOptions &options,
                                       const std::vector<HostEntry> &hosts);
    /** Judgement of the target version by the reports of the order in question. */
    RolloutVerdict verdict() const;
    /** Forgets all reports. */
    void reset();

private:
    struct HostReport
    {
        RolloutReport last;
        MonotonicTime at;
    };

    /** Forgets the reports that belong to another order. */
    void followOrder(Revision order);
    std::optional<RolloutState> decideActive(const RolloutSituation &situation,
                                             const RolloutOptions &options,
                                             const std::vector<HostEntry> &hosts);
    std::optional<RolloutState> nextStep(const RolloutSituation &situation,
                                         const RolloutPlan &plan) const;
    /** True if no listed host sends to old servers or has anything in progress there. */
    bool haveAllSwitched(const RolloutSituation &situation, const std::vector<HostEntry> &hosts);
    double requestsPerSecond(const RolloutSituation &situation) const;
    RouteTallies tallies() const;
    static void add(RouteTallies &tallies, const RolloutReport &report);

    Revision m_order; ///< of the reports
    std::map<HostId, HostReport> m_reports;
    RouteTallies m_former;       ///< of former states of the order
    std::set<HostId> m_excluded; ///< silent in the switch, and not waited for any more
    std::optional<MonotonicTime> m_firstReportAt;
};

} // namespace greengagestair
