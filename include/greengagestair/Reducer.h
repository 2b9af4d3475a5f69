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
 * Mechanisms that tests switch off to show that the check of the promise behind each fails without
 * it. All are on in the shipped program; no setting changes them.
 */
struct MechanismSwitches
{
    bool snapshotPinning = true;    ///< R1
    bool coverageAccounting = true; ///< R2
    bool coldRamp = true;           ///< R3
    bool ownershipGrants = true;    ///< R3, server limits
    bool failureDomainState = true; ///< R4
    bool answerMatching = true;     ///< R5
    bool refusalProof = true;       ///< R6
    bool ledgerClaims = true;       ///< R7
    bool drainState = true;         ///< R8
    bool stopDraining = true;       ///< R9
    bool versionOrder = true;       ///< R10
    bool quarantine = true;         ///< crashing requests
};

/** What a process knows at its start. */
struct ReducerOptions
{
    HostId host;
    Incarnation incarnation;
    FailureDomainId failureDomain;
    Endpoint peerEndpoint;       ///< where this host accepts peers
    std::vector<Endpoint> seeds; ///< peers to ask at the start, of any failure domain
    std::uint64_t randomSeed = 0;
    Duration stopTimeout =
            std::chrono::seconds(10); ///< a planned stop ends after this at the latest
    MechanismSwitches mechanisms;
};

/** Counters and current sizes of one process, by name. */
struct Counter
{
    std::string name; ///< in the style of Prometheus, e.g. `hedges_total`
    std::uint64_t value = 0;
};

/**
 * All policy of one entry host. Deterministic: the same options and events give the same effects.
 * Not thread-safe; asserts its invariants after each event.
 */
class Reducer
{
public:
    explicit Reducer(const ReducerOptions &options);
    ~Reducer();
    Reducer(const Reducer &) = delete;
    Reducer &operator=(const Reducer &) = delete;

    /** Applies one event; times must not decrease. */
    Effects handle(const Instant &instant, const Event &event);

    /** When a Tick is wanted at the latest. */
    MonotonicTime nextWakeUp() const;

    /** Whether callers are served: a configuration is in force and no stop was requested. */
    bool isReady() const;

    /** Counters since the start. */
    std::vector<Counter> counters() const;

    /** The whole state as JSON text, for operators. */
    std::string dumpState(const Instant &instant) const;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace greengagestair
