#pragma once

#include "gateway/GatewayOptions.h"
#include "gateway/rollout/RolloutCounter.h"
#include "gateway/rollout/RolloutState.h"
#include "gateway/rollout/VersionFilter.h"
#include "gateway/rollout/VersionShare.h"
#include "greengagestair/Messages.h"

#include <map>
#include <optional>
#include <string>

namespace greengagestair {

/** How new requests of a service are divided among its software versions at the moment. */
struct VersionSplit
{
    ServiceVersions versions;
    double share = 0;          ///< of first attempts, for the target version
    bool isTargetOnly = false; ///< no new request goes to another version
    MonotonicTime validUntil;  ///< to be computed again from then on
};

/** What one host knows of the roll-out of one service, and how it follows it. */
class ServiceRollout
{
public:
    ServiceRollout(HostId self, ServiceId service);

    /**
     * Takes over the order and the state in the store. A state that this host has written itself
     * stays until the store shows it or a later one.
     * @param newsAt when this host was up to date with the store before; nullopt if never
     * @return true if the state has changed
     */
    bool read(const std::optional<RolloutOrder> &order, const std::optional<RolloutState> &state,
              bool hasStoreGoneBack, std::optional<MonotonicTime> newsAt,
              const RolloutOptions &options, MonotonicTime now);
    /** Applies a state that this host has written. */
    void applyWritten(const RolloutState &state, MonotonicTime now);
    /** Withholds a version that has just appeared; an order for it may be under way. */
    void addNewVersion(const std::string &version, MonotonicTime now);
    /** Sends nothing to the target version of this order until the state has ended. */
    void addNotice(const RolloutNotice &notice);
    /** True if addNotice() was called for the order that the state belongs to. */
    bool isNoticed() const;

    /** True if an order exists whose roll-out has not ended, or a roll-out lacks its order. */
    bool isOpen() const;
    /** True if results are to be counted. */
    bool isJudged() const { return m_state && isActive(*m_state); }
    /** True if there is nothing left to follow. */
    bool isForgettable(MonotonicTime now) const;
    /** True if the version is the target of the state. */
    bool isTarget(const std::string &version) const
    {
        return m_state && m_state->targetVersion == version;
    }
    /** The division of new requests; `isStale` if this host is not up to date with the store. */
    const VersionSplit &split(bool isStale, MonotonicTime now);
    /** Forgets the result of split(). */
    void invalidate() { m_isSplitValid = false; }
    /** True if a new request is to go to the target version; to be called once for each. */
    bool takeTurn(bool isStale, MonotonicTime now);

    const std::optional<RolloutOrder> &order() const { return m_order; }
    const std::optional<RolloutState> &state() const { return m_state; }
    MonotonicTime orderedAt() const { return m_orderedAt; }
    MonotonicTime appliedAt() const { return m_appliedAt; }
    RolloutCounter &counter() { return m_counter; }

private:
    bool apply(const std::optional<RolloutState> &state, MonotonicTime now);
    VersionSplit computeSplit(bool isStale, MonotonicTime now) const;
    void addActiveSplit(VersionSplit &split, bool isStale, MonotonicTime now) const;
    /** True if the state belongs to the order. */
    bool isCurrent() const;

    HostId m_self;
    ServiceId m_service;
    std::optional<RolloutOrder> m_order;
    std::optional<RolloutState> m_state;
    MonotonicTime m_orderedAt; ///< earliest time at which the order may have been written
    MonotonicTime m_appliedAt;
    VersionShare m_share;
    RolloutCounter m_counter;
    std::optional<RolloutNotice> m_notice;
    std::map<std::string, MonotonicTime> m_newVersions; ///< end of the time for each
    VersionSplit m_split;
    bool m_isSplitValid = false;
    bool m_isSplitStale = false;
};

} // namespace greengagestair
