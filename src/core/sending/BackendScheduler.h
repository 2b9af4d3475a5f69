#pragma once

#include "core/Interfaces.h"
#include "core/StepContext.h"
#include "core/sending/PartQueue.h"
#include "core/sending/ServerLimiter.h"
#include "core/sending/SignatureTrials.h"
#include "greengagestair/Event.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace greengagestair {

/**
 * Implements the owner role: queues the parts for the backend servers that this host owns and
 * decides when each part is sent. Reducer passes it the parts of all entry hosts. Only the owner
 * sends to a server, so the limits enforced here hold for the whole fleet (docs/design.md,
 * sections 4 and 6).
 */
class BackendScheduler
{
public:
    /** A server that answered that it is draining gets no new parts for this long. */
    static constexpr Duration kDrainingBackoff = std::chrono::seconds(30);
    /** No part is sent for this long after a failed connection, so that an unreachable server costs
     * only one attempt per interval. */
    static constexpr Duration kUnreachableBackoff = std::chrono::milliseconds(250);
    /** The slot of a timed-out request is released this long after the timeout: the server stops
     * the work at its own deadline, which is later than the timeout on this host by up to the
     * network latency between them. */
    static constexpr Duration kSlotReleaseDelay = std::chrono::milliseconds(10);

    BackendScheduler(const ReducerOptions &options, DocumentView &documents,
                     OwnershipView &ownership, PartRouter &router,
                     SignatureAdmission &signatureAdmission, IdentifierSource &identifiers);

    /**
     * Sends, queues or refuses a part of a query that arrived at `entryHost`. The answer is sent to
     * that host when the part ends.
     */
    void submit(StepContext &context, const HostId &entryHost, PartRequest request);
    /** Cancels a part: one that is in flight is cancelled at the backend server, and one that waits
     * is answered as not sent. An unknown part is ignored. */
    void cancel(StepContext &context, const HostId &entryHost, PartId part);
    /** Handles the end of a request: answers the entry host and starts further parts. */
    void onBackendFinished(StepContext &context, const BackendFinished &finished);
    /** Refuses expired parts and starts parts that can now be sent. */
    void onTick(StepContext &context);
    /** The time at which onTick() must next be called; kNever if nothing waits. */
    MonotonicTime nextWakeUp() const;
    /** Refuses new parts from now on. Queued parts still run, so that a planned stop loses none. */
    void requestStop() { m_stopping = true; }

    /** True if no part waits in a queue and none is in progress on a server. */
    bool idle() const;
    /** Whether no request is in flight on any backend server. */
    bool nothingInFlight() const { return m_sends.empty(); }
    /** The current state of each server for diagnostics. */
    boost::json::object dump(MonotonicTime now) const;

private:
    /** A request that is in flight on a backend server. */
    struct Send
    {
        ServerId server;
        HostId entryHost;
        PartRequest request;
        MonotonicTime startedAt;
        bool cancelled = false;
        bool lossReported = false; ///< the loss of its server was already reported
    };

    /** A backend server with its queue and the requests in flight on it. */
    struct Server
    {
        explicit Server(const ServerLimiter &serverLimiter)
            : limiter(serverLimiter)
        {
        }

        /** Age of the oldest request in flight; zero if there is none. */
        Duration oldestInFlight(MonotonicTime now) const;
        std::size_t busySlots() const { return inFlight.size() + heldSlots.size(); }

        ServerLimiter limiter;
        PartQueue queue;
        std::set<std::pair<MonotonicTime, SendId>> inFlight; ///< ordered by start time
        std::vector<MonotonicTime> heldSlots; ///< release times of the slots of timed-out requests
        std::optional<SendId> isolated; ///< part in flight that must be the only one on the server
        /** Start of the ownership for which the limiter was reset. */
        std::optional<MonotonicTime> ownedSince;
        MonotonicTime drainingUntil = MonotonicTime::min();
        MonotonicTime unreachableUntil = MonotonicTime::min();
        bool loggedWarm = false; ///< whether the last logged state of the server was warm
        bool inService = true;
    };

    Server *findOrCreateServer(StepContext &context, const ServerId &name);
    void submitPart(StepContext &context, QueuedPart part);
    void updateOwnershipStart(StepContext &context, const ServerId &name, Server &server);
    bool waitsForFormerOwner(const ServerId &name, MonotonicTime now) const;
    PartReason refusalReason(MonotonicTime now, const ServerId &name, const Server &server) const;
    Duration expectedWait(const Server &server, MonotonicTime now, std::size_t partsAhead) const;
    void enqueue(StepContext &context, Server &server, QueuedPart part);
    void startParts(StepContext &context, const ServerId &name, Server &server);
    bool mayStartNext(const Server &server, MonotonicTime now) const;
    void start(StepContext &context, const ServerId &name, Server &server, QueuedPart part);
    void refuse(StepContext &context, const QueuedPart &part, PartReason reason);
    void endTrial(StepContext &context, const PartRequest &request, const HostId &entryHost,
                  bool answered);
    Send removeSend(SendId id, Server &server);
    void updateServerState(StepContext &context, const ServerId &name, Server &server,
                           const Send &send, BackendStatus status);
    void markCold(StepContext &context, const ServerId &name, Server &server);
    void reportServerLoss(StepContext &context, const ServerId &name, Server &server, Send &send);
    PartAnswer makeAnswer(const Send &send, const BackendFinished &finished) const;
    void checkServer(StepContext &context, const ServerId &name, Server &server);
    void resetReturnedServers(StepContext &context);
    void logWarmChange(StepContext &context, const ServerId &name, Server &server);

    const ReducerOptions &m_options;
    DocumentView &m_documents;
    OwnershipView &m_ownership;
    PartRouter &m_router;
    SignatureAdmission &m_signatureAdmission;
    IdentifierSource &m_identifiers;
    std::map<ServerId, Server> m_servers; ///< ordered, so that effects are deterministic
    std::unordered_map<SendId, Send> m_sends;
    std::map<std::pair<HostId, PartId>, SendId> m_sendsByPart;
    SignatureTrials m_trials;
    MonotonicTime m_nextCheck = MonotonicTime::min();
    Revision m_checkedConfiguration; ///< configuration version of the last check
    Revision m_checkedHostList;      ///< host list version of the last check
    bool m_stopping = false;
};

} // namespace greengagestair
