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
 * The owner role: decides when a part goes to a backend server that this host owns. It alone sends
 * to that server, so its limits hold for the whole fleet (docs/design.md, sections 4 and 6).
 */
class BackendScheduler
{
public:
    /** A server that said it drains gets nothing for this long. */
    static constexpr Duration kDrainingBackoff = std::chrono::seconds(30);
    /** Pause after a failed connection, so that a dead server costs one attempt per pause. */
    static constexpr Duration kUnreachableBackoff = std::chrono::milliseconds(250);
    /** A server drops timed-out work when its own deadline passes, up to one hop after ours. */
    static constexpr Duration kSlotReleaseDelay = std::chrono::milliseconds(10);

    BackendScheduler(const ReducerOptions &options, DocumentView &documents,
                     OwnershipView &ownership, PartRouter &router, SignatureAdmission &gate,
                     IdentifierSource &identifiers);

    void submit(StepContext &context, const HostId &entryHost, PartRequest request);
    void cancel(StepContext &context, const HostId &entryHost, PartId part);
    void onBackendFinished(StepContext &context, const BackendFinished &finished);
    void onTick(StepContext &context);
    MonotonicTime nextWakeUp() const;
    /** Refuses new parts; queued ones still run, so that a planned stop loses nothing. */
    void requestStop() { m_stopping = true; }

    /** Nothing queued and nothing in flight. */
    bool idle() const;
    /** Nothing in flight on any backend server. */
    bool nothingInFlight() const { return m_sends.empty(); }
    boost::json::object dump(MonotonicTime now) const;

private:
    struct Send
    {
        ServerId server;
        HostId entryHost;
        PartRequest request;
        MonotonicTime startedAt;
        bool cancelled = false;
        bool lossReported = false;
    };

    struct Server
    {
        explicit Server(const ServerLimiter &serverLimiter)
            : limiter(serverLimiter)
        {
        }

        Duration oldestInFlight(MonotonicTime now) const;
        std::size_t busySlots() const { return inFlight.size() + heldSlots.size(); }

        ServerLimiter limiter;
        PartQueue queue;
        std::set<std::pair<MonotonicTime, SendId>> inFlight; ///< by start
        std::vector<MonotonicTime> heldSlots; ///< slots of timed-out requests, until this time
        std::optional<SendId> isolated;
        std::optional<MonotonicTime> tenureSince; ///< ownership that the limiter belongs to
        MonotonicTime drainingUntil = MonotonicTime::min();
        MonotonicTime unreachableUntil = MonotonicTime::min();
        bool loggedWarm = false;
        bool inService = true;
    };

    Server *findOrCreateServer(StepContext &context, const ServerId &name);
    void submitPart(StepContext &context, QueuedPart part);
    void updateTenure(StepContext &context, const ServerId &name, Server &server);
    bool waitsForFormerOwner(const ServerId &name, MonotonicTime now) const;
    PartReason refusalReason(MonotonicTime now, const ServerId &name, const Server &server) const;
    Duration expectedWait(const Server &server, MonotonicTime now, std::size_t ahead) const;
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
    SignatureAdmission &m_gate;
    IdentifierSource &m_identifiers;
    std::map<ServerId, Server> m_servers; ///< ordered, so that effects do not depend on hashing
    std::unordered_map<SendId, Send> m_sends;
    std::map<std::pair<HostId, PartId>, SendId> m_sendsByPart;
    SignatureTrials m_trials;
    MonotonicTime m_nextCheck = MonotonicTime::min();
    Revision m_checkedConfiguration;
    Revision m_checkedHostList;
    bool m_stopping = false;
};

} // namespace greengagestair
