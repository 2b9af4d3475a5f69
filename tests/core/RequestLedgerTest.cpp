#include "core/ledger/RequestLedger.h"
#include "core/ledger/LedgerIdentifier.h"

#include <boost/json/object.hpp>
#include <catch2/catch.hpp>

#include <list>

using namespace greengagestair;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = ClaimResult::Verdict;

/** Unix time at which tests start, which is also the time in most identifiers. */
static constexpr std::uint64_t kStartSeconds = 1'796'342'400;

static const ServiceId kService { "order-ledger" };
static const IdempotencyKey kKey { std::to_string(kStartSeconds) + "-order" };

namespace {

/** A platform store that is shared by several hosts. */
struct FakeStore
{
    struct Value
    {
        Revision revision;
        std::string text;
    };

    decltype(PlatformFinished::result) apply(const CallPlatform &call)
    {
        ++calls;
        if (const auto *read = std::get_if<ReadKey>(&call.request)) {
            const auto found = values.find(read->key);
            if (found == values.end())
                return KeyAbsent { read->key };
            return KeyValue { read->key, found->second.revision, found->second.text };
        }
        const auto &write = std::get<WriteKey>(call.request);
        Value &value = values[write.key];
        if (value.revision != write.expected)
            return RevisionConflict { write.key, value.revision };
        value = { { value.revision.value + 1 }, write.value };
        return WriteAccepted { write.key, value.revision };
    }

    std::map<PlatformKey, Value> values;
    int calls = 0;
};

/**
 * Outcome of a platform call. The call takes effect with Answered and AnswerLost. AnswerLost and
 * Lost end with the same failure; the failure of NotSent states that the call was not sent.
 */
enum class CallOutcome { Answered, AnswerLost, Lost, NotSent };

/** The ledger of one host, with platform calls that are answered by the test. */
class TestHost : public PlatformAccess
{
public:
    TestHost(FakeStore &store, const std::string &name, MechanismSwitches mechanisms = {})
        : m_store(store)
        , m_ledger(optionsOf(name, mechanisms), *this)
    {
    }

    CallId call(StepContext &, decltype(CallPlatform::request) request, Duration timeout,
                PlatformHandler handler) override
    {
        const CallId id { ++m_lastCall };
        pending.push_back({ { id, timeout, std::move(request) }, std::move(handler) });
        return id;
    }

    Duration outageDuration(MonotonicTime) const override { return {}; }

    template <typename Step>
    void step(Step action)
    {
        Effects effects;
        const Instant instant { now, wall };
        StepContext context { instant, effects, counters, m_random };
        action(context);
        m_ledger.onTick(context);
    }

    void advance(Duration time)
    {
        now += time;
        wall += time;
        step([](StepContext &) {});
    }

    /** Ends the oldest platform call with this outcome. */
    void answer(CallOutcome callOutcome = CallOutcome::Answered)
    {
        REQUIRE_FALSE(pending.empty());
        const Pending done = std::move(pending.front());
        pending.pop_front();
        PlatformFinished finished { done.call.call,
                                    PlatformFailure { {}, callOutcome != CallOutcome::NotSent } };
        if (callOutcome == CallOutcome::Answered)
            finished.result = m_store.apply(done.call);
        if (callOutcome == CallOutcome::AnswerLost)
            m_store.apply(done.call);
        step([&](StepContext &context) { done.handler(context, finished); });
    }

    void answerAll()
    {
        while (!pending.empty())
            answer();
    }

    void claim(const IdempotencyKey &key = kKey, Duration deadline = seconds(2))
    {
        step([&](StepContext &context) {
            m_ledger.claim(context, kService, key, now + deadline, resultHandler());
        });
    }

    void findOutcome(Duration deadline = seconds(2))
    {
        step([&](StepContext &context) {
            m_ledger.findOutcome(context, kService, kKey, now + deadline, resultHandler());
        });
    }

    void recordResult(const std::string &body)
    {
        step([&](StepContext &context) {
            m_ledger.recordResult(context, kService, kKey, { 8 }, body, now + seconds(1),
                                  [this](StepContext &, bool recorded) {
                                      recordConfirmations.push_back(recorded);
                                  });
        });
    }

