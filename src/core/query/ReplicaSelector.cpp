#include "core/query/ReplicaSelector.h"

#include <algorithm>
#include <tuple>

namespace greengagestair {

static constexpr Duration kAvoidTime = std::chrono::milliseconds(250);
/** Bounds the time for which a server is still avoided after it has recovered. */
static constexpr int kMaxAvoidDoublings = 3;
static constexpr int kMaxSlowDoublings = 9;
static constexpr Duration kMaxSlowPenalty = std::chrono::seconds(5);

ReplicaSelector::ReplicaSelector(FailureDomainId ownDomain)
    : m_ownDomain(std::move(ownDomain))
{
}

void ReplicaSelector::attemptStarted(const ServerId &server)
{
    ++m_servers[server].inFlight;
}

void ReplicaSelector::attemptAnswered(const ServerId &server, Duration expectedWait,
                                      MonotonicTime now)
{
    ServerState &state = m_servers[server];
    state.inFlight = std::max(0, state.inFlight - 1);
    state.consecutiveFailures = 0;
    state.hedgeDelaysPassed = 0;
    state.avoidUntil = MonotonicTime();
    state.expectedIdleAt = now + expectedWait;
}

void ReplicaSelector::attemptEndedWithoutLoadReport(const ServerId &server)
{
    ServerState &state = m_servers[server];
    state.inFlight = std::max(0, state.inFlight - 1);
}

void ReplicaSelector::avoid(const ServerId &server, MonotonicTime now, std::mt19937_64 &random)
{
    ServerState &state = m_servers[server];
    const Duration base =
            kAvoidTime * (1 << std::min(state.consecutiveFailures, kMaxAvoidDoublings));
    std::uniform_int_distribution<Duration::rep> jitter(0, base.count());
    state.avoidUntil = now + base + Duration(jitter(random));
    ++state.consecutiveFailures;
}

void ReplicaSelector::markSlow(const ServerId &server, Duration hedgeDelay, MonotonicTime now)
{
    ServerState &state = m_servers[server];
    const Duration penalty =
            hedgeDelay * (1 << std::min(state.hedgeDelaysPassed, kMaxSlowDoublings));
    state.expectedIdleAt = std::max(state.expectedIdleAt, now + std::min(penalty, kMaxSlowPenalty));
    ++state.hedgeDelaysPassed;
}

bool ReplicaSelector::isAvoided(const ServerId &server, MonotonicTime now) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && found->second.avoidUntil > now;
}

const BackendServer *ReplicaSelector::select(const std::vector<const BackendServer *> &candidates,
                                             const Service &service, Duration partTime,
                                             MonotonicTime now, std::mt19937_64 &random) const
{
    // Rounds expected waits down to multiples of half a part time. Smaller differences are not
    // significant, because the reported waits are older than half a part time.
    const Duration quantum = std::max(partTime / 2, Duration(1));
    using Score = std::tuple<MonotonicTime, Duration::rep, bool, std::uint64_t>;
    const BackendServer *best = nullptr;
    Score bestScore;
    for (const BackendServer *candidate : candidates) {
        MonotonicTime avoidUntil;
        Duration::rep wait = 0;
        const auto found = m_servers.find(candidate->name);
        if (found != m_servers.end()) {
            if (found->second.avoidUntil > now)
                avoidUntil = found->second.avoidUntil;
            wait = expectedWait(found->second, service, partTime, now) / quantum;
        }
        const bool otherDomain = candidate->failureDomain != m_ownDomain;
        const Score score { avoidUntil, wait, otherDomain, random() };
        if (best == nullptr || score < bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return best;
}

void ReplicaSelector::removeIdle(MonotonicTime now)
{
    std::erase_if(m_servers, [&](const auto &server) {
        const ServerState &state = server.second;
        return state.inFlight == 0 && state.avoidUntil <= now && state.expectedIdleAt <= now;
    });
}

std::size_t ReplicaSelector::inFlight(const ServerId &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : static_cast<std::size_t>(found->second.inFlight);
}

std::size_t ReplicaSelector::avoidedServers(MonotonicTime now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_servers.begin(), m_servers.end(),
                          [&](const auto &server) { return server.second.avoidUntil > now; }));
}

Duration ReplicaSelector::expectedWait(const ServerState &state, const Service &service,
                                       Duration partTime, MonotonicTime now) const
{
    const Duration reported = std::max(state.expectedIdleAt - now, Duration::zero());
    const int excess = std::max(0, state.inFlight + 1 - service.slots);
    return reported + partTime * excess / std::max(1, service.slots);
}

} // namespace greengagestair
