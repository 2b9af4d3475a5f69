#pragma once

#include "core/StepContext.h"
#include "greengagestair/Configuration.h"
#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/** Abstract interfaces through which the modules of the core see each other. */
namespace greengagestair {

/** A backend server with the service and group that it belongs to. */
struct ResolvedServer
{
    const Service *service = nullptr;
    const Group *group = nullptr;
    const BackendServer *server = nullptr;
};

/** Read access to the documents in force. References are valid until the next event. */
class DocumentView
{
public:
    virtual ~DocumentView() = default;

    /** Null until a configuration has been adopted. */
    virtual const Configuration *configuration() const = 0;
    /** Version of the configuration in force. */
    virtual Revision configurationVersion() const = 0;
    /** Null if the service has no snapshot document. */
    virtual const ServiceSnapshots *snapshots(const ServiceId &service) const = 0;
    /** Members of a cell; null if not known. */
    virtual const MemberList *members(const FailureDomainId &domain) const = 0;
    virtual Revision memberListVersion(const FailureDomainId &domain) const = 0;
    /**
     * A time at which the member list held, or one before it, was the platform's current one: the
     * start of the latest call that told so. Nothing if the platform has not told since the start.
     */
    virtual std::optional<MonotonicTime> memberListConfirmedAt(const FailureDomainId &) const
    {
        return MonotonicTime::max();
    }
    /** The platform's host list; null if not known. */
    virtual const HostList *hostList() const = 0;
    virtual Revision hostListVersion() const = 0;
    virtual const QuarantineList &quarantine() const = 0;

    /** Where a backend server stands in the configuration in force; nothing if it is not declared.
     */
    virtual std::optional<ResolvedServer> findServer(const ServerId &server) const = 0;
    /** Whether the server and its failure domain are in service and the host list does not show it
     * as leaving. */
    virtual bool acceptsNewWork(const ServerId &server) const = 0;
    /** Versions of all documents held, for heartbeats. */
    virtual std::vector<DocumentVersion> versions() const = 0;
};

/** Rewrites the content of a document; nothing means that no change is needed any more. */
using DocumentChangeFunction =
        std::function<std::optional<std::string>(const std::optional<std::string> &current)>;
/** Told once: whether the change (or an equivalent one) is in the platform. */
using DocumentChangeHandler = std::function<void(StepContext &context, bool accepted)>;

/** Compare-and-swap on documents, with retries after conflicts and lost answers. */
class DocumentWriter
{
public:
    virtual ~DocumentWriter() = default;
    virtual void change(StepContext &context, const PlatformKey &key, DocumentChangeFunction change,
                        Duration timeout, DocumentChangeHandler done) = 0;
};

/** An answer of the platform, delivered to the module that made the call. */
using PlatformHandler = std::function<void(StepContext &context, const PlatformFinished &finished)>;

/** Makes calls to the platform and routes each answer to its handler. */
class PlatformAccess
{
public:
    virtual ~PlatformAccess() = default;
    virtual CallId call(StepContext &context, decltype(CallPlatform::request) request,
                        Duration timeout, PlatformHandler handler) = 0;
    /** Time since the platform last answered; zero before the first call. */
    virtual Duration outageDuration(MonotonicTime now) const = 0;
};

/** Who may send to a backend server. */
class OwnershipView
{
public:
    virtual ~OwnershipView() = default;

    /** The entry host believed to own the server; nothing if its cell has no usable member. */
    virtual std::optional<Member> ownerOf(const ServerId &server, MonotonicTime now) const = 0;
    /** Whether this host holds the grants to send to the server now. */
    virtual bool maySendTo(const ServerId &server, MonotonicTime now) const = 0;
    /**
     * When this host obtained the server, for the waiting period after a takeover; nothing if it
     * does not hold it. `released` tells that the former owner had nothing in flight.
     */
    struct OwnershipStart
    {
        MonotonicTime since;
        bool released = false;
    };
    virtual std::optional<OwnershipStart> ownershipStart(const ServerId &server,
                                                         MonotonicTime now) const = 0;
    /** Until when this host's grants reach if no further one arrives. */
    virtual MonotonicTime grantsUntil(MonotonicTime now) const = 0;
};

/** The owner role as seen by the entry role; the reducer routes to this process or to a peer. */
class PartRouter
{
public:
    virtual ~PartRouter() = default;
    virtual void sendPart(StepContext &context, const Member &owner, PartRequest request) = 0;
    virtual void cancelPart(StepContext &context, const Member &owner, PartId part) = 0;
    /** Sends the end of an attempt back to the entry host that asked for it. */
    virtual void answerPart(StepContext &context, const HostId &entryHost, PartAnswer answer) = 0;
};

/** What a claim of a non-repeatable request came to. */
struct ClaimResult
{
    enum class Verdict {
        Claimed,   ///< this host alone may run the request, once
        Done,      ///< it ran before; `body` and `snapshot` hold the recorded result
        NotRun,    ///< it has not run, and this claim will not run it
        MayHaveRun ///< another claim exists, or the identifier is too old to tell
    };

    Verdict verdict = Verdict::NotRun;
    QueryReason reason = QueryReason::None;
    IndexVersion snapshot;
    std::string body;
};

using ClaimHandler = std::function<void(StepContext &context, const ClaimResult &result)>;
/** Told whether the end was recorded before the time limit. */
using RecordHandler = std::function<void(StepContext &context, bool recorded)>;

/** At-most-once execution by records in the platform. Every handler is called exactly once. */
class RequestClaims
{
public:
    virtual ~RequestClaims() = default;

    /** Claims a request; the handler is called at `deadline` at the latest. */
    virtual void claim(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                       MonotonicTime deadline, ClaimHandler handler) = 0;
    /** Records the result of a claimed request. */
    virtual void recordResult(StepContext &context, const ServiceId &service,
                              const IdempotencyKey &key, IndexVersion snapshot,
                              const std::string &body, MonotonicTime deadline,
                              RecordHandler handler) = 0;
    /** Gives up a claim whose request was proved not to have been sent; it may be claimed anew. */
    virtual void release(StepContext &context, const ServiceId &service,
                         const IdempotencyKey &key) = 0;
    /** Tells what became of a request; makes "not run" final first. */
    virtual void findOutcome(StepContext &context, const ServiceId &service,
                             const IdempotencyKey &key, MonotonicTime deadline,
                             ClaimHandler handler) = 0;
};

/** Told by the owner role when a backend server was lost with parts in flight. */
class ServerLossListener
{
public:
    virtual ~ServerLossListener() = default;
    /** The server closed or reset its connections with canary or isolated parts in flight. */
    virtual void serverLost(StepContext &context, const ServerId &server,
                            const std::vector<Signature> &onTrial) = 0;
    /** A canary or isolated part of this signature was answered. */
    virtual void signatureAnswered(StepContext &context, Signature signature) = 0;
};

/** What the owner role asks before it sends a part. */
class SignatureAdmission : public ServerLossListener
{
public:
    /** Whether a part of this signature may be sent now; a suspect one only if it is isolated. */
    virtual bool mayRun(Signature signature, bool isolated) const = 0;
};

} // namespace greengagestair
