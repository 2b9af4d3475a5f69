#include "greengagestair/Reducer.h"

#include "core/Assert.h"
#include "core/documents/DocumentStore.h"
#include "core/documents/PlatformCallTracker.h"
#include "core/ledger/RequestLedger.h"
#include "core/membership/Membership.h"
#include "core/quarantine/Quarantine.h"
#include "core/query/AdmissionControl.h"
#include "core/query/QueryEngine.h"
#include "core/sending/BackendScheduler.h"

#include <boost/json.hpp>

#include <algorithm>
#include <deque>

namespace greengagestair {

/** In a stop, the last answers are given this long before its end, so that they are sent. */
static constexpr Duration kLastAnswerMargin = std::chrono::milliseconds(100);

namespace {

/** A message between the entry role and the owner role of the same process. */
struct LocalMessage
{
    std::variant<PartRequest, PartCancel, PartAnswer> message;
};

} // namespace

/**
 * Owns the modules and routes events and messages to them. All policy is in the modules, except for
 * the order of the steps of a planned stop.
 */
/** True if `Type` is one of the others. */
template <typename Type, typename... Others>
concept IsOneOf = (std::is_same_v<Type, Others> || ...);

class Reducer::State : public PartRouter
{
public:
    explicit State(const ReducerOptions &options);

    Effects handle(const Instant &instant, const Event &event);
    MonotonicTime nextWakeUp() const;
    bool isReady() const { return m_documents.isReady() && !m_stopping; }
    std::vector<Counter> counters() const { return m_counters.all(); }
    std::string dumpState(const Instant &instant) const;

    void sendPart(StepContext &context, const Member &owner, PartRequest request) override;
    void cancelPart(StepContext &context, const Member &owner, PartId part) override;
    void answerPart(StepContext &context, const HostId &entryHost, PartAnswer answer) override;

private:
    struct Peer
    {
        Endpoint endpoint;
        Incarnation incarnation;
    };

    void dispatch(StepContext &context, const CallerRequest &event);
    void dispatch(StepContext &context, const OutcomeQuery &event);
    void dispatch(StepContext &context, const CallerGone &event);
    void dispatch(StepContext &context, const PeerReceived &event);
    void dispatch(StepContext &context, const PeerLost &event);
    void dispatch(StepContext &context, const BackendFinished &event);
    void dispatch(StepContext &context, const PlatformFinished &event);
    void dispatch(StepContext &context, const Tick &event);
    void dispatch(StepContext &context, const StopRequested &event);

    void receive(StepContext &context, const PeerEnvelope &envelope, const Heartbeat &message);
    void receive(StepContext &context, const PeerEnvelope &envelope, const HeartbeatAck &message);
    void receive(StepContext &context, const PeerEnvelope &envelope, const JoinRequest &message);
    void receive(StepContext &context, const PeerEnvelope &envelope,
                 const DocumentRequest &message);
    void receive(StepContext &context, const PeerEnvelope &envelope, const DocumentPush &message);
    void receive(StepContext &context, const PeerEnvelope &envelope, const PartRequest &message);
    void receive(StepContext &context, const PeerEnvelope &envelope, const PartCancel &message);
    void receive(StepContext &context, const PeerEnvelope &envelope, const PartAnswer &message);
    void receive(StepContext &context, const PeerEnvelope &envelope, const SignatureLoss &message);
    /** Ignored: only gateways use changes of the store, entry hosts use documents. */
    void receive(StepContext & /*context*/, const PeerEnvelope & /*envelope*/,
                 const StoreChanges & /*message*/)
    {
    }
    /** Ignored: entry hosts detect unreachable failure domains by heartbeats. */
    void receive(StepContext & /*context*/, const PeerEnvelope & /*envelope*/,
                 const UnreachableDomain & /*message*/)
    {
    }
    /** Ignored: the servers of entry hosts name no request limits. */
    void receive(StepContext & /*context*/, const PeerEnvelope & /*envelope*/,
                 const PermitRequest & /*message*/)
    {
    }
    void receive(StepContext & /*context*/, const PeerEnvelope & /*envelope*/,
                 const PermitGrant & /*message*/)
    {
    }
    /**
     * Ignored: only gateways have tenants, roll-outs and shared observations, and entry hosts keep
     * the signatures of lost servers in a document of the platform.
     */
    template <typename Message>
    requires IsOneOf<Message, QuotaRequest, QuotaGrant, RolloutReport, RolloutNotice,
                     ServerObservations, LossesRequest, RecordedLosses>
    void receive(StepContext & /*context*/, const PeerEnvelope & /*envelope*/,
                 const Message & /*message*/)
    {
    }

    void deliverLocalMessages(StepContext &context);
    void tickModules(StepContext &context);
    void finishStopIfComplete(StepContext &context);
    void logReadiness(StepContext &context);

