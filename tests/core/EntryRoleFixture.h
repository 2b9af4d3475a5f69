#pragma once

#include "core/query/QueryEngine.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <map>
#include <set>

namespace greengagestair::test {

using namespace std::chrono_literals;

/** Documents in memory, which the tests change directly. */
class TestDocuments : public DocumentView
{
public:
    const Configuration *configuration() const override
    {
        return hasConfiguration ? &config : nullptr;
    }
    Revision configurationVersion() const override { return { 1 }; }
    const ServiceSnapshots *snapshots(const ServiceId &service) const override
    {
        const auto found = snapshotsOf.find(service);
        return found == snapshotsOf.end() ? nullptr : &found->second;
    }
    const MemberList *members(const FailureDomainId &) const override { return nullptr; }
    Revision memberListVersion(const FailureDomainId &) const override { return {}; }
    const HostList *hostList() const override { return nullptr; }
    Revision hostListVersion() const override { return {}; }
    const QuarantineList &quarantine() const override { return quarantined; }
    std::optional<ResolvedServer> findServer(const ServerId &server) const override
    {
        for (const Service &service : config.services) {
            for (const Group &group : service.groups) {
                for (const BackendServer &candidate : group.servers) {
                    if (candidate.name == server)
                        return ResolvedServer { &service, &group, &candidate };
                }
            }
        }
        return std::nullopt;
    }
    bool acceptsNewWork(const ServerId &server) const override
    {
        return !serversRefusingWork.contains(server);
    }
    std::vector<DocumentVersion> versions() const override { return {}; }

    bool hasConfiguration = true;
    Configuration config;
    std::map<ServiceId, ServiceSnapshots> snapshotsOf;
    QuarantineList quarantined;
    std::set<ServerId> serversRefusingWork;
};

/** Ownership in which each server is owned by a host of its own, named "owner-<server>". */
class TestOwnership : public OwnershipView
{
public:
    std::optional<Member> ownerOf(const ServerId &server, MonotonicTime) const override
    {
        return Member { { "owner-" + server.value }, { "127.0.0.1", 7400 }, { 1 } };
    }
    bool maySendTo(const ServerId &, MonotonicTime) const override { return true; }
    std::optional<OwnershipStart> ownershipStart(const ServerId &, MonotonicTime) const override
    {
        return {};
    }
    MonotonicTime grantsUntil(MonotonicTime) const override { return kNever; }
};

/** Records the parts and cancellations that were sent to owners. */
class TestRouter : public PartRouter
{
public:
    void sendPart(StepContext &, const Member &, PartRequest request) override
    {
        sent.push_back(std::move(request));
    }
    void cancelPart(StepContext &, const Member &, PartId part) override
    {
        cancelled.push_back(part);
    }
    void answerPart(StepContext &, const HostId &, PartAnswer) override { }

    std::vector<PartRequest> sent;
    std::vector<PartId> cancelled;
};

/** Mock of the claims ledger; the tests set expectations on its calls and pass the results. */
class MockClaims : public RequestClaims
{
public:
    MAKE_MOCK5(claim,
               void(StepContext &, const ServiceId &, const IdempotencyKey &, MonotonicTime,
                    ClaimHandler),
               override);
    MAKE_MOCK7(recordResult,
               void(StepContext &, const ServiceId &, const IdempotencyKey &, IndexVersion,
                    const std::string &, MonotonicTime, RecordHandler),
               override);
    MAKE_MOCK3(release, void(StepContext &, const ServiceId &, const IdempotencyKey &), override);
    MAKE_MOCK5(findOutcome,
               void(StepContext &, const ServiceId &, const IdempotencyKey &, MonotonicTime,
                    ClaimHandler),
               override);
};

/** Records document changes until the test accepts or rejects them. */
class TestWriter : public DocumentWriter
{
public:
    struct Change
    {
        PlatformKey key;
        DocumentChangeFunction change;
        DocumentChangeHandler done;
    };
    void change(StepContext &, const PlatformKey &key, DocumentChangeFunction change, Duration,
                DocumentChangeHandler done) override
    {
        changes.push_back({ key, std::move(change), std::move(done) });
    }

    std::vector<Change> changes;
};

/**
 * Fixture for tests of the entry role: a query engine with two services of two groups with three
 * servers each, snapshots 8 and 7, and a clock that only the test advances.
 */
class EntryRoleFixture
{
public:
    explicit EntryRoleFixture(MechanismSwitches mechanisms = {},
                              Incarnation incarnation = { 1000000 })
        : options(makeOptions(mechanisms, incarnation))
    {
        documents.config.services.push_back(makeService("lookup", Route::AllGroups));
        documents.config.services.push_back(makeService("orders", Route::OneGroup));
        documents.snapshotsOf[{ "lookup" }] = makeSnapshots("lookup");
        documents.snapshotsOf[{ "orders" }] = makeSnapshots("orders");
    }

