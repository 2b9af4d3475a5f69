#include "gateway/rollout/RolloutCoordinator.h"

#include <algorithm>

namespace greengagestair {

/** Hosts that were silent for this time in the switch are not waited for any more. */
static constexpr Duration kSilenceTime = std::chrono::seconds(4);
/** Rates from a shorter time are not used. */
static constexpr Duration kMinRateTime = std::chrono::seconds(1);

static RolloutState ended(const RolloutSituation &situation, RolloutPhase phase)
{
    RolloutState next = *situation.state;
    next.phase = phase;
    next.share = phase == RolloutPhase::Complete ? 1 : 0;
    next.surgeShare = 0;
    next.surge = Duration(0);
    next.elapsed = situation.now - situation.orderedAt;
    return next;
}

/** The first state for an order. */
static RolloutState begun(const RolloutSituation &situation)
{
    RolloutState next;
    next.service = situation.order->service;
    next.targetVersion = situation.order->targetVersion;
    next.orderRevision = situation.order->revision;
    next.elapsed = situation.now - situation.orderedAt;
    if (situation.state) {
        next.revision = situation.state->revision;
        next.withheld = situation.state->withheld;
        const std::string &former = situation.state->targetVersion;
        const bool isKnown = std::find(next.withheld.begin(), next.withheld.end(), former)
                != next.withheld.end();
        if (situation.state->phase != RolloutPhase::Complete && !isKnown)
            next.withheld.push_back(former);
    }
    std::erase(next.withheld, next.targetVersion);
    return next;
}

void RolloutCoordinator::reset()
{
    m_reports.clear();
    m_former.clear();
    m_excluded.clear();
    m_firstReportAt.reset();
}

void RolloutCoordinator::followOrder(Revision order)
{
    if (m_order == order)
        return;
    m_order = order;
    reset();
}

void RolloutCoordinator::add(RouteTallies &tallies, const RolloutReport &report)
{
    for (const RolloutCounts &counts : report.counts) {
        RouteTally &route = tallies[counts.route];
        RolloutTally &side = counts.isTarget ? route.target : route.others;
        side += { counts.answers, counts.failures, counts.totalTime };
    }
}

/** True if the counts go on from `former`; a new state or process of the host begins at 0. */
static bool continues(const RolloutReport &report, const RolloutReport &former)
{
    if (report.stateRevision != former.stateRevision)
        return false;
    return std::all_of(former.counts.begin(), former.counts.end(), [&](const RolloutCounts &old) {
        return std::any_of(report.counts.begin(), report.counts.end(), [&](const auto &counts) {
            return counts.route == old.route && counts.isTarget == old.isTarget
                    && counts.answers >= old.answers && counts.failures >= old.failures;
        });
    });
}

void RolloutCoordinator::addReport(const HostId &host, const RolloutReport &report,
                                   MonotonicTime now)
{
    if (report.orderRevision < m_order)
        return;
    followOrder(report.orderRevision);
    if (!m_firstReportAt)
        m_firstReportAt = now;
    const auto [found, isNew] = m_reports.try_emplace(host);
    if (!isNew && !continues(report, found->second.last))
        add(m_former, found->second.last);
    found->second = { report, now };
}

RouteTallies RolloutCoordinator::tallies() const
{
    RouteTallies sum = m_former;
    for (const auto &[host, report] : m_reports)
        add(sum, report.last);
    return sum;
}

RolloutVerdict RolloutCoordinator::verdict() const
{
    const RouteTallies all = tallies();
    const RolloutVerdict total = judge(all);
    if (total == RolloutVerdict::Bad)
        return total;
    // A version that is bad only under load shows it in the last step alone; the answers of the
    // steps before would hide it.
    Revision newest;
    for (const auto &[host, report] : m_reports)
        newest = std::max(newest, report.last.stateRevision);
    RouteTallies lastStep;
    for (const auto &[host, report] : m_reports) {
        if (report.last.stateRevision == newest)
            add(lastStep, report.last);
    }
    for (auto &[name, route] : lastStep)
        route.others = all.at(name).others;
    return judge(lastStep) == RolloutVerdict::Bad ? RolloutVerdict::Bad : total;
}

double RolloutCoordinator::requestsPerSecond(const RolloutSituation &situation) const
{
    if (!m_firstReportAt || situation.now - *m_firstReportAt < kMinRateTime)
        return 0;
    double results = 0;
    for (const auto &[name, route] : tallies())
        results += static_cast<double>(route.target.results() + route.others.results());
    const std::chrono::duration<double> time = situation.now - *m_firstReportAt;
    return results / time.count();
}

std::optional<RolloutState> RolloutCoordinator::decide(const RolloutSituation &situation,
                                                       const RolloutOptions &options,
                                                       const std::vector<HostEntry> &hosts)
{
    const RolloutOrder *order = situation.order;
    const RolloutState *state = situation.state;
    const bool isRunning = state && isActive(*state);
    if (!order && !isRunning)
        return std::nullopt;
    // The platform learns that the former target version has ended before another one begins.
    if (!order || (isRunning && state->targetVersion != order->targetVersion))
        return ended(situation, RolloutPhase::RolledBack);
    followOrder(order->revision);
    if (!state || state->orderRevision != order->revision) {
        RolloutState next = begun(situation);
        if (situation.hasTargetServers && !situation.hasOldServers)
            next.phase = RolloutPhase::Complete;
        return next;
    }
    return isRunning ? decideActive(situation, options, hosts) : std::nullopt;
}

std::optional<RolloutState> RolloutCoordinator::decideActive(const RolloutSituation &situation,
                                                             const RolloutOptions &options,
                                                             const std::vector<HostEntry> &hosts)
{
    const RolloutPlan plan(options, situation.order->duration);
    if (situation.hasTargetServers && !situation.hasOldServers)
        return ended(situation, RolloutPhase::Complete);
    if (situation.wasToldBad || verdict() == RolloutVerdict::Bad)
        return ended(situation, RolloutPhase::RolledBack);
    const bool isSwitching = situation.state->phase == RolloutPhase::Switching;
    const bool wasTried = situation.now - situation.appliedAt >= plan.fullLoadTime();
    if (isSwitching && wasTried && haveAllSwitched(situation, hosts))
        return ended(situation, RolloutPhase::Complete);
    if (situation.now - situation.orderedAt >= plan.endAt())
        return ended(situation, RolloutPhase::RolledBack);
    return isSwitching ? std::nullopt : nextStep(situation, plan);
}

std::optional<RolloutState> RolloutCoordinator::nextStep(const RolloutSituation &situation,
                                                         const RolloutPlan &plan) const
{
    const RolloutState &state = *situation.state;
    const Duration elapsed = situation.now - situation.orderedAt;
    RolloutState next = state;
    next.elapsed = elapsed;
    const bool maySwitch = elapsed >= plan.switchAt() && elapsed < plan.lastSwitchAt();
    if (state.phase == RolloutPhase::Exposing && maySwitch && verdict() == RolloutVerdict::Good) {
        next.phase = RolloutPhase::Switching;
        next.share = 1;
        next.surgeShare = 0;
        next.surge = Duration(0);
        return next;
    }
    const std::uint32_t step = state.phase == RolloutPhase::Holding ? 1 : state.step + 1;
    const bool isDue = step <= kLastRolloutStep && elapsed >= plan.dueAt(step, state.elapsed);
    if (!isDue || !situation.hasTargetServers || elapsed >= plan.lastSwitchAt())
        return std::nullopt;
    const RolloutShare share = plan.shareOf(step, elapsed, requestsPerSecond(situation));
    next.phase = RolloutPhase::Exposing;
    next.step = step;
    next.share = share.share;
    next.surgeShare = share.surgeShare;
    next.surge = share.surge;
    return next;
}

bool RolloutCoordinator::haveAllSwitched(const RolloutSituation &situation,
                                         const std::vector<HostEntry> &hosts)
{
    const MonotonicTime waitingSince = std::max(situation.appliedAt, situation.listeningSince);
    const auto isSilentSince = [&situation](MonotonicTime time) {
        return situation.now - time >= kSilenceTime;
    };
    bool haveAll = true;
    // Hosts that are not listed may have just started, or this host may have an old list.
    for (const auto &[host, report] : m_reports) {
        const bool hasSwitched = report.last.oldInProgress == 0
                && report.last.stateRevision == situation.state->revision;
        const bool isAwaited =
                !m_excluded.contains(host) && !isSilentSince(std::max(report.at, waitingSince));
        haveAll = haveAll && (hasSwitched || !isAwaited);
    }
    std::set<HostId> silent;
    for (const HostEntry &host : hosts) {
        const auto found = m_reports.find(host.host);
        const bool isKnown = found != m_reports.end();
        const MonotonicTime heardAt =
                isKnown ? std::max(found->second.at, waitingSince) : waitingSince;
        if (m_excluded.contains(host.host))
            continue;
        if (isSilentSince(heardAt))
            silent.insert(host.host);
        else
            haveAll = haveAll && isKnown;
    }
    // If most hosts are silent, it is this host that is cut off from them.
    if (2 * (silent.size() + m_excluded.size()) > hosts.size())
        return false;
    m_excluded.merge(silent);
    return haveAll;
}

} // namespace greengagestair
