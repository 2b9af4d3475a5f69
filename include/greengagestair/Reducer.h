#pragma once

#include "greengagestair/Effect.h"
#include "greengagestair/Event.h"
#include "greengagestair/Types.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace greengagestair {

/**
 * Mechanisms that guarantee the promised behaviour (numbered R1 to R10). Tests switch off one
 * mechanism to show that the check of its guarantee then fails. In the shipped program all are on,
 * and no setting changes them.
 */
struct MechanismSwitches
{
    bool snapshotPinning = true;    ///< R1: all parts of an answer come from one index version
    bool coverageAccounting = true; ///< R2: an answer with missing ranges is labelled partial
    bool coldRamp = true;           ///< R3: limits for cold backend servers
    bool ownershipGrants = true; ///< R3: one owner at a time sends to a server and keeps its limits
    bool failureDomainState = true; ///< R4: no new work for failure domains out of service
    bool answerMatching = true;     ///< R5: an answer reaches only the request that it belongs to
    bool refusalProof = true;       ///< R6: "not run" is reported only with proof
    bool ledgerClaims = true;       ///< R7: a non-repeatable request is executed at most once
    bool drainState = true;         ///< R8: no new work for servers that drain or leave
    bool stopDraining = true;       ///< R9: a planned stop completes the accepted queries
    bool versionOrder = true;       ///< R10: a document in force is never replaced by an older one
    bool quarantine = true;         ///< refusal of requests that crash backend servers
};

/** Settings and identity of a process, fixed at its start. */
struct ReducerOptions
{
    HostId host;
    Incarnation incarnation;
    FailureDomainId failureDomain;
    Endpoint peerEndpoint;        ///< endpoint on which this host accepts peer connections
    std::vector<Endpoint> seeds;  ///< peers of any failure domain to contact first
    std::uint64_t randomSeed = 0; ///< seed of all random choices of the reducer
    Duration stopTimeout = std::chrono::seconds(10); ///< longest duration of a planned stop
    MechanismSwitches mechanisms;
};

/** Name and value of one metric: a running total or a current size. */
struct Counter
{
    std::string name; ///< Prometheus style, e.g. `hedges_total`
    std::uint64_t value = 0;
};

/**
 * State machine that holds all policy of one entry host. The process feeds it events one by one and
 * carries out the effects that it returns; the reducer itself does no I/O and reads no clock.
 * It is deterministic: the same options and events give the same effects. It is not thread-safe.
 * A violated invariant aborts the process.
 */
class Reducer
{
public:
    explicit Reducer(const ReducerOptions &options);
    ~Reducer();
    Reducer(const Reducer &) = delete;
    Reducer &operator=(const Reducer &) = delete;

    /** Applies one event and returns its effects. `instant` must not be before that of the previous
     * event. */
    Effects handle(const Instant &instant, const Event &event);

    /** Latest time at which the process must deliver a Tick if no other event arrives before. */
    MonotonicTime nextWakeUp() const;

    /** Whether the host serves callers: its documents are ready and no stop was requested. */
    bool isReady() const;

    /** All counters of this process; totals count from its start. */
    std::vector<Counter> counters() const;

    /** Returns the whole state as JSON text, for operators. */
    std::string dumpState(const Instant &instant) const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace greengagestair
