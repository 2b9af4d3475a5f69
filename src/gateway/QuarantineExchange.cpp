#include "gateway/QuarantineExchange.h"

#include <algorithm>
#include <string>
#include <utility>

namespace greengagestair {

static constexpr int kRounds = 3;
/** The last round has to begin after the other hosts have listed this one. */
static constexpr Duration kRoundInterval = std::chrono::seconds(1);
/** Hosts that are asked in a round, in the own failure domain and in all others together. */
static constexpr int kOwnDomainHostsPerRound = 2;
static constexpr int kOtherHostsPerRound = 1;

QuarantineExchange::QuarantineExchange(HostId self, FailureDomainId ownDomain,
                                       RequestQuarantine &quarantine, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_ownDomain(std::move(ownDomain))
    , m_quarantine(quarantine)
    , m_random(randomSeed)
    , m_lastId(m_random())
{
}

void QuarantineExchange::beginStep(MonotonicTime now, GatewayEffects &effects)
{
    m_now = now;
    m_effects = &effects;
}

void QuarantineExchange::setHosts(const std::vector<HostEntry> &hosts)
{
    if (m_rounds == kRounds)
        return;
    m_hosts = hosts;
    std::erase_if(m_hosts, [this](const HostEntry &host) { return host.host == m_self; });
    if (m_rounds > 0 || m_hosts.empty())
        return;
    m_nextRoundAt = m_now;
    advance();
}

bool QuarantineExchange::askOneOf(std::vector<const HostEntry *> &candidates)
{
    if (candidates.empty())
        return false;
    const auto firstAsked =
            std::partition(candidates.begin(), candidates.end(), [this](const HostEntry *host) {
                return !m_askedHosts.contains(host->host);
            });
    const auto choices = firstAsked != candidates.begin() ? firstAsked : candidates.end();
    const auto count = static_cast<std::uint64_t>(choices - candidates.begin());
    const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(m_random() % count);
    const HostEntry &host = **chosen;
    m_askedHosts.insert(host.host);
    m_askedAt.emplace(++m_lastId, m_now);
    m_effects->push_back(SendToHost { host.host, host.peer, LossesRequest { m_lastId } });
    candidates.erase(chosen);
    return true;
}

void QuarantineExchange::advance()
{
    if (!m_nextRoundAt || m_now < *m_nextRoundAt)
        return;
    std::vector<const HostEntry *> ownDomain;
    std::vector<const HostEntry *> others;
    for (const HostEntry &host : m_hosts)
        (host.failureDomain == m_ownDomain ? ownDomain : others).push_back(&host);
    int missing = 0;
    for (int i = 0; i < kOwnDomainHostsPerRound; ++i)
        missing += askOneOf(ownDomain) ? 0 : 1;
    for (int i = 0; i < kOtherHostsPerRound + missing; ++i)
        askOneOf(others);
    if (++m_rounds < kRounds) {
        m_nextRoundAt = m_now + kRoundInterval;
        return;
    }
    m_nextRoundAt.reset();
    m_hosts = {};
}

void QuarantineExchange::onRequest(const HostId &sender, const Endpoint &endpoint,
                                   const LossesRequest &request)
{
    RecordedLosses answer { request.id, m_quarantine.recentLosses(m_self, m_now) };
    m_effects->push_back(SendToHost { sender, endpoint, std::move(answer) });
}

void QuarantineExchange::onAnswer(const HostId &sender, const RecordedLosses &recorded)
{
    const auto asked = m_askedAt.find(recorded.id);
    if (asked == m_askedAt.end())
        return;
    const std::size_t added = m_quarantine.merge(recorded.losses, asked->second, m_now);
    m_learntSignatures += added;
    if (added > 0)
        m_effects->push_back(LogRecord {
                LogPriority::State,
                "lossesLearnt",
                { { "from", sender.value }, { "signatures", std::to_string(added) } } });
}

} // namespace greengagestair