    void release()
    {
        step([&](StepContext &context) { m_ledger.release(context, kService, kKey); });
    }

    bool idle() const { return m_ledger.idle(); }
    MonotonicTime nextWakeUp() const { return m_ledger.nextWakeUp(); }

    /** Requires exactly one result since the last call of this function, and returns it. */
    ClaimResult result()
    {
        REQUIRE(results.size() == 1);
        const ClaimResult lastResult = results.front();
        results.clear();
        return lastResult;
    }

    struct Pending
    {
        CallPlatform call;
        PlatformHandler handler;
    };

    MonotonicTime now { seconds(100) };
    WallTime wall { seconds(kStartSeconds) };
    CounterSet counters;
    std::list<Pending> pending;
    std::vector<ClaimResult> results;
    /** Whether the record was confirmed, for each recordResult() call whose handler was called. */
    std::vector<bool> recordConfirmations;

private:
    static ReducerOptions optionsOf(const std::string &name, MechanismSwitches mechanisms)
    {
        ReducerOptions options;
        options.host = { name };
        options.incarnation = { 1 };
        options.mechanisms = mechanisms;
        return options;
    }

    ClaimHandler resultHandler()
    {
        return [this](StepContext &, const ClaimResult &claimResult) {
            results.push_back(claimResult);
        };
    }

    FakeStore &m_store;
    RequestLedger m_ledger;
    std::mt19937_64 m_random { 1 };
    std::uint64_t m_lastCall = 0;
};

} // namespace

static LedgerBucket bucketIn(const FakeStore &store)
{
    return LedgerBucket::parse(store.values.at(ledgerBucketKey(kService, kKey)).text).value();
}

static LedgerState stateIn(const FakeStore &store)
{
    const LedgerBucket bucket = bucketIn(store);
    const LedgerEntry *entry = bucket.find(kKey);
    REQUIRE(entry);
    return entry->state;
}

/** Identifiers that belong to the same bucket as kKey. */
static std::vector<IdempotencyKey> keysInSameBucket(std::size_t count)
{
    std::vector<IdempotencyKey> keys;
    for (int i = 0; keys.size() < count; ++i) {
        const IdempotencyKey key { kKey.value + std::to_string(i) };
        if (ledgerBucketKey(kService, key) == ledgerBucketKey(kService, kKey))
            keys.push_back(key);
    }
    return keys;
}

// Guards against running a request again although its result is recorded.
TEST_CASE("a recorded result is returned to every later request", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    TestHost b(store, "b");
    a.claim();
    a.answerAll();
    REQUIRE(a.result().verdict == Verdict::Claimed);
    b.claim();
    b.answerAll();
    REQUIRE(b.result().verdict == Verdict::MayHaveRun);
    const std::string body("\x00\"\xff", 3);
    a.recordResult(body);
    a.answerAll();
    REQUIRE(a.recordConfirmations == std::vector<bool> { true });
    for (TestHost *host : { &a, &b }) {
        host->advance(seconds(1));
        host->claim();
        host->answerAll();
        const ClaimResult result = host->result();
        REQUIRE(result.verdict == Verdict::Done);
        REQUIRE(result.body == body);
        REQUIRE(result.snapshot == IndexVersion { 8 });
        REQUIRE(host->idle());
    }
}

// Guards against a request that two hosts run, and against one that no host can run.
TEST_CASE("exactly one of two concurrent claims of an identifier succeeds", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    TestHost b(store, "b");
    a.claim();
    b.claim();
    a.answer();
    b.answer(); // both hosts have read the empty bucket
    a.answer();
    b.answer();
    b.answerAll();
    REQUIRE(a.result().verdict == Verdict::Claimed);
    const ClaimResult refusedClaim = b.result();
    REQUIRE(refusedClaim.verdict == Verdict::MayHaveRun);
    REQUIRE(refusedClaim.reason == QueryReason::ClaimedElsewhere);
    REQUIRE(b.counters.value("ledger_conflicts_total") == 1);
}

