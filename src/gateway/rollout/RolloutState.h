#pragma once

#include "greengagestair/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengagestair {

/** An operator's order to move a service's traffic to servers of another software version. */
struct RolloutOrder
{
    ServiceId service;
    std::string targetVersion;
    Duration duration {}; ///< from the order to its deadline
    Revision revision;    ///< of the entry in the store

    bool operator==(const RolloutOrder &) const = default;
};

/** Phase of a roll-out; the last two are final. */
enum class RolloutPhase {
    Holding,   ///< the target version gets no request
    Exposing,  ///< the target version gets a small share of the requests and is judged
    Switching, ///< the target version gets all new requests; the old one finishes its own
    Complete,
    RolledBack
};

/** Name of the phase in the store, in logs and on the state page. */
const char *toText(RolloutPhase phase);

/** Working state of a roll-out, which all hosts follow; kept in the store. */
struct RolloutState
{
    ServiceId service;
    RolloutPhase phase = RolloutPhase::Holding;
    std::uint32_t step = 0; ///< step of the plan while exposing, from 1
    double share = 0;       ///< share of first attempts that go to the target version
    double surgeShare = 0;  ///< share at the begin of the step, for `surge`
    Duration surge {};      ///< each host ends it by itself, so that a lost write cannot extend it
    std::string targetVersion;
    Revision orderRevision;            ///< of the order that the state belongs to
    Duration elapsed {};               ///< from the order to the write of this state
    std::vector<std::string> withheld; ///< earlier target versions that were rolled back
    Revision revision;                 ///< of the entry in the store; 0 before it was written

    bool operator==(const RolloutState &) const = default;
};

/** True if the roll-out has not ended. */
bool isActive(const RolloutState &state);

/** A conditional write of a state together with the status that the platform reads. */
struct RolloutWrite
{
    RolloutState state;        ///< its `revision` is that of the state that it replaces
    Revision expectedOrder {}; ///< revision of the order that was decided from; 0: no order exists
};

} // namespace greengagestair
