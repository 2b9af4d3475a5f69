#include "gateway/IssuerElection.h"

#include "core/Hashing.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace greengagestair {

IssuerElection::IssuerElection(HostId self)
    : m_self(std::move(self))
    , m_hosts(std::make_shared<const std::vector<HostEntry>>())
{
}

void IssuerElection::addDeparted(const std::vector<HostEntry> &hosts, MonotonicTime now)
{
    if (m_hosts->empty())
        return;
    // Lists mostly keep their order, so few entries are left after a comparison in step.
    std::vector<const HostEntry *> unmatched;
    auto next = hosts.begin();
    for (const HostEntry &former : *m_hosts) {
        if (next != hosts.end() && next->host == former.host)
            ++next;
        else
            unmatched.push_back(&former);
    }
    std::unordered_set<std::string_view> listed;
    for (; next != hosts.end() && !unmatched.empty(); ++next)
        listed.insert(next->host.value);
    for (const HostEntry *former : unmatched) {
        if (!listed.contains(former->host.value))
            m_departed.push_back({ former->host, now });
    }
}

void IssuerElection::setHosts(std::shared_ptr<const std::vector<HostEntry>> hosts,
                              MonotonicTime now)
{
    std::erase_if(m_departed, [now](const DepartedHost &departed) {
        return departed.at + kDepartedTime < now;
    });
    addDeparted(*hosts, now);
    m_hosts = std::move(hosts);
    m_rankings.clear();
    if (!find(m_self)) {
        m_listedSince.reset();
        m_wasAbsent = true;
    } else if (!m_listedSince) {
        m_listedSince = now;
        m_hasJoined = m_wasAbsent;
    }
}

const HostEntry *IssuerElection::find(const HostId &host) const
{
    const auto found = std::find_if(m_hosts->begin(), m_hosts->end(),
                                    [&host](const HostEntry &entry) { return entry.host == host; });
    return found == m_hosts->end() ? nullptr : &*found;
}

const IssuerElection::Ranking &IssuerElection::rankingOf(const std::string &key) const
{
    const auto [found, isNew] = m_rankings.try_emplace(key);
    Ranking &ranking = found->second;
    if (!isNew)
        return ranking;
    std::uint64_t firstScore = 0;
    std::uint64_t secondScore = 0;
    for (std::size_t index = 0; index < m_hosts->size(); ++index) {
        const std::uint64_t score = rendezvousScore(key, (*m_hosts)[index].host.value);
        if (ranking.first == kNone || score > firstScore) {
            ranking.second = std::exchange(ranking.first, index);
            secondScore = std::exchange(firstScore, score);
        } else if (ranking.second == kNone || score > secondScore) {
            ranking.second = index;
            secondScore = score;
        }
    }
    return ranking;
}

const HostEntry *IssuerElection::entryAt(std::size_t index) const
{
    return index == kNone ? nullptr : &(*m_hosts)[index];
}

const HostEntry *IssuerElection::issuerOf(const std::string &key) const
{
    return entryAt(rankingOf(key).first);
}

const HostEntry *IssuerElection::standbyOf(const std::string &key) const
{
    return entryAt(rankingOf(key).second);
}

std::optional<MonotonicTime> IssuerElection::issuesFrom(const std::string &key) const
{
    const HostEntry *issuer = issuerOf(key);
    if (!issuer || issuer->host != m_self || !m_listedSince)
        return std::nullopt;
    MonotonicTime from = *m_listedSince + kTakeoverTime;
    const std::uint64_t ownScore = rendezvousScore(key, m_self.value);
    for (const DepartedHost &departed : m_departed) {
        if (rendezvousScore(key, departed.host.value) > ownScore)
            from = std::max(from, departed.at + kTakeoverTime);
    }
    return from;
}

std::optional<MonotonicTime> IssuerElection::raisedAt(const std::string &key) const
{
    const HostEntry *issuer = issuerOf(key);
    const std::uint64_t ownScore = rendezvousScore(key, m_self.value);
    std::size_t better = issuer && issuer->host != m_self ? 1 : 0;
    for (auto departed = m_departed.rbegin(); departed != m_departed.rend(); ++departed) {
        if (rendezvousScore(key, departed->host.value) > ownScore && ++better >= 2)
            return departed->at;
    }
    return std::nullopt;
}

} // namespace greengagestair