// Guards against overwriting the entries of another host after a conflict.
TEST_CASE("a write conflict keeps the entries of both hosts", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    TestHost b(store, "b");
    a.claim();
    b.claim(keysInSameBucket(1).front());
    a.answer();
    b.answer();
    a.answerAll();
    b.answerAll();
    REQUIRE(a.result().verdict == Verdict::Claimed);
    REQUIRE(b.result().verdict == Verdict::Claimed);
    REQUIRE(bucketIn(store).size() == 2);
}

// Guards against a host that takes its own claim for another host's after the answer to the write
// of the claim was lost.
TEST_CASE("a write without an answer is resolved by reading the bucket", "[ledger]")
{
    const CallOutcome callOutcome =
            GENERATE(CallOutcome::AnswerLost, CallOutcome::Lost, CallOutcome::NotSent);
    FakeStore store;
    TestHost a(store, "a");
    a.claim();
    a.answer();
    a.answer(callOutcome);
    REQUIRE(a.results.empty());
    a.advance(milliseconds(200));
    a.answerAll();
    REQUIRE(a.result().verdict == Verdict::Claimed);
    REQUIRE(bucketIn(store).find(kKey)->token.host == HostId { "a" });

    a.recordResult("body");
    a.answer(callOutcome);
    REQUIRE(a.recordConfirmations.empty());
    a.advance(milliseconds(200));
    a.answerAll();
    REQUIRE(a.recordConfirmations == std::vector<bool> { true });
    REQUIRE(stateIn(store) == LedgerState::Done);
}

// Guards against a refused claim that stays in the platform forever, and against a claim that is
// confirmed after it was refused. Without the refusalProof mechanism the claim is not released.
TEST_CASE("a claim that is not confirmed by its deadline is released", "[ledger]")
{
    const bool refusalProofEnabled = GENERATE(true, false);
    MechanismSwitches mechanisms;
    mechanisms.refusalProof = refusalProofEnabled;
    FakeStore store;
    TestHost a(store, "a", mechanisms);
    a.claim();
    a.answer();
    a.advance(seconds(2));
    const ClaimResult refused = a.result();
    REQUIRE(refused.verdict == Verdict::MayHaveRun);
    REQUIRE(refused.reason == QueryReason::DeadlinePassed);
    const CallOutcome callOutcome = GENERATE(CallOutcome::Answered, CallOutcome::AnswerLost);
    a.answer(callOutcome);
    a.advance(milliseconds(200));
    a.answerAll();
    REQUIRE(a.results.empty());
    REQUIRE(a.idle());
    REQUIRE(stateIn(store) == (refusalProofEnabled ? LedgerState::Released : LedgerState::Claimed));

    TestHost b(store, "b");
    b.claim();
    b.answerAll();
    REQUIRE(b.result().verdict == (refusalProofEnabled ? Verdict::Claimed : Verdict::MayHaveRun));
}

// Guards against a delayed write of a claim that takes effect after the claim was refused and
// released. No host would release it again.
TEST_CASE("a delayed claim cannot take effect after its release", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    a.claim();
    a.answer();
    const CallPlatform delayed = a.pending.front().call;
    a.answer(CallOutcome::Lost);
    a.advance(seconds(2));
    a.answerAll();
    REQUIRE(a.result().verdict == Verdict::MayHaveRun);
    REQUIRE(std::holds_alternative<RevisionConflict>(store.apply(delayed)));
    REQUIRE(stateIn(store) == LedgerState::Released);
}

// Guards against a "not run" answer that becomes wrong because a claim is written later.
TEST_CASE("a request that an outcome query reported as not run cannot be claimed", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    TestHost b(store, "b");
    a.claim();
    a.answer();
    b.findOutcome();
    b.answerAll();
    REQUIRE(b.result().verdict == Verdict::NotRun);
    a.answerAll();
    REQUIRE(a.result().verdict == Verdict::NotRun);
    REQUIRE(stateIn(store) == LedgerState::NotRun);
}

