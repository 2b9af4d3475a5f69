#include "EntryRoleFixture.h"

#include <boost/json.hpp>

using namespace greengagestair;
using namespace greengagestair::test;
using trompeloeil::_;

namespace {

/**
 * Applies random requests, part answers, lost servers, caller disconnects and document changes, and
 * checks every answer.
 */
class RandomRun : public EntryRoleFixture
{
public:
    RandomRun(std::uint64_t seed, MechanismSwitches mechanisms)
        : EntryRoleFixture(mechanisms)
        , m_generator(seed)
    {
    }

    void applyRandomEvent()
    {
        switch (m_generator() % 8) {
        case 0:
        case 1:
            sendRandomRequest();
            break;
        case 2:
            advanceTime(Duration(m_generator() % 20000));
            break;
        case 3:
            changeDocuments();
            break;
        case 4:
            if (m_generator() % 4 == 0)
                run([&](StepContext &context) {
                    engine.onCallerGone(context, { { m_generator() % (lastCaller + 1) } });
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
        advanceTime(2s); // passes the time for which late results are awaited (1 s)
        REQUIRE(engine.idle());
        REQUIRE(engine.dump(now).at("openAttempts").as_uint64() == 0);
    }

private:
    struct RequestRecord
    {
        MonotonicTime deadline;
        int possibleRuns = 0;
        bool atMostOnce = false;
    };

    void sendRandomRequest()
    {
        const std::uint64_t kind = m_generator() % 3;
        const std::string body = "body" + std::to_string(lastCaller + 1);
        m_records[body] = { now + 100ms, 0, kind == 2 };
        sendRequest(kind == 2 ? "book" : "find", kind == 0 ? "lookup" : "orders", body);
    }

    void changeDocuments()
    {
        if (m_generator() % 2 == 0)
            documents.serversRefusingWork = { documents.config.services[m_generator() % 2]
                                                      .groups[m_generator() % 2]
                                                      .servers[m_generator() % 3]
                                                      .name };
        for (const TestWriter::Change &write : std::exchange(writer.changes, {}))
            run([&](StepContext &context) { write.done(context, m_generator() % 2 == 0); });
    }

    void answerRandomPart()
    {
        if (m_openParts.empty())
            return;
        const std::size_t index = m_generator() % m_openParts.size();
        const PartRequest part = m_openParts[index];
        if (m_generator() % 4 != 0) // one part in four stays open for a second answer
            m_openParts.erase(m_openParts.begin() + static_cast<std::ptrdiff_t>(index));
        PartAnswer answer;
        answer.version = part.version;
        answer.body = part.body + "/" + part.group.value;
        static constexpr PartOutcome kOutcomes[] = { PartOutcome::Answered, PartOutcome::NotSent,
                                                     PartOutcome::ServerLost,
                                                     PartOutcome::MayHaveRun,
                                                     PartOutcome::VersionNotHeld };
        answer.outcome = kOutcomes[m_generator() % (part.repeatable ? 5 : 4)];
        answer.heldVersions = { { 7 } };
        const bool provesNotRun = answer.outcome == PartOutcome::NotSent
                || answer.outcome == PartOutcome::VersionNotHeld;
        // Only the first answer to an attempt counts; a second one is a duplicate from the network.
        if (provesNotRun && m_endedAttempts.insert(part.part).second)
            --m_records[part.body].possibleRuns;
        m_endedAttempts.insert(part.part);
        answerPart(part, answer);
    }

    void checkEffects()
    {
        for (PartRequest &part : takeSentParts()) {
            RequestRecord &record = m_records.at(part.body);
            ++record.possibleRuns;
            REQUIRE((!record.atMostOnce || record.possibleRuns == 1));
            m_openParts.push_back(std::move(part));
        }
        for (; m_checkedEffects < effects.size(); ++m_checkedEffects) {
            if (const auto *answer = std::get_if<AnswerCaller>(&effects[m_checkedEffects]))
                checkAnswer(*answer);
        }
    }

    void checkAnswer(const AnswerCaller &effect)
    {
        const std::string body = "body" + std::to_string(effect.caller.value);
        const RequestRecord &record = m_records.at(body);
        const CallerAnswer &answer = effect.answer;
        REQUIRE(m_answeredCallers.insert(effect.caller).second);
        REQUIRE((answer.outcome != QueryOutcome::NotRun || record.possibleRuns == 0));
        REQUIRE((answer.outcome == QueryOutcome::Complete)
                == (answer.missing.empty() && !answer.parts.empty()));
        for (const AnsweredRange &part : answer.parts)
            REQUIRE(part.body == body + (part.from == "g" ? "/g1" : "/g0"));
        // An answer lists no range, the range of the routing key, or all three ranges.
        const std::size_t total = answer.parts.size() + answer.missing.size();
        REQUIRE((total == 0 || total == 1 || total == 3));
    }

    std::mt19937_64 m_generator;
    std::map<std::string, RequestRecord> m_records;
    std::vector<PartRequest> m_openParts;
    std::set<PartId> m_endedAttempts;
    std::set<CallerId> m_answeredCallers;
    std::size_t m_checkedEffects = 0;
};

} // namespace

// Guards against faults that only combinations of events cause: double answers, bodies of another
// request, wrong coverage, a wrong "not run", second executions and attempts that are never closed.
TEST_CASE("answers are correct under random faults", "[query]")
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
