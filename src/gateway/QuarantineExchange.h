#pragma once

#include "gateway/GatewayEffect.h"
#include "gateway/RegistryStore.h"
#include "gateway/RequestQuarantine.h"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace greengagestair {

/**
 * Fills the RequestQuarantine of a process that has just started. Hosts report each loss once, so a
 * new process would send requests again that the other hosts block.
 *
 * The process asks a few hosts at a time, in several rounds: a host may not answer or may itself be
 * new, and hosts report losses only to hosts that they have listed. A round prefers hosts that were
 * not asked before. The number of questions does not depend on the number of hosts. Nothing waits
 * for the answers.
 *
 * Gateway passes the time and the list of effects with beginStep().
 */
class QuarantineExchange
{
public:
    /** `quarantine` must outlive the object. */
    QuarantineExchange(HostId self, FailureDomainId ownDomain, RequestQuarantine &quarantine,
                       std::uint64_t randomSeed);

    /** Sets the current time and the list to which effects are appended. */
    void beginStep(MonotonicTime now, GatewayEffects &effects);
    /** Replaces the list of live hosts; the first round begins once it has another host. */
    void setHosts(const std::vector<HostEntry> &hosts);
    /** Answers a host, which may not be listed yet. */
    void onRequest(const HostId &sender, const Endpoint &endpoint, const LossesRequest &request);
    /** Takes over the answer to a question of this process; ignores any other one. */
    void onAnswer(const HostId &sender, const RecordedLosses &recorded);

    /** Asks the next hosts if a round is due. */
    void advance();
    /** Time of the next round; nullopt after the last one. */
    std::optional<MonotonicTime> nextWakeUp() const { return m_nextRoundAt; }
    /** Number of signatures that this host has learnt of in this way. */
    std::uint64_t learntSignatures() const { return m_learntSignatures; }

private:
    /**
     * Asks a random one of the candidates and removes it; prefers those that were not asked before.
     * Returns false if there are none.
     */
    bool askOneOf(std::vector<const HostEntry *> &candidates);

    HostId m_self;
    FailureDomainId m_ownDomain;
    RequestQuarantine &m_quarantine;
    std::mt19937_64 m_random;
    std::vector<HostEntry> m_hosts; ///< the others, while rounds are left
    int m_rounds = 0;               ///< begun so far
    std::optional<MonotonicTime> m_nextRoundAt;
    std::unordered_set<HostId> m_askedHosts;
    std::uint64_t m_lastId; ///< begins at random, so that no answer to an earlier process matches
    std::unordered_map<std::uint64_t, MonotonicTime> m_askedAt; ///< by the id of the question
    std::uint64_t m_learntSignatures = 0;
    MonotonicTime m_now;
    GatewayEffects *m_effects = nullptr;
};

} // namespace greengagestair
