#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <functional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace greengagestair {

/** A part of a request that waits until it can be sent to a server of its service. */
struct WaitingPart
{
    int tenantRank = 0;      ///< rank of the request's tenant; 0 is the most urgent
    int urgencyRank = 0;     ///< rank of the request's route; 0 is the most urgent
    std::size_t lacking = 0; ///< parts that the request still needed for an answer when it queued
    MonotonicTime deadline;
    ExchangeId exchange;
    std::size_t part = 0; ///< index of the part within the request

    /**
     * Order in which parts are served: urgent requests first, then those that lack the fewest
     * parts, since a repeat spent on them completes an answer. Requests that already have enough
     * parts come last within their rank.
     */
    auto order() const
    {
        return std::tuple(tenantRank, urgencyRank, lacking == 0, lacking, deadline, exchange, part);
    }
    bool operator<(const WaitingPart &other) const { return order() < other.order(); }
};

/**
 * The parts that wait for a server's capacity, for a permit of a server with a request limit, for
 * the limit on repeats, or for the end of a pause after a refusal, by service. RequestDispatcher
 * serves a queue when a reason to wait may have ended.
 */
class PartWaitQueue
{
public:
    /** Tries to send a part; returns false if it has to wait on. */
    using TrySend = std::function<bool(const WaitingPart &)>;

    /** Adds a part to the queue of its service. */
    void add(const ServiceId &service, const WaitingPart &part);
    /** Removes a part that is not waited for any more; does nothing if it is not queued. */
    void remove(const ServiceId &service, const WaitingPart &part);
    /**
     * Calls `trySend` for the parts of one service in their order and removes those for which it
     * returns true. Ends after a few parts that have to wait on, since what keeps one part of a
     * service waiting mostly keeps all others waiting, too.
     */
    void serve(const ServiceId &service, const TrySend &trySend);
    /** Calls serve() for each service with waiting parts. */
    void serveAll(const TrySend &trySend);

    /** Number of waiting parts of all services. */
    std::size_t size() const { return m_size; }
    /** True if no part waits. */
    bool isEmpty() const { return m_size == 0; }

private:
    void serve(std::set<WaitingPart> &queue, const TrySend &trySend);

    std::unordered_map<ServiceId, std::set<WaitingPart>> m_queues;
    std::size_t m_size = 0;
};

} // namespace greengagestair
