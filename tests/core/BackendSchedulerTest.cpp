#include "core/sending/BackendScheduler.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <boost/json.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** Documents with one service that has one backend server. */
class FixedDocuments : public trompeloeil::mock_interface<DocumentView>
{
public:
    FixedDocuments()
    {
        m_service.name = { "counter-lookup" };
        m_service.slots = 2;
        m_service.warmPartTime = 6ms;
        m_service.maxPartTime = 500ms;
        m_service.groups = { { { "g0" },
                               { { { "lookup-0" }, { "127.1.0.1", 7000 }, {}, true } } } };
    }

    std::optional<ResolvedServer> findServer(const ServerId &server) const override
    {
        const BackendServer &only = m_service.groups[0].servers[0];
        if (server != only.name)
            return std::nullopt;
        return ResolvedServer { &m_service, &m_service.groups[0], &only };
    }
    bool acceptsNewWork(const ServerId &) const override { return m_inService; }
    Revision configurationVersion() const override { return m_version; }
    Revision hostListVersion() const override { return {}; }

    IMPLEMENT_CONST_MOCK0(configuration);
    IMPLEMENT_CONST_MOCK1(snapshots);
    IMPLEMENT_CONST_MOCK1(members);
    IMPLEMENT_CONST_MOCK1(memberListVersion);
    IMPLEMENT_CONST_MOCK0(hostList);
    IMPLEMENT_CONST_MOCK0(quarantine);
    IMPLEMENT_CONST_MOCK0(versions);

    Service m_service;
    bool m_inService = true;
    Revision m_version { 1 };
};

class FixedOwnership : public OwnershipView
{
public:
    std::optional<Member> ownerOf(const ServerId &, MonotonicTime) const override { return {}; }
    bool maySendTo(const ServerId &, MonotonicTime) const override { return m_owner; }
    std::optional<OwnershipStart> ownershipStart(const ServerId &, MonotonicTime) const override
    {
        return m_ownershipStart;
    }
    MonotonicTime grantsUntil(MonotonicTime now) const override { return now + 1500ms; }

    bool m_owner = true;
    OwnershipStart m_ownershipStart { MonotonicTime {}, true };
};

class RecordingRouter : public PartRouter
{
public:
    void sendPart(StepContext &, const Member &, PartRequest) override { }
    void cancelPart(StepContext &, const Member &, PartId) override { }
    void answerPart(StepContext &, const HostId &, PartAnswer answer) override
    {
        m_answers.push_back(std::move(answer));
    }

    std::vector<PartAnswer> m_answers;
};

class RecordingAdmission : public SignatureAdmission
{
public:
    bool mayRun(Signature signature, bool isolated) const override
    {
        return isolated || !m_suspects.contains(signature);
    }
    void serverLost(StepContext &, const ServerId &,
                    const std::vector<Signature> &trialSignatures) override
    {
        ++m_losses;
        m_suspects.insert(trialSignatures.begin(), trialSignatures.end());
    }
    void signatureAnswered(StepContext &, Signature) override { ++m_answered; }

    std::set<Signature> m_suspects;
    int m_losses = 0;
    int m_answered = 0;
};

/** A scheduler with test implementations of its interfaces, in virtual time. */
class Fixture
{
public:
    Fixture()
        : m_scheduler(m_options, m_documents, m_ownership, m_router, m_signatureAdmission,
                      m_identifiers)
    {
    }

    template <typename Action>
    void step(Action action)
    {
        const Instant instant { m_now, {} };
        StepContext context { instant, m_effects, m_counters, m_random };
        action(context);
    }

    /** Signature of all canary and isolated parts. */
    static constexpr Signature kTrialSignature { 7 };

    PartId submit(Priority priority = Priority::Routine, bool canary = false, bool isolated = false)
    {
        PartRequest request;
        request.part = { ++m_parts };
        request.server = { "lookup-0" };
        request.service = { "counter-lookup" };
        request.signature = canary || isolated ? kTrialSignature : Signature { 100 + m_parts };
        request.priority = priority;
        request.deadline = m_deadline;
        request.repeatable = m_repeatable;
        request.canary = canary;
        request.isolated = isolated;
        step([&](StepContext &context) { m_scheduler.submit(context, { "bulaq-1" }, request); });
        return request.part;
    }

    std::vector<SendId> sends() const
    {
        std::vector<SendId> ids;
        for (const Effect &effect : m_effects) {
            if (const auto *send = std::get_if<SendToBackend>(&effect))
                ids.push_back(send->send);
        }
        return ids;
    }

    void finish(SendId send, BackendStatus status = BackendStatus::Answered, Duration after = 6ms)
    {
        m_now += after;
        BackendFinished finished;
        finished.send = send;
        finished.echoed = send;
        finished.status = status;
        step([&](StepContext &context) { m_scheduler.onBackendFinished(context, finished); });
    }

    /** Submits and answers parts one by one until the server is warm. */
    void warmUp()
    {
        for (int answer = 0; answer < 2 * ServerLimiter::kFastAnswersPerIncrease; ++answer) {
            submit();
            finish(sends().back());
        }
    }

