#include "gateway/rollout/ServiceRollout.h"

#include "gateway/rollout/RolloutPlan.h"

#include <algorithm>
#include <utility>

namespace greengagestair {

/** Servers of a new version get nothing for this time, since an order may be under way. */
static constexpr Duration kNewVersionTime = std::chrono::milliseconds(1500);
/**
 * After a roll-out is complete, old servers get nothing for this time. They stop at once, but stay
 * registered until their leases end.
 */
static constexpr Duration kRetirementTime = std::chrono::seconds(20);

ServiceRollout::ServiceRollout(HostId self, ServiceId service)
    : m_self(std::move(self))
    , m_service(std::move(service))
{
}

bool ServiceRollout::isCurrent() const
{
    return m_order && m_state && m_state->orderRevision == m_order->revision;
}

bool ServiceRollout::apply(const std::optional<RolloutState> &state, MonotonicTime now)
{
    if (state == m_state)
        return false;
    const bool isOtherOrder = !m_state || !state || m_state->orderRevision != state->orderRevision;
    m_state = state;
    m_appliedAt = now;
    m_counter.beginStep();
    if (state && isOtherOrder)
        m_share.begin(m_self, m_service, state->orderRevision);
    if (isCurrent())
        m_orderedAt = std::min(m_orderedAt, now - m_state->elapsed);
    return true;
}

bool ServiceRollout::read(const std::optional<RolloutOrder> &order,
                          const std::optional<RolloutState> &state, bool hasStoreGoneBack,
                          std::optional<MonotonicTime> newsAt, const RolloutOptions &options,
                          MonotonicTime now)
{
    invalidate();
    if (order != m_order) {
        m_order = order;
        m_orderedAt = newsAt.value_or(now);
    }
    const bool isOlder = m_state && state && state->revision < m_state->revision;
    const bool isOwnMissing = m_state && !state && isCurrent();
    if (!hasStoreGoneBack && (isOlder || isOwnMissing))
        return false;
    const bool hasChanged = apply(state, now);
    // A host that has just started does not know for how long the step has lasted.
    if (hasChanged && !newsAt && isCurrent()) {
        const RolloutPlan plan(options, m_order->duration);
        const std::uint32_t next = std::min(m_state->step + 1, kLastRolloutStep);
        m_orderedAt = std::min(m_orderedAt, now - plan.dueAt(next, m_state->elapsed));
    }
    return hasChanged;
}

void ServiceRollout::applyWritten(const RolloutState &state, MonotonicTime now)
{
    invalidate();
    if (!m_state || m_state->revision < state.revision)
        apply(state, now);
}

void ServiceRollout::addNewVersion(const std::string &version, MonotonicTime now)
{
    m_newVersions[version] = now + kNewVersionTime;
    invalidate();
}

void ServiceRollout::addNotice(const RolloutNotice &notice)
{
    if (m_notice && notice.orderRevision < m_notice->orderRevision)
        return;
    m_notice = notice;
    invalidate();
}

bool ServiceRollout::isNoticed() const
{
    return m_notice && m_state && m_notice->orderRevision == m_state->orderRevision;
}

bool ServiceRollout::isOpen() const
{
    return isJudged() || (m_order && !isCurrent());
}

bool ServiceRollout::isForgettable(MonotonicTime now) const
{
    return !m_order && !m_state
            && std::all_of(m_newVersions.begin(), m_newVersions.end(),
                           [now](const auto &version) { return version.second <= now; });
}

const VersionSplit &ServiceRollout::split(bool isStale, MonotonicTime now)
{
    if (!m_isSplitValid || isStale != m_isSplitStale || now >= m_split.validUntil) {
        m_split = computeSplit(isStale, now);
        m_isSplitValid = true;
        m_isSplitStale = isStale;
    }
    return m_split;
}

VersionSplit ServiceRollout::computeSplit(bool isStale, MonotonicTime now) const
{
    VersionSplit split;
    split.validUntil = MonotonicTime::max();
    std::vector<std::string> &withheld = split.versions.withheld;
    for (const auto &[version, end] : m_newVersions) {
        if (now >= end)
            continue;
        withheld.push_back(version);
        split.validUntil = std::min(split.validUntil, end);
    }
    const bool isOrderNew = m_order && !isCurrent();
    const bool isOrderDone = m_state && m_state->phase == RolloutPhase::Complete && m_order
            && m_state->targetVersion == m_order->targetVersion;
    if (isOrderNew && !isOrderDone)
        withheld.push_back(m_order->targetVersion);
    if (!m_state)
        return split;
    withheld.insert(withheld.end(), m_state->withheld.begin(), m_state->withheld.end());
    if (isActive(*m_state)) {
        addActiveSplit(split, isStale, now);
    } else if (m_state->phase == RolloutPhase::RolledBack) {
        withheld.push_back(m_state->targetVersion);
    } else if (!isOrderNew && now < m_appliedAt + kRetirementTime) {
        split.versions.target = m_state->targetVersion;
        split.isTargetOnly = true;
        split.validUntil = std::min(split.validUntil, m_appliedAt + kRetirementTime);
    }
    return split;
}

void ServiceRollout::addActiveSplit(VersionSplit &split, bool isStale, MonotonicTime now) const
{
    split.versions.withheld.push_back(m_state->targetVersion);
    if (!isCurrent() || isStale || isNoticed())
        return;
    split.versions.target = m_state->targetVersion;
    split.share = m_state->share;
    split.isTargetOnly = m_state->phase == RolloutPhase::Switching;
    const MonotonicTime surgeEnd = m_appliedAt + m_state->surge;
    if (now >= surgeEnd)
        return;
    split.share = m_state->surgeShare;
    split.validUntil = std::min(split.validUntil, surgeEnd);
}

bool ServiceRollout::takeTurn(bool isStale, MonotonicTime now)
{
    const VersionSplit &current = split(isStale, now);
    return current.share > 0 && m_share.take(current.share);
}

} // namespace greengagestair