TEST_CASE("an outcome query returns the state of the request", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    TestHost b(store, "b");
    const auto outcome = [](TestHost &host) {
        host.advance(seconds(1));
        host.findOutcome();
        host.answerAll();
        return host.result().verdict;
    };
    a.claim(kKey, seconds(60));
    a.answerAll();
    a.results.clear();
    REQUIRE(outcome(a) == Verdict::MayHaveRun);
    REQUIRE(outcome(b) == Verdict::MayHaveRun);
    a.recordResult(std::string(5000, 'x')); // too long: the entry omits only the result
    a.answerAll();
    REQUIRE(outcome(a) == Verdict::MayHaveRun);
    b.findOutcome(milliseconds(500));
    b.advance(milliseconds(500));
    REQUIRE(b.result().verdict == Verdict::MayHaveRun);
}

// Guards against requests that hang or run during an outage of the platform.
TEST_CASE("during a platform outage claims are refused and results are not confirmed", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    a.claim();
    for (int i = 0; i < 3; ++i) { // the claim is refused after the third failed call
        REQUIRE(a.results.empty());
        a.answer(CallOutcome::NotSent);
        a.advance(milliseconds(100));
    }
    const ClaimResult refused = a.result();
    REQUIRE(refused.verdict == Verdict::MayHaveRun);
    REQUIRE(refused.reason == QueryReason::PlatformUnavailable);
    REQUIRE(a.idle());

    a.claim();
    a.answerAll();
    REQUIRE(a.result().verdict == Verdict::Claimed);
    a.recordResult("body");
    for (int i = 0; i < 60; ++i) { // one minute
        while (!a.pending.empty())
            a.answer(CallOutcome::Lost);
        a.advance(seconds(1));
    }
    REQUIRE(a.recordConfirmations == std::vector<bool> { false });
    // Only the first call can be a write, because the bucket is read again after a failure.
    REQUIRE(a.counters.value("ledger_failed_writes_total") <= 1);
    a.advance(seconds(5)); // the maximum delay between retries
    a.answerAll();
    REQUIRE(stateIn(store) == LedgerState::Done);
    REQUIRE(a.idle());
}

// Guards against a separate platform write for each request.
TEST_CASE("updates that arrive during a write are combined in the next one", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    a.claim();
    a.answer();
    for (const IdempotencyKey &key : keysInSameBucket(20))
        a.claim(key);
    REQUIRE(a.pending.size() == 1);
    a.answerAll();
    REQUIRE(a.results.size() == 21);
    REQUIRE(a.counters.value("ledger_writes_total") == 2);
}

// Guards against running two requests with the same identifier on one host.
TEST_CASE("a request waits for one with the same identifier on the same host", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    a.claim();
    a.claim();
    a.claim(kKey, seconds(20));
    a.answerAll();
    REQUIRE(a.result().verdict == Verdict::Claimed);
    SECTION("recorded")
    {
        a.recordResult("body");
        a.answerAll();
        REQUIRE(a.results.size() == 2);
        REQUIRE(a.results.back().verdict == Verdict::Done);
    }
    SECTION("released")
    {
        a.release();
        a.answerAll();
        REQUIRE(a.result().verdict == Verdict::Claimed);
        REQUIRE(stateIn(store) == LedgerState::Claimed);
    }
    SECTION("unknown")
    {
        // The claimed request is neither recorded nor released before its deadline.
        a.advance(seconds(2));
        REQUIRE(a.results.size() == 2);
        REQUIRE(a.results.back().verdict == Verdict::MayHaveRun);
        REQUIRE(a.idle());
    }
}

