#pragma once

#include "core/StepContext.h"
#include "greengagestair/Configuration.h"
#include "greengagestair/Messages.h"
#include "greengagestair/Types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/** Abstract interfaces through which the modules of the core use each other. */
namespace greengagestair {

/**
 * A backend server of the configuration in force with the service and group that it belongs to.
 * The pointers are valid until the next event.
 */
struct ResolvedServer
{
    const Service *service = nullptr;
    const Group *group = nullptr;
    const BackendServer *server = nullptr;
};

/**
 * Read access to the documents in force, for all modules of the core. Returned pointers and
 * references are valid until the next event.
 */
class DocumentView
{
public:
    virtual ~DocumentView() = default;

    /** The configuration in force; null until one has been adopted. */
    virtual const Configuration *configuration() const = 0;
    /** Version of the configuration in force; 0 if there is none. */
    virtual Revision configurationVersion() const = 0;
    /** Snapshots of a service; null if no snapshot document is held for it. */
    virtual const ServiceSnapshots *snapshots(const ServiceId &service) const = 0;
    /** Member list of the cell of a failure domain; null if none is held. */
    virtual const MemberList *members(const FailureDomainId &domain) const = 0;
    /** Version of the member list of a cell; 0 if none is held. */
    virtual Revision memberListVersion(const FailureDomainId &domain) const = 0;
    /**
     * Start time of the latest platform call that confirmed the member list of a cell: at that time
     * the platform held no newer version than the one that this host holds. Empty if no call has
     * confirmed the list since the start of the process. The default implementation treats each
     * list as confirmed at all times.
     */
    virtual std::optional<MonotonicTime> memberListConfirmedAt(const FailureDomainId &) const
    {
        return MonotonicTime::max();
    }
    /** The platform's host list; null if none is held. */
    virtual const HostList *hostList() const = 0;
    /** Version of the host list in force; 0 if there is none. */
    virtual Revision hostListVersion() const = 0;
    /** The quarantine list in force; empty until one has been adopted. */
    virtual const QuarantineList &quarantine() const = 0;

    /** Looks up a backend server in the configuration in force; empty if it is not declared. */
    virtual std::optional<ResolvedServer> findServer(const ServerId &server) const = 0;
    /** Whether the server and its failure domain are in service and the host list does not show the
     * server as leaving. */
    virtual bool acceptsNewWork(const ServerId &server) const = 0;
    /** Keys and versions of all documents held, as sent in heartbeats. */
    virtual std::vector<DocumentVersion> versions() const = 0;
};

/**
 * Computes the new content of a document from its current content, which is empty if the document
 * does not exist. Returns nothing if the current content needs no change.
 */
using DocumentChangeFunction =
        std::function<std::optional<std::string>(const std::optional<std::string> &current)>;
/** Called exactly once per change. `accepted` means that the platform has stored this change or an
 * equivalent one. */
using DocumentChangeHandler = std::function<void(StepContext &context, bool accepted)>;

/** Changes documents of the platform by compare-and-swap and retries after conflicts and lost
 * answers. */
class DocumentWriter
{
public:
    virtual ~DocumentWriter() = default;
    /**
     * Starts to change a document. `change` may be called several times, with the content found by
     * each read. `done` is called with `accepted` false if the change has not been stored when the
     * timeout has passed, or if the new content is too large.
     */
    virtual void change(StepContext &context, const PlatformKey &key, DocumentChangeFunction change,
                        Duration timeout, DocumentChangeHandler done) = 0;
};

/** Called with the result of a platform call; supplied by the module that makes the call. */
using PlatformHandler = std::function<void(StepContext &context, const PlatformFinished &finished)>;

/** Makes asynchronous calls to the platform and passes each result to the handler of its call. */
class PlatformAccess
{
public:
    virtual ~PlatformAccess() = default;
    /** Starts a call. The handler is called with the result or with a PlatformFailure. */
    virtual CallId call(StepContext &context, decltype(CallPlatform::request) request,
                        Duration timeout, PlatformHandler handler) = 0;
    /** Time since the last usable answer of the platform, if the latest call ended without one;
     * zero otherwise. */
    virtual Duration outageDuration(MonotonicTime now) const = 0;
};

/** Ownership of backend servers: only the owner of a server may send requests to it. */
class OwnershipView
{
public:
    virtual ~OwnershipView() = default;

