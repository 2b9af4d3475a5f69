#pragma once

#include "greengagestair/Messages.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace greengagestair {

/**
 * What one process of a backend server has said of itself, as far as this host knows from the
 * responses to its own attempts and, for the limit, from other hosts. It ends with the process: an
 * address that another server takes over starts with nothing.
 */
class ServerNeeds
{
public:
    /** How a statement changes what was known of the limit. */
    enum class Change {
        None,
        LimitNamed, ///< a limit, or another one than before
        LimitEnded
    };

    /**
     * Takes over the limit that a response names, nullopt if it names none; `startedAt` is the
     * start of the attempt.
     */
    Change addNamedLimit(std::optional<double> limit, MonotonicTime startedAt, MonotonicTime now);
    /** Takes over what another host knows, if its response is newer than the last one here. */
    Change addReportedLimit(const LimitStatement &statement, MonotonicTime now);

    /**
     * Takes over that the server is leaving; returns true if that is new. It stays so until
     * cancelLeaving(), since a server that leaves gets no requests that could show otherwise.
     */
    bool addLeaving() { return !std::exchange(m_isLeaving, true); }
    /** The server has registered as ready again after it was draining. */
    void cancelLeaving() { m_isLeaving = false; }
    /** True if the server has said that it is shutting down. */
    bool isLeaving() const { return m_isLeaving; }

    /** Takes over that the server wants nothing from this host until `time`. */
    void addPause(MonotonicTime time) { m_pausedUntil = std::max(m_pausedUntil, time); }
    /** The server wants nothing from this host before this time. */
    MonotonicTime pausedUntil() const { return m_pausedUntil; }

    /** Requests per second that the server takes from all entry hosts together. */
    const std::optional<double> &requestLimit() const { return m_requestLimit; }
    /** The limit as it is told to other hosts. */
    LimitStatement limitStatement(MonotonicTime now) const;

private:
    Change setLimit(std::optional<double> limit, MonotonicTime statedAt);

    bool m_isLeaving = false;
    MonotonicTime m_pausedUntil;
    std::optional<double> m_requestLimit;
    std::optional<MonotonicTime> m_limitStatedAt; ///< last response that named it or left it out
};

} // namespace greengagestair