// Guards against claiming an identifier whose entry may have been removed: its request could run
// again.
TEST_CASE("identifiers outside the retention time are not claimed", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    const auto claimWithOffset = [&](std::int64_t offset, const std::string &suffix) {
        a.claim({ std::to_string(kStartSeconds + offset) + suffix });
        a.answerAll();
        return a.result();
    };
    // Identifiers are accepted up to 1 hour after and 5 minutes before the time that they contain.
    REQUIRE(claimWithOffset(-3601, "-x").reason == QueryReason::IdentifierExpired);
    REQUIRE(claimWithOffset(-3599, "-x").verdict == Verdict::Claimed);
    REQUIRE(claimWithOffset(299, "-x").verdict == Verdict::Claimed);
    REQUIRE(claimWithOffset(301, "-x").reason == QueryReason::IdentifierInFuture);
    REQUIRE(claimWithOffset(0, "-" + std::string(65, 'x')).reason == QueryReason::BadRequest);
    REQUIRE(claimWithOffset(0, "-").reason == QueryReason::BadRequest);
    REQUIRE(claimWithOffset(0, "").reason == QueryReason::BadRequest);
    a.claim();
    a.answerAll();
    a.results.clear();
    // The entry is kept until no host accepts its identifier: for 1 hour, and for 10 minutes more
    // in case the clock of a host is behind.
    const auto isKeptAfter = [&](Duration age) {
        a.advance(seconds(kStartSeconds) + age - a.wall.time_since_epoch());
        const std::int64_t now = std::chrono::floor<seconds>(a.wall).time_since_epoch().count();
        for (int i = 0; a.results.empty(); ++i) {
            const IdempotencyKey key { std::to_string(now) + "-" + std::to_string(i) };
            if (ledgerBucketKey(kService, key) != ledgerBucketKey(kService, kKey))
                continue;
            a.claim(key);
            a.answerAll();
        }
        a.results.clear();
        return bucketIn(store).find(kKey) != nullptr;
    };
    REQUIRE(isKeptAfter(std::chrono::minutes(70)));
    REQUIRE_FALSE(isKeptAfter(std::chrono::minutes(71)));
}

// Guards against a value above the platform's size limit: no host could write the bucket again.
TEST_CASE("a full bucket accepts no new claims but still accepts results", "[ledger]")
{
    FakeStore store;
    TestHost a(store, "a");
    a.claim();
    a.answerAll();
    a.results.clear();
    LedgerBucket full = bucketIn(store);
    LedgerEntry entry;
    entry.state = LedgerState::Done;
    // The largest numbers have the most digits, and each control character is escaped to 6 bytes.
    entry.token = { { "b" }, { ~0ULL }, ~0ULL };
    entry.snapshot = { ~0ULL };
    entry.time = WallTime(seconds(kStartSeconds));
    entry.body = std::string(4000, '\x01');
    // Fills the bucket above the limit for new entries and below the limit of a platform value.
    for (int i = 0; full.maxSerializedBytes() <= 980'000; ++i) {
        entry.key = { std::to_string(kStartSeconds) + "-" + std::to_string(i) };
        full.put(entry);
    }
    const std::string text = full.serialize();
    REQUIRE(text.size() <= full.maxSerializedBytes());
    store.values[ledgerBucketKey(kService, kKey)] = { { 7 }, text };
    a.advance(milliseconds(200));
    a.claim(keysInSameBucket(1).front());
    a.answerAll();
    REQUIRE(a.result().reason == QueryReason::Overloaded);
    a.recordResult(std::string(4000, '\x01'));
    a.answerAll();
    REQUIRE(a.recordConfirmations == std::vector<bool> { true });
    REQUIRE(store.values.at(ledgerBucketKey(kService, kKey)).text.size() < 1'000'000);
    REQUIRE(stateIn(store) == LedgerState::Done);
}

// Guards against overwriting a value that this build cannot parse, and so losing all its claims.
TEST_CASE("a malformed bucket is not overwritten", "[ledger]")
{
    FakeStore store;
    const std::string text = R"({"entries":[{"id":1}]})";
    store.values[ledgerBucketKey(kService, kKey)] = { { 7 }, text };
    TestHost a(store, "a");
    a.claim();
    for (int i = 0; i < 3; ++i) {
        a.answerAll();
        a.advance(milliseconds(100));
    }
    REQUIRE(a.result().verdict == Verdict::MayHaveRun);
    REQUIRE(store.values[ledgerBucketKey(kService, kKey)].text == text);
}

// Shows that guarantee R7 (a request runs at most once) depends on the claims mechanism.
TEST_CASE("without claims two hosts run the same request", "[ledger]")
{
    MechanismSwitches mechanisms;
    mechanisms.ledgerClaims = false;
    FakeStore store;
    TestHost a(store, "a", mechanisms);
    TestHost b(store, "b", mechanisms);
    a.claim();
    b.claim();
    REQUIRE(a.result().verdict == Verdict::Claimed);
    REQUIRE(b.result().verdict == Verdict::Claimed);
    REQUIRE(store.calls == 0);
}