    /** The entry host that this host regards as the owner of the server; empty if the server's cell
     * has no usable member. */
    virtual std::optional<Member> ownerOf(const ServerId &server, MonotonicTime now) const = 0;
    /** Whether this host holds the grants that it needs to send to the server at time `now`. */
    virtual bool maySendTo(const ServerId &server, MonotonicTime now) const = 0;
    /** Start of this host's ownership of a server, from which the waiting period after a takeover
     * counts. */
    struct OwnershipStart
    {
        MonotonicTime since;
        bool released = false; ///< the former owner had nothing in flight
    };
    /** Start of this host's ownership of the server; empty if this host does not own it. */
    virtual std::optional<OwnershipStart> ownershipStart(const ServerId &server,
                                                         MonotonicTime now) const = 0;
    /** Time at which this host's current grants expire if it receives no further ones. */
    virtual MonotonicTime grantsUntil(MonotonicTime now) const = 0;
};

/**
 * Carries parts and their results between the entry role (which serves callers) and the owner role
 * (which sends to backend servers). The reducer implements it and routes each message within the
 * process or to a peer.
 */
class PartRouter
{
public:
    virtual ~PartRouter() = default;
    /** Sends a part to the owner of its backend server. */
    virtual void sendPart(StepContext &context, const Member &owner, PartRequest request) = 0;
    /** Cancels a part that was sent to the owner. */
    virtual void cancelPart(StepContext &context, const Member &owner, PartId part) = 0;
    /** Returns the result of an attempt to the entry host that sent the part. */
    virtual void answerPart(StepContext &context, const HostId &entryHost, PartAnswer answer) = 0;
};

/** Result of claiming a non-repeatable request or of querying its outcome. */
struct ClaimResult
{
    enum class Verdict {
        Claimed,   ///< this host alone may execute the request, and only once
        Done,      ///< the request was executed; `body` and `snapshot` hold the recorded result
        NotRun,    ///< the request was not executed, and this claim will not execute it
        MayHaveRun ///< another claim exists, or the identifier is too old to decide
    };

    Verdict verdict = Verdict::NotRun;
    QueryReason reason = QueryReason::None; ///< why the request is not claimed
    IndexVersion snapshot;                  ///< index version of the recorded result
    std::string body;                       ///< recorded result
};

/** Called with the result of a claim or of an outcome query. */
using ClaimHandler = std::function<void(StepContext &context, const ClaimResult &result)>;
/** Called once; `recorded` is true if the result was recorded before the deadline. */
using RecordHandler = std::function<void(StepContext &context, bool recorded)>;

/**
 * Ensures that a non-repeatable request is executed at most once, by means of records in the
 * platform. Used by the entry role. Every handler is called exactly once.
 */
class RequestClaims
{
public:
    virtual ~RequestClaims() = default;

    /** Claims a request before it is executed; the handler is called no later than `deadline`. */
    virtual void claim(StepContext &context, const ServiceId &service, const IdempotencyKey &key,
                       MonotonicTime deadline, ClaimHandler handler) = 0;
    /** Records the result of a claimed request that was executed. */
    virtual void recordResult(StepContext &context, const ServiceId &service,
                              const IdempotencyKey &key, IndexVersion snapshot,
                              const std::string &body, MonotonicTime deadline,
                              RecordHandler handler) = 0;
    /** Releases a claim whose request was proved not to have been sent, so that the request can be
     * claimed again. */
    virtual void release(StepContext &context, const ServiceId &service,
                         const IdempotencyKey &key) = 0;
    /** Queries the outcome of a request. The implementation reports "not run" only after it has
     * ensured that the request cannot be executed later. */
    virtual void findOutcome(StepContext &context, const ServiceId &service,
                             const IdempotencyKey &key, MonotonicTime deadline,
                             ClaimHandler handler) = 0;
};

/** Receives from the owner role what happened to canary and isolated parts on backend servers. */
class ServerLossListener
{
public:
    virtual ~ServerLossListener() = default;
    /** The server closed or reset its connections while canary or isolated parts with these
     * signatures were in flight. */
    virtual void serverLost(StepContext &context, const ServerId &server,
                            const std::vector<Signature> &signatures) = 0;
    /** A canary or isolated part with this signature was answered. */
    virtual void signatureAnswered(StepContext &context, Signature signature) = 0;
};

/** Decides for the owner role whether a part may be sent, depending on its signature. */
class SignatureAdmission : public ServerLossListener
{
public:
    /** Whether a part with this signature may be sent now. A suspect signature may be sent only in
     * isolation. */
    virtual bool mayRun(Signature signature, bool isolated) const = 0;
};

} // namespace greengagestair