    static ReducerOptions makeOptions(MechanismSwitches mechanisms, Incarnation incarnation)
    {
        ReducerOptions options;
        options.host = { "shubra-1" };
        options.failureDomain = { "shubra" };
        options.incarnation = incarnation;
        options.mechanisms = mechanisms;
        return options;
    }

    static Service makeService(const std::string &name, Route route)
    {
        Service service;
        service.name = { name };
        service.route = route;
        service.slots = 2;
        service.warmPartTime = 6ms;
        service.maxPartTime = 500ms;
        service.defaultDeadline = 300ms;
        service.maxDeadline = 2s;
        service.operations = { { { "find" }, true, true },
                               { { "list" }, false, true },
                               { { "book" }, false, false } };
        for (const std::string group : { "g0", "g1" }) {
            Group replicas { { group }, {} };
            for (const std::string domain : { "shubra", "bulaq", "helwan" }) {
                BackendServer server;
                server.name = { name + "-" + group + "-" + domain };
                server.failureDomain = { domain };
                replicas.servers.push_back(server);
            }
            service.groups.push_back(replicas);
        }
        return service;
    }

    static ServiceSnapshots makeSnapshots(const std::string &service)
    {
        const std::vector<KeyRange> ranges { { "", "g", { "g0" } },
                                             { "g", "p", { "g1" } },
                                             { "p", "", { "g0" } } };
        return { { service }, { { { 8 }, ranges }, { { 7 }, ranges } } };
    }

    /** Runs `work` as one event, followed by the ticks of the quarantine and the engine. */
    template <typename Work>
    void run(Work work)
    {
        const Instant instant { now, WallTime(1796342400s) };
        StepContext context { instant, effects, counters, random };
        work(context);
        quarantine.onTick(context);
        engine.onTick(context);
    }

    /**
     * Sends a request with a deadline of 100 ms to the engine and returns its caller. The operation
     * "find" is urgent, "list" is routine, and "book" is routine and non-repeatable.
     */
    CallerId sendRequest(const std::string &operation = "find",
                         const std::string &service = "lookup", const std::string &body = "query")
    {
        CallerRequest request;
        request.caller = { ++lastCaller };
        request.service = { service };
        request.operation = { operation };
        request.deadline = 100ms;
        request.routingKey = "a";
        request.body = body;
        if (operation == "book")
            request.idempotencyKey = IdempotencyKey { "1796342400-a" };
        run([&](StepContext &context) { engine.onCallerRequest(context, request); });
        return request.caller;
    }

    /** Passes an answer to an attempt to the engine, as from the owner of its server. */
    void answerPart(const PartRequest &request, PartAnswer answer)
    {
        answer.part = request.part;
        const HostId owner { "owner-" + request.server.value };
        run([&](StepContext &context) { engine.onPartAnswer(context, owner, answer); });
    }

    /** Answers an attempt with a result. */
    void completePart(const PartRequest &request, const std::string &body = "result")
    {
        PartAnswer answer;
        answer.outcome = PartOutcome::Answered;
        answer.version = request.version;
        answer.body = body;
        answerPart(request, answer);
    }

    /** Ends an attempt without a result. */
    void failPart(const PartRequest &request, PartOutcome outcome, PartReason reason)
    {
        PartAnswer answer;
        answer.outcome = outcome;
        answer.reason = reason;
        answerPart(request, answer);
    }

    /** Advances the clock, and runs the ticks of the quarantine and the engine. */
    void advanceTime(Duration time)
    {
        now += time;
        run([](StepContext &) {});
    }

    /** Returns the attempts that were sent since the last call. */
    std::vector<PartRequest> takeSentParts() { return std::exchange(router.sent, {}); }

    /** Returns the answer to the caller, nothing if there is none; fails if there are several. */
    std::optional<CallerAnswer> answerTo(CallerId caller) const
    {
        std::optional<CallerAnswer> result;
        for (const Effect &effect : effects) {
            const auto *answer = std::get_if<AnswerCaller>(&effect);
            if (answer == nullptr || answer->caller != caller)
                continue;
            REQUIRE_FALSE(result.has_value());
            result = answer->answer;
        }
        return result;
    }

    /** Completes one request, so that its signature is known good and needs no canary. */
    void makeSignatureKnownGood(const std::string &operation = "find",
                                const std::string &service = "lookup")
    {
        const CallerId caller = sendRequest(operation, service);
        while (!answerTo(caller).has_value()) {
            const auto parts = takeSentParts();
            REQUIRE_FALSE(parts.empty());
            for (const PartRequest &request : parts)
                completePart(request);
        }
    }

    ReducerOptions options;
    MonotonicTime now { 1s };
    Effects effects;
    CounterSet counters;
    std::mt19937_64 random { 1 };
    TestDocuments documents;
    TestOwnership ownership;
    TestRouter router;
    TestWriter writer;
    MockClaims claims;
    IdentifierSource identifiers;
    AdmissionControl admission { options, documents };
    Quarantine quarantine { options, documents, writer };
    QueryEngine engine { options, documents, ownership,  router,
                         claims,  admission, quarantine, identifiers };
    std::uint64_t lastCaller = 0;
};

} // namespace greengagestair::test
