#pragma once

#include "gateway/RegistryStore.h"
#include "greengagestair/Types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Elects, for each key, the entry host that issues permits, by rendezvous hashing over the list of
 * live hosts. A host that takes over waits for a short time, until the former issuer's permits have
 * expired and all hosts have read the new list.
 */
class IssuerElection
{
public:
    /** Time between a change of the list and the first permit of a new issuer. */
    static constexpr Duration kTakeoverTime = std::chrono::seconds(2);

    explicit IssuerElection(HostId self);

    /** Replaces the list of live hosts. */
    void setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts, MonotonicTime now);
    /** The list of live hosts; empty before the first one was set. */
    const std::vector<HostEntry> &hosts() const { return *m_hosts; }
    /** The entry of a host; null if it is not listed. */
    const HostEntry *find(const HostId &host) const;
    const HostId &self() const { return m_self; }

    /** The host that issues permits for the key; null if no host is listed. */
    const HostEntry *issuerOf(const std::string &key) const;
    /** The host that is second in the key's ranking; null if fewer than two hosts are listed. */
    const HostEntry *standbyOf(const std::string &key) const;
    /** Time from which this host, being the issuer of the key, may issue permits. */
    std::optional<MonotonicTime> issuesFrom(const std::string &key) const;

    /** Since when the list includes this host; nullopt if it does not. */
    std::optional<MonotonicTime> listedSince() const { return m_listedSince; }
    /** True if this host read a list without itself before the current ones, which include it. */
    bool hasJoined() const { return m_hasJoined; }
    /**
     * Time at which departures of other hosts raised this host to the first two of the key's
     * ranking; nullopt if that was not in the last kDepartedTime.
     */
    std::optional<MonotonicTime> raisedAt(const std::string &key) const;

private:
    /** Departures are remembered for this time, which exceeds the windows of all joint limits. */
    static constexpr Duration kDepartedTime = std::chrono::seconds(15);
    static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

    struct DepartedHost
    {
        HostId host;
        MonotonicTime at;
    };
    struct Ranking
    {
        std::size_t first = kNone;
        std::size_t second = kNone;
    };

    /** Records which hosts of the current list are missing from a new one. */
    void addDeparted(const std::vector<HostEntry> &hosts, MonotonicTime now);
    const Ranking &rankingOf(const std::string &key) const;
    const HostEntry *entryAt(std::size_t index) const;

    HostId m_self;
    std::shared_ptr<const std::vector<HostEntry>> m_hosts;
    /** Indices by key; filled when they are needed, cleared with the list. */
    mutable std::unordered_map<std::string, Ranking> m_rankings;
    std::optional<MonotonicTime> m_listedSince;
    bool m_wasAbsent = false;
    bool m_hasJoined = false;
    std::vector<DepartedHost> m_departed; ///< in the order of their departure
};

} // namespace greengagestair
