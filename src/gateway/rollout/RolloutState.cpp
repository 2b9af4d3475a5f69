#include "gateway/rollout/RolloutState.h"

namespace greengagestair {

const char *toText(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Holding:
        return "holding";
    case RolloutPhase::Exposing:
        return "exposing";
    case RolloutPhase::Switching:
        return "switching";
    case RolloutPhase::Complete:
        return "complete";
    case RolloutPhase::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

bool isActive(const RolloutState &state)
{
    return state.phase != RolloutPhase::Complete && state.phase != RolloutPhase::RolledBack;
}

} // namespace greengagestair