    ReducerOptions m_options;
    CounterSet m_counters;
    std::mt19937_64 m_random;
    IdentifierSource m_identifiers;
    PlatformCallTracker m_platform;
    DocumentStore m_documents;
    Membership m_membership;
    Quarantine m_quarantine;
    AdmissionControl m_admission;
    RequestLedger m_ledger;
    QueryEngine m_queryEngine;
    BackendScheduler m_scheduler;
    std::deque<LocalMessage> m_localMessages;
    std::unordered_map<HostId, Peer> m_peers; ///< hosts from which messages were received
    MonotonicTime m_lastEvent = MonotonicTime::min();
    MonotonicTime m_stopDeadline = kNever;
    bool m_stopping = false;
    bool m_released = false;
    bool m_finished = false;
    bool m_loggedReady = false;
};

Reducer::State::State(const ReducerOptions &options)
    : m_options(options)
    , m_random(options.randomSeed)
    , m_platform(m_identifiers)
    , m_documents(m_options, m_platform)
    , m_membership(m_options, m_documents, m_documents)
    , m_quarantine(m_options, m_documents, m_documents)
    , m_admission(m_options, m_documents)
    , m_ledger(m_options, m_platform)
    , m_queryEngine(m_options, m_documents, m_membership, *this, m_ledger, m_admission,
                    m_quarantine, m_identifiers)
    , m_scheduler(m_options, m_documents, m_membership, *this, m_quarantine, m_identifiers)
{
}

Effects Reducer::State::handle(const Instant &instant, const Event &event)
{
    GREENGAGESTAIR_ASSERT(instant.now >= m_lastEvent);
    m_lastEvent = instant.now;
    Effects effects;
    StepContext context { instant, effects, m_counters, m_random };
    // Expired grants and deadlines are processed before the event, because the process may have
    // been paused.
    tickModules(context);
    std::visit([&](const auto &alternative) { dispatch(context, alternative); }, event);
    deliverLocalMessages(context);
    tickModules(context);
    deliverLocalMessages(context);
    logReadiness(context);
    finishStopIfComplete(context);
    return effects;
}

void Reducer::State::dispatch(StepContext &context, const CallerRequest &event)
{
    m_queryEngine.onCallerRequest(context, event);
}

void Reducer::State::dispatch(StepContext &context, const OutcomeQuery &event)
{
    m_queryEngine.onOutcomeQuery(context, event);
}

void Reducer::State::dispatch(StepContext &context, const CallerGone &event)
{
    m_queryEngine.onCallerGone(context, event);
}

void Reducer::State::dispatch(StepContext &context, const PeerReceived &event)
{
    const PeerEnvelope &envelope = event.envelope;
    Peer &peer = m_peers[envelope.sender];
    if (envelope.incarnation < peer.incarnation) {
        m_counters.add("peer_messages_of_former_incarnations_total");
        return;
    }
    peer.incarnation = envelope.incarnation;
    peer.endpoint = envelope.endpoint;
    std::visit([&](const auto &message) { receive(context, envelope, message); }, envelope.message);
}

void Reducer::State::dispatch(StepContext &context, const PeerLost &event)
{
    m_membership.onPeerLost(context, event.host);
    m_queryEngine.onPeerLost(context, event.host);
}

void Reducer::State::dispatch(StepContext &context, const BackendFinished &event)
{
    m_scheduler.onBackendFinished(context, event);
}

void Reducer::State::dispatch(StepContext &context, const PlatformFinished &event)
{
    m_platform.deliver(context, event);
}

void Reducer::State::dispatch(StepContext &, const Tick &) { }

void Reducer::State::dispatch(StepContext &context, const StopRequested &)
{
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopDeadline = context.now() + m_options.stopTimeout;
    m_queryEngine.requestStop(m_stopDeadline - kLastAnswerMargin);
    m_scheduler.requestStop();
    m_documents.requestStop();
    m_membership.requestStop(context);
    context.emit(LogStateChange { StateChangeKind::Stopping, m_options.host.value });
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const Heartbeat &message)
{
    m_membership.onHeartbeat(context, envelope, message);
    m_documents.onPeerVersions(context, envelope, message.documents);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const HeartbeatAck &message)
{
    m_membership.onHeartbeatAck(context, envelope, message);
    m_documents.onPeerVersions(context, envelope, message.documents);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const JoinRequest &message)
{
    m_membership.onJoinRequest(context, envelope, message);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const DocumentRequest &message)
{
    m_documents.onRequest(context, envelope, message);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const DocumentPush &message)
{
    m_documents.onPush(context, envelope, message);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const PartRequest &message)
{
    m_scheduler.submit(context, envelope.sender, message);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const PartCancel &message)
{
    m_scheduler.cancel(context, envelope.sender, message.part);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &envelope,
                             const PartAnswer &message)
{
    m_queryEngine.onPartAnswer(context, envelope.sender, message);
}

void Reducer::State::receive(StepContext &context, const PeerEnvelope &,
                             const SignatureLoss &message)
{
    m_quarantine.peerReportedLoss(context, message);
}

void Reducer::State::sendPart(StepContext &context, const Member &owner, PartRequest request)
{
    if (owner.host == m_options.host)
        m_localMessages.push_back({ std::move(request) });
    else
        context.emit(SendToPeer { owner.host, owner.endpoint, std::move(request) });
}

void Reducer::State::cancelPart(StepContext &context, const Member &owner, PartId part)
{
    if (owner.host == m_options.host)
        m_localMessages.push_back({ PartCancel { part } });
    else
        context.emit(SendToPeer { owner.host, owner.endpoint, PartCancel { part } });
}

void Reducer::State::answerPart(StepContext &context, const HostId &entryHost, PartAnswer answer)
{
    if (entryHost == m_options.host) {
        m_localMessages.push_back({ std::move(answer) });
        return;
    }
    const auto peer = m_peers.find(entryHost);
    GREENGAGESTAIR_ASSERT(peer != m_peers.end());
    context.emit(SendToPeer { entryHost, peer->second.endpoint, std::move(answer) });
}

/** Delivers the queued local messages. They are queued so that a module is not called while
 * it still handles an earlier message. */
void Reducer::State::deliverLocalMessages(StepContext &context)
{
    while (!m_localMessages.empty()) {
        const LocalMessage localMessage = std::move(m_localMessages.front());
        m_localMessages.pop_front();
        if (const auto *request = std::get_if<PartRequest>(&localMessage.message))
            m_scheduler.submit(context, m_options.host, *request);
        else if (const auto *cancel = std::get_if<PartCancel>(&localMessage.message))
            m_scheduler.cancel(context, m_options.host, cancel->part);
        else if (const auto *answer = std::get_if<PartAnswer>(&localMessage.message))
            m_queryEngine.onPartAnswer(context, m_options.host, *answer);
    }
}

void Reducer::State::tickModules(StepContext &context)
{
    m_documents.onTick(context);
    m_membership.onTick(context);
    m_quarantine.onTick(context);
    m_ledger.onTick(context);
    m_queryEngine.onTick(context);
    m_scheduler.onTick(context);
}

/**
 * Ends the process when the accepted queries and after them the ledger's writes have ended, or when
 * the stop has timed out. Just before, this host releases its backend servers, so that their next
 * owners can start at once, unless requests to backend servers are still in flight.
 */
void Reducer::State::finishStopIfComplete(StepContext &context)
{
    if (!m_stopping || m_finished)
        return;
    const bool timedOut = context.now() >= m_stopDeadline;
    const bool allWorkEnded = m_queryEngine.idle() && m_scheduler.idle() && m_ledger.idle();
    if (!allWorkEnded && !timedOut)
        return;
    if (m_scheduler.nothingInFlight() && !m_released) {
        m_released = true;
        m_membership.setOwnerIdle(true);
        m_membership.onTick(context);
    }
    m_finished = true;
    context.emit(LogStateChange { StateChangeKind::Stopped, m_options.host.value });
    context.emit(FinishStop {});
}

void Reducer::State::logReadiness(StepContext &context)
{
    if (m_loggedReady || !isReady())
        return;
    m_loggedReady = true;
    context.emit(LogStateChange { StateChangeKind::Ready, m_options.host.value });
}

MonotonicTime Reducer::State::nextWakeUp() const
{
    return std::min({ m_documents.nextWakeUp(), m_membership.nextWakeUp(),
                      m_quarantine.nextWakeUp(), m_admission.nextWakeUp(), m_ledger.nextWakeUp(),
                      m_queryEngine.nextWakeUp(), m_scheduler.nextWakeUp(), m_stopDeadline });
}

std::string Reducer::State::dumpState(const Instant &instant) const
{
    const MonotonicTime now = instant.now;
    boost::json::object counters;
    for (const Counter &counter : m_counters.all())
        counters[counter.name] = counter.value;
    const boost::json::object state {
        { "host", m_options.host.value },
        { "failureDomain", m_options.failureDomain.value },
        { "incarnation", m_options.incarnation.value },
        { "ready", isReady() },
        { "stopping", m_stopping },
        { "documents", m_documents.dump(now) },
        { "membership", m_membership.dump(now) },
        { "scheduler", m_scheduler.dump(now) },
        { "queries", m_queryEngine.dump(now) },
        { "admission", m_admission.dump(now) },
        { "ledger", m_ledger.dump(now) },
        { "quarantine", m_quarantine.dump(now) },
        { "counters", std::move(counters) },
    };
    return boost::json::serialize(state);
}

Reducer::Reducer(const ReducerOptions &options)
    : m_state(std::make_unique<State>(options))
{
}

Reducer::~Reducer() = default;

Effects Reducer::handle(const Instant &instant, const Event &event)
{
    return m_state->handle(instant, event);
}

MonotonicTime Reducer::nextWakeUp() const
{
    return m_state->nextWakeUp();
}

bool Reducer::isReady() const
{
    return m_state->isReady();
}

std::vector<Counter> Reducer::counters() const
{
    return m_state->counters();
}

std::string Reducer::dumpState(const Instant &instant) const
{
    return m_state->dumpState(instant);
}

} // namespace greengagestair