    PartReason lastReason() const { return m_router.m_answers.back().reason; }
    PartOutcome lastOutcome() const { return m_router.m_answers.back().outcome; }

    ReducerOptions m_options;
    FixedDocuments m_documents;
    FixedOwnership m_ownership;
    RecordingRouter m_router;
    RecordingAdmission m_signatureAdmission;
    IdentifierSource m_identifiers;
    CounterSet m_counters;
    std::mt19937_64 m_random { 1 };
    Effects m_effects;
    MonotonicTime m_now { 100s };
    Duration m_deadline = 300ms;
    bool m_repeatable = true;
    std::uint64_t m_parts = 0;
    BackendScheduler m_scheduler;
};

} // namespace

TEST_CASE("a cold server gets one request at a time and a warm one as many as it has slots",
          "[scheduler]")
{
    Fixture fixture;
    fixture.submit();
    fixture.submit();
    fixture.submit();
    REQUIRE(fixture.sends().size() == 1);
    fixture.finish(fixture.sends().back());
    REQUIRE(fixture.sends().size() == 2);
    fixture.finish(fixture.sends().back());
    fixture.finish(fixture.sends().back());
    fixture.warmUp();
    const std::size_t before = fixture.sends().size();
    fixture.submit();
    fixture.submit();
    fixture.submit();
    REQUIRE(fixture.sends().size() == before + 2);
}

TEST_CASE("a part that cannot meet its deadline is refused immediately as not sent", "[scheduler]")
{
    Fixture fixture;
    fixture.m_deadline = 20ms;
    for (int part = 0; part < 5; ++part)
        fixture.submit();
    REQUIRE(fixture.sends().size() == 1);
    REQUIRE(fixture.lastOutcome() == PartOutcome::NotSent);
    REQUIRE(fixture.lastReason() == PartReason::Overloaded);
}

TEST_CASE("a host that does not own a server sends nothing to it", "[scheduler]")
{
    Fixture fixture;
    fixture.m_ownership.m_owner = false;
    fixture.submit();
    REQUIRE(fixture.sends().empty());
    REQUIRE(fixture.lastReason() == PartReason::NotOwner);
}

TEST_CASE("after a takeover nothing is sent until the former owner's parts have ended",
          "[scheduler]")
{
    Fixture fixture;
    fixture.m_ownership.m_ownershipStart = { fixture.m_now, false };
    fixture.submit();
    REQUIRE(fixture.sends().empty());
    fixture.m_now += 500ms;
    fixture.submit();
    REQUIRE(fixture.sends().size() == 1);
}

TEST_CASE("queued parts of a server that is taken out of service are refused as not sent",
          "[scheduler]")
{
    Fixture fixture;
    fixture.submit();
    fixture.submit();
    fixture.m_documents.m_inService = false;
    fixture.m_now += 10ms;
    fixture.step([&](StepContext &context) { fixture.m_scheduler.onTick(context); });
    REQUIRE(fixture.sends().size() == 1);
    REQUIRE(fixture.lastReason() == PartReason::OutOfService);
    REQUIRE(fixture.lastOutcome() == PartOutcome::NotSent);
}

TEST_CASE("a server that returns to service starts at its cold limit", "[scheduler]")
{
    Fixture fixture;
    fixture.warmUp();
    const auto tick = [&](StepContext &context) { fixture.m_scheduler.onTick(context); };
    for (const bool inService : { false, true }) {
        fixture.m_documents.m_inService = inService;
        ++fixture.m_documents.m_version.value;
        fixture.step(tick);
    }
    const std::size_t before = fixture.sends().size();
    fixture.submit();
    fixture.submit();
    REQUIRE(fixture.sends().size() == before + 1);
}

TEST_CASE("a draining server gets no new parts", "[scheduler]")
{
    Fixture fixture;
    fixture.submit();
    fixture.finish(fixture.sends().back(), BackendStatus::Draining);
    fixture.submit();
    REQUIRE(fixture.sends().size() == 1);
    REQUIRE(fixture.lastReason() == PartReason::Draining);
}

TEST_CASE("a non-repeatable request may have run although the server returned an error status",
          "[scheduler]")
{
    Fixture fixture;
    fixture.m_repeatable = false;
    fixture.submit();
    fixture.finish(fixture.sends().back(), BackendStatus::Shed);
    REQUIRE(fixture.lastOutcome() == PartOutcome::MayHaveRun);
    fixture.submit();
    fixture.finish(fixture.sends().back(), BackendStatus::NotConnected);
    REQUIRE(fixture.lastOutcome() == PartOutcome::NotSent);
}

TEST_CASE("an answer that echoes the identifier of another request is not passed on", "[scheduler]")
{
    Fixture fixture;
    fixture.submit();
    BackendFinished mismatched;
    mismatched.send = fixture.sends().back();
    mismatched.echoed = { mismatched.send.value + 1 };
    mismatched.status = BackendStatus::Answered;
    fixture.step([&](StepContext &context) {
        fixture.m_scheduler.onBackendFinished(context, mismatched);
    });
    REQUIRE(fixture.lastOutcome() == PartOutcome::MayHaveRun);
    REQUIRE(fixture.lastReason() == PartReason::Mismatch);
}

