#include "EntryRoleFixture.h"

#include <boost/json.hpp>

using namespace greengagestair;
using namespace greengagestair::test;
using trompeloeil::_;

namespace {

/** Random requests, part ends, losses and document changes; checks every answer. */
class RandomRun : public EntryRoleFixture
{
public:
    RandomRun(std::uint64_t seed, MechanismSwitches mechanisms)
        : EntryRoleFixture(mechanisms)
        , m_choices(seed)
    {
    }

    void applyRandomEvent()
    {
        switch (m_choices() % 8) {
        case 0:
        case 1:
            sendRandomRequest();
            break;
        case 2:
            advanceTime(Duration(m_choices() % 20000));
            break;
        case 3:
            changeDocuments();
            break;
        case 4:
            if (m_choices() % 4 == 0)
                run([&](StepContext &context) {
                    engine.onCallerGone(context, { { m_choices() % (lastCaller + 1) } });
                });
            break;
        default:
            answerRandomPart();
        }
        checkEffects();
    }

    void finish()
    {
        advanceTime(100ms);
        checkEffects();
        advanceTime(2s);
        REQUIRE(engine.idle());
        REQUIRE(engine.dump(now).at("openAttempts").as_uint64() == 0);
    }

private:
    struct ExpectedOutcome
    {
        MonotonicTime deadline;
        int mayHaveRun = 0;
        bool atMostOnce = false;
    };

    void sendRandomRequest()
    {
        const std::uint64_t kind = m_choices() % 3;
        const std::string body = "body" + std::to_string(lastCaller + 1);
        m_expected[body] = { now + 100ms, 0, kind == 2 };
        sendRequest(kind == 2 ? "book" : "find", kind == 0 ? "lookup" : "orders", body);
    }

    void changeDocuments()
    {
        if (m_choices() % 2 == 0)
            documents.serversRefusingWork = { documents.config.services[m_choices() % 2]
                                                      .groups[m_choices() % 2]
                                                      .servers[m_choices() % 3]
                                                      .name };
        for (const TestWriter::Change &write : std::exchange(writer.changes, {}))
            run([&](StepContext &context) { write.done(context, m_choices() % 2 == 0); });
    }

    void answerRandomPart()
    {
        if (m_open.empty())
            return;
        const std::size_t index = m_choices() % m_open.size();
        const PartRequest part = m_open[index];
        if (m_choices() % 4 != 0) // one in four is answered twice
            m_open.erase(m_open.begin() + static_cast<std::ptrdiff_t>(index));
        PartAnswer answer;
        answer.version = part.version;
        answer.body = part.body + "/" + part.group.value;
        static constexpr PartOutcome kOutcomes[] = { PartOutcome::Answered, PartOutcome::NotSent,
                                                     PartOutcome::ServerLost,
                                                     PartOutcome::MayHaveRun,
                                                     PartOutcome::VersionNotHeld };
        answer.outcome = kOutcomes[m_choices() % (part.repeatable ? 5 : 4)];
        answer.heldVersions = { { 7 } };
        const bool provesNotRun = answer.outcome == PartOutcome::NotSent
                || answer.outcome == PartOutcome::VersionNotHeld;
        // The first end is the truth; a second one is a duplicate from the network.
        if (provesNotRun && m_ended.insert(part.part).second)
            --m_expected[part.body].mayHaveRun;
        m_ended.insert(part.part);
        answerPart(part, answer);
    }

    void checkEffects()
    {
        for (PartRequest &part : takeSentParts()) {
            ExpectedOutcome &expected = m_expected.at(part.body);
            ++expected.mayHaveRun;
            REQUIRE((!expected.atMostOnce || expected.mayHaveRun == 1));
            m_open.push_back(std::move(part));
        }
        for (; m_checked < effects.size(); ++m_checked) {
            if (const auto *answer = std::get_if<AnswerCaller>(&effects[m_checked]))
                checkAnswer(*answer);
        }
    }

    void checkAnswer(const AnswerCaller &effect)
    {
        const std::string body = "body" + std::to_string(effect.caller.value);
        const ExpectedOutcome &expected = m_expected.at(body);
        const CallerAnswer &answer = effect.answer;
        REQUIRE(m_answered.insert(effect.caller).second);
        REQUIRE((answer.outcome != QueryOutcome::NotRun || expected.mayHaveRun == 0));
        REQUIRE((answer.outcome == QueryOutcome::Complete)
                == (answer.missing.empty() && !answer.parts.empty()));
        for (const AnsweredRange &part : answer.parts)
            REQUIRE(part.body == body + (part.from == "g" ? "/g1" : "/g0"));
        const std::size_t total = answer.parts.size() + answer.missing.size();
        REQUIRE((total == 0 || total == 1 || total == 3));
    }

    std::mt19937_64 m_choices;
    std::map<std::string, ExpectedOutcome> m_expected;
    std::vector<PartRequest> m_open;
    std::set<PartId> m_ended;
    std::set<CallerId> m_answered;
    std::size_t m_checked = 0;
};

} // namespace

// Guards against faults that only combinations of events show: double answers, bodies of another
// request, wrong coverage, untrue "not run", second runs and attempts that are never closed.
TEST_CASE("random faults break no promise to callers", "[query]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        MechanismSwitches mechanisms;
        mechanisms.quarantine = seed % 2 == 0;
        RandomRun run(seed, mechanisms);
        CAPTURE(seed);
        ALLOW_CALL(run.claims, claim(_, _, _, _, _))
                .LR_SIDE_EFFECT(
                        _5(_1, { ClaimResult::Verdict::Claimed, QueryReason::None, {}, "" }));
        ALLOW_CALL(run.claims, recordResult(_, _, _, _, _, _, _)).SIDE_EFFECT(_7(_1, true));
        ALLOW_CALL(run.claims, release(_, _, _));
        for (int step = 0; step < 300; ++step)
            run.applyRandomEvent();
        run.finish();
    }
}
