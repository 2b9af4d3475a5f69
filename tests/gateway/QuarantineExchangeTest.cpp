#include "gateway/GatewayFixture.h"

#include "core/quarantine/Signature.h"

#include <set>

using namespace greengagestair;

static const Signature kSignature { 7 };
static const HostId kHost { "h1" };
static const HostId kOtherHost { "h2" };

static MonotonicTime at(std::chrono::seconds time)
{
    return MonotonicTime(time);
}

/** Losses of three servers to two requests of one host, which block the signature. */
static void block(RequestQuarantine &quarantine, Signature signature, MonotonicTime now)
{
    for (const char *server : { "a", "b", "c" }) {
        for (const char *request : { "r1", "r2" })
            quarantine.addLoss(signature, request, { server }, now);
    }
}

// Guards against a block that restarts at each host that learns of it.
TEST_CASE("a block that is handed on ends when it would have ended", "[gateway][quarantine]")
{
    RequestQuarantine first;
    block(first, kSignature, at(10s));
    RequestQuarantine second;
    CHECK(second.merge(first.recentLosses(kHost, at(40s)), at(40s), at(41s)) == 1);
    CHECK(second.isBlocked(kSignature, at(41s)));
    RequestQuarantine third;
    CHECK(third.merge(second.recentLosses(kOtherHost, at(60s)), at(60s), at(60s)) == 1);
    CHECK(third.isBlocked(kSignature, at(69s)));
    for (const RequestQuarantine *quarantine : { &first, &second, &third })
        CHECK_FALSE(quarantine->isBlocked(kSignature, at(70s)));
    RequestQuarantine late;
    CHECK(late.merge(first.recentLosses(kHost, at(69s)), at(69s), at(70s)) == 0);
    CHECK(first.recentLosses(kHost, at(70s)).empty());
}

// Guards against a block of a request that other hosts still allow: one request that several hosts
// know of is not several requests.
TEST_CASE("losses of one request do not block it when several hosts state them",
          "[gateway][quarantine]")
{
    RequestQuarantine origin;
    RequestQuarantine other;
    for (const char *server : { "a", "b", "c" }) {
        origin.addLoss(kSignature, "r1", { server }, at(10s));
        other.addReportedLoss(kHost, { kSignature, { server } }, at(10s));
    }
    RequestQuarantine started;
    started.merge(origin.recentLosses(kHost, at(11s)), at(11s), at(11s));
    started.merge(other.recentLosses(kOtherHost, at(11s)), at(11s), at(11s));
    CHECK_FALSE(started.isBlocked(kSignature, at(11s)));
    SECTION("a second request of the same host")
    {
        origin.addLoss(kSignature, "r2", { "c" }, at(12s));
        started.merge(origin.recentLosses(kHost, at(12s)), at(12s), at(12s));
    }
    SECTION("a request of another host")
    {
        other.addLoss(kSignature, "r3", { "c" }, at(12s));
        started.merge(other.recentLosses(kOtherHost, at(12s)), at(12s), at(12s));
    }
    SECTION("a request of the host itself")
    {
        started.addLoss(kSignature, "r4", { "c" }, at(12s));
    }
    CHECK(started.isBlocked(kSignature, at(12s)));
}

TEST_CASE("losses before a server's answer are not taken over", "[gateway][quarantine]")
{
    RequestQuarantine other;
    block(other, kSignature, at(10s));
    RequestQuarantine quarantine;
    quarantine.addLoss(kSignature, "r9", { "a" }, at(10s));
    quarantine.addSuccess(kSignature, at(12s));
    quarantine.merge(other.recentLosses(kHost, at(13s)), at(13s), at(13s));
    CHECK_FALSE(quarantine.isBlocked(kSignature, at(13s)));
    block(other, kSignature, at(14s));
    quarantine.merge(other.recentLosses(kHost, at(15s)), at(15s), at(15s));
    CHECK(quarantine.isBlocked(kSignature, at(15s)));
}

// Guards against statements that grow with the number of signatures, and against odd ones.
TEST_CASE("statements of losses are bounded", "[gateway][quarantine]")
{
    constexpr std::uint64_t kSignatures = 5000;
    RequestQuarantine quarantine;
    for (std::uint64_t i = 0; i < kSignatures; ++i)
        block(quarantine, { i }, at(10s) + std::chrono::milliseconds(i));
    std::vector<RecordedLoss> recorded = quarantine.recentLosses(kHost, at(20s));
    REQUIRE(recorded.size() == 64);
    CHECK(recorded.front().signature == Signature { kSignatures - 1 });
    RequestQuarantine other;
    for (std::uint64_t i = 0; i < kSignatures; ++i)
        recorded.push_back({ { i }, {}, {}, false, -5s });
    CHECK(other.merge(recorded, at(20s), at(20s)) == 64);
    RequestQuarantine third;
    third.merge({ { kSignature, { { "a" }, { "b" }, { "c" } }, { kHost }, true, -24h } }, at(20s),
                at(20s));
    CHECK(third.isBlocked(kSignature, at(79s)));
    CHECK_FALSE(third.isBlocked(kSignature, at(80s)));
}

