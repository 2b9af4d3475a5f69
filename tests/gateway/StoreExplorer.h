#pragma once

#include "gateway/StoreRoleElection.h"
#include "gateway/StoreWatcher.h"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace greengagestair {

using namespace std::chrono_literals;

/**
 * Runs the real watchers of two or three hosts through all orders of steps up to a depth: changes
 * of the store, its return from an older copy, dropped history, answers now and late, frames that
 * arrive or are lost, restarts, and time. States that were reached before are not continued.
 */
class StoreExplorer
{
public:
    struct Result
    {
        std::size_t states = 0;
        std::string violation; ///< the first broken promise with its steps; empty if there is none
    };

    StoreExplorer(std::size_t hosts, std::size_t depth);
    /** Explores; stops at the first violation. */
    Result run();

private:
    enum class StepKind {
        Wait,        ///< time passes, and due calls begin
        Change,      ///< an entry is written or removed
        KeepCopy,    ///< the store keeps a copy
        GoBack,      ///< the store comes back from the copy
        DropHistory, ///< the store forgets the changes so far
        Compute,     ///< the store computes the answer to a host's call, which stays on its way
        Answer,      ///< a host gets the answer to its call
        Fail,        ///< a host's call gets no answer
        Frame,       ///< a host gets the oldest frame that is on its way
        LoseFrame,   ///< that frame is lost
        Restart,     ///< a host's process starts again
        Snapshot,    ///< a host that knows nothing gets another host's snapshot
    };
    struct Step
    {
        StepKind kind;
        std::size_t host = 0;
    };
    class World;

    std::vector<Step> steps() const;
    static std::string describe(const std::vector<Step> &path);
    /** Plays a path from the start; returns the digest of the state, or the broken promise. */
    std::optional<std::string> play(const std::vector<Step> &path, std::string &violation) const;

    std::size_t m_hosts;
    std::size_t m_depth;
};

} // namespace greengagestair