// Guards against a broken response that proves a refusal, and against one that counts as a crash.
TEST_CASE("after a broken response it is unknown whether the request ran", "[scheduler]")
{
    Fixture fixture;
    fixture.submit(Priority::Routine, true);
    fixture.finish(fixture.sends().back(), BackendStatus::Unexpected);
    REQUIRE(fixture.lastOutcome() == PartOutcome::MayHaveRun);
    REQUIRE(fixture.lastReason() == PartReason::Mismatch);
    REQUIRE(fixture.sends().size() == 1);
}

TEST_CASE("a lost server is reported once, only with the signatures of canary and isolated parts",
          "[scheduler]")
{
    Fixture fixture;
    fixture.warmUp();
    fixture.submit();
    fixture.submit(Priority::Routine, true);
    const std::vector<SendId> sends = fixture.sends();
    fixture.finish(sends[sends.size() - 2], BackendStatus::ConnectionLost, 0ms);
    fixture.finish(sends[sends.size() - 1], BackendStatus::ConnectionLost, 0ms);
    REQUIRE(fixture.m_signatureAdmission.m_losses == 1);
    REQUIRE(fixture.m_signatureAdmission.m_suspects == std::set<Signature> { { 7 } });
}

// Guards against a request that crashes servers unnoticed because its caller has given it up.
TEST_CASE("a lost server is reported although its part was cancelled", "[scheduler]")
{
    Fixture fixture;
    const PartId part = fixture.submit(Priority::Routine, true);
    const SendId send = fixture.sends().back();
    fixture.step([&](StepContext &context) {
        fixture.m_scheduler.cancel(context, { "bulaq-1" }, part);
    });
    fixture.finish(send, BackendStatus::ConnectionLost);
    REQUIRE(fixture.m_signatureAdmission.m_suspects == std::set { Fixture::kTrialSignature });
}

TEST_CASE("one part of an unknown signature is sent at a time; a server loss refuses the rest",
          "[scheduler]")
{
    Fixture fixture;
    fixture.warmUp();
    const std::size_t before = fixture.sends().size();
    fixture.submit(Priority::Routine, true);
    fixture.submit(Priority::Routine, true);
    REQUIRE(fixture.sends().size() == before + 1);
    fixture.finish(fixture.sends().back(), BackendStatus::ConnectionLost);
    REQUIRE(fixture.sends().size() == before + 1);
    REQUIRE(fixture.lastReason() == PartReason::Quarantined);
}

TEST_CASE("parts that wait for the first part of their signature run once it is answered",
          "[scheduler]")
{
    Fixture fixture;
    fixture.warmUp();
    const std::size_t before = fixture.sends().size();
    fixture.submit(Priority::Routine, true);
    fixture.submit(Priority::Routine, true);
    fixture.submit(Priority::Routine, true);
    fixture.finish(fixture.sends().back());
    REQUIRE(fixture.sends().size() == before + 3);
    REQUIRE(fixture.m_signatureAdmission.m_answered == 1);
}

// Guards against a third server that crashes because of a part that was queued before the first two
// crashed.
TEST_CASE("a queued part is refused as not sent if its signature becomes suspect", "[scheduler]")
{
    Fixture fixture;
    fixture.warmUp();
    fixture.submit();
    fixture.submit();
    const std::size_t before = fixture.sends().size();
    fixture.submit(Priority::Urgent, true);
    REQUIRE(fixture.sends().size() == before);
    fixture.m_signatureAdmission.m_suspects.insert(Fixture::kTrialSignature);
    fixture.finish(fixture.sends().back());
    REQUIRE(fixture.sends().size() == before);
    REQUIRE(fixture.lastReason() == PartReason::Quarantined);
}

TEST_CASE("an isolated part runs alone on its server", "[scheduler]")
{
    Fixture fixture;
    fixture.warmUp();
    fixture.submit();
    const std::size_t before = fixture.sends().size();
    fixture.submit(Priority::Urgent, false, true);
    fixture.submit();
    REQUIRE(fixture.sends().size() == before);
    fixture.finish(fixture.sends().back());
    REQUIRE(fixture.sends().size() == before + 1);
    fixture.finish(fixture.sends().back());
    REQUIRE(fixture.sends().size() == before + 2);
}

TEST_CASE("after a stop request new parts are refused and queued parts still run", "[scheduler]")
{
    Fixture fixture;
    fixture.submit();
    fixture.submit();
    fixture.m_scheduler.requestStop();
    fixture.submit();
    REQUIRE(fixture.lastReason() == PartReason::NotOwner);
    fixture.finish(fixture.sends().back());
    REQUIRE(fixture.sends().size() == 2);
    REQUIRE_FALSE(fixture.m_scheduler.idle());
    fixture.finish(fixture.sends().back());
    REQUIRE(fixture.m_scheduler.idle());
}