/** A question that a gateway has sent. */
struct SentQuestion
{
    HostId host;
    LossesRequest request;
};

/** The questions for losses that were sent since the last call. */
static std::vector<SentQuestion> takeQuestions(GatewayFixture &fixture)
{
    std::vector<SentQuestion> questions;
    for (const SendToHost &message : std::exchange(fixture.messages, {})) {
        if (const auto *request = std::get_if<LossesRequest>(&message.message))
            questions.push_back({ message.host, *request });
    }
    return questions;
}

/** The event with the answer of one gateway to a question of another. */
static LossesReceived answerOf(GatewayFixture &fixture, const SentQuestion &question)
{
    fixture.messages.clear();
    fixture.send(LossesRequested { { "h9" }, {}, question.request });
    REQUIRE(fixture.messages.size() == 1);
    CHECK(fixture.messages.front().host == HostId { "h9" });
    return { question.host, std::get<RecordedLosses>(fixture.messages.front().message) };
}

// Guards against hosts that send a request again after a restart although it crashes servers and
// all other hosts refuse it.
TEST_CASE("a process that has just started refuses what the other hosts block",
          "[gateway][quarantine]")
{
    GatewayFixture running;
    running.start();
    const Signature signature =
            computeSignature({ "orders.example" }, { "POST/order/7" }, std::string());
    for (const char *server : { "a", "b", "c" }) {
        for (const HostId &host : { kHost, kOtherHost })
            running.send(ServerLossReported { host, { signature, { server } } });
    }
    running.order();
    REQUIRE(running.refusal() == RefusalReason::Quarantined);

    GatewayFixture started;
    started.send(GatewayFixture::hosts(3, 1));
    const auto questions = takeQuestions(started);
    REQUIRE_FALSE(questions.empty());
    SECTION("a host that was asked answers")
    {
        started.send(answerOf(running, questions.back()));
        started.start();
        started.order();
        CHECK(started.refusal() == RefusalReason::Quarantined);
        started.replies.clear();
        started.wait(61s);
        started.order();
        CHECK(started.replies.empty());
    }
    SECTION("an answer belongs to no question of this process")
    {
        LossesReceived answer = answerOf(running, questions.back());
        answer.recorded.id += 100;
        started.send(answer);
        started.start();
        started.order();
        CHECK(started.replies.empty());
    }
    SECTION("a host that has just started, too, hands on what it learnt")
    {
        started.send(answerOf(running, questions.back()));
        GatewayFixture next;
        next.send(GatewayFixture::hosts(3, 1));
        next.send(answerOf(started, takeQuestions(next).front()));
        next.start();
        next.order();
        CHECK(next.refusal() == RefusalReason::Quarantined);
    }
}

// Guards against a start that waits for hosts without an answer, against questions to all hosts of
// a large fleet, and against asking only hosts that do not answer.
TEST_CASE("a process that has just started asks a few hosts and waits for none",
          "[gateway][quarantine]")
{
    const auto [ownDomain, otherDomains, questions, distinctHosts] =
            GENERATE(table<int, int, std::size_t, std::size_t>(
                    { { 1000, 3000, 9, 9 }, { 1, 8, 9, 8 }, { 3, 6, 9, 5 }, { 2, 0, 3, 1 } }));
    CAPTURE(ownDomain, otherDomains);
    GatewayFixture fixture;
    fixture.send(GatewayFixture::hosts(1, 0));
    fixture.wait(5s);
    CHECK(takeQuestions(fixture).empty());
    fixture.send(GatewayFixture::hosts(ownDomain, otherDomains));
    fixture.send(ConfigurationRead {
            std::make_shared<const RoutingConfiguration>(fixture.configuration) });
    CHECK(fixture.gateway().isReady());
    std::vector<SentQuestion> asked = takeQuestions(fixture);
    CHECK(asked.size() == questions / 3);
    for (int round = 0; round < 10; ++round) {
        fixture.wait(1s);
        fixture.send(GatewayFixture::hosts(ownDomain, otherDomains));
        for (const SentQuestion &question : takeQuestions(fixture))
            asked.push_back(question);
    }
    CHECK(asked.size() == questions);
    std::set<HostId> hosts;
    for (const SentQuestion &question : asked)
        hosts.insert(question.host);
    CHECK(hosts.size() == distinctHosts);
    CHECK_FALSE(hosts.contains(HostId { "h0" }));
}
