#include "core/ledger/LedgerIdentifier.h"
#include "core/ledger/RequestLedger.h"

#include <boost/json/object.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

using namespace greengagestair;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = ClaimResult::Verdict;

static constexpr std::uint64_t kStartSeconds = 1'796'342'400;
static const ServiceId kService { "order-ledger" };

namespace {

/** Several ledgers that share one store, with platform calls that are delayed, lost or answered in
 * any order. */
class LedgerSimulation : public PlatformAccess
{
public:
    LedgerSimulation(std::uint64_t seed, MechanismSwitches mechanisms)
        : m_random(seed)
    {
        for (int i = 0; i < kHosts; ++i) {
            ReducerOptions options;
            options.host = { "host-" + std::to_string(i) };
            options.incarnation = { 1 };
            options.mechanisms = mechanisms;
            m_hosts.push_back(std::make_unique<RequestLedger>(options, *this));
        }
    }

    CallId call(StepContext &, decltype(CallPlatform::request) request, Duration,
                PlatformHandler handler) override
    {
        m_calls.push_back({ m_currentHost, std::move(request), std::move(handler) });
        return {};
    }

    Duration outageDuration(MonotonicTime) const override { return {}; }

    /** Runs requests with faults, then runs without faults until all requests have ended. */
    void run()
    {
        for (int i = 0; i < 400; ++i) {
            if (chance(0.3))
                startRequest();
            if (chance(0.9) && !m_calls.empty())
                endCall(m_calls.begin() + pick(m_calls.size()), chance(0.35));
            if (chance(0.3) && !m_delayedCalls.empty())
                applyDelayedCall();
            tick(milliseconds(pick(120)));
        }
        for (int i = 0; i < 4000 && !allIdle(); ++i) {
            while (!m_calls.empty())
                endCall(m_calls.begin(), false);
            tick(milliseconds(100));
        }
    }

    bool allIdle() const
    {
        return m_calls.empty() && std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &host) {
                   return host->idle();
               });
    }

    int violations = 0;
    int claimed = 0;
    int expectedCallbacks = 0;
    int callbacks = 0;

private:
    static constexpr int kHosts = 3;
    static constexpr int kKeys = 6;

    struct Call
    {
        int host = 0;
        decltype(CallPlatform::request) request;
        PlatformHandler handler;
    };

    /** Executions and outcome reports of the request with one identifier. */
    struct RequestHistory
    {
        int runs = 0;
        bool final = false; ///< a caller was answered that the request will never run
        bool running = false;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }

    std::ptrdiff_t pick(std::size_t count)
    {
        return static_cast<std::ptrdiff_t>(m_random() % count);
    }

    template <typename Action>
    void step(int host, Action action)
    {
        Effects effects;
        const Instant instant { m_now,
                                WallTime(seconds(kStartSeconds)) + m_now.time_since_epoch() };
        StepContext context { instant, effects, m_counters, m_random };
        m_currentHost = host;
        action(context, *m_hosts[static_cast<std::size_t>(host)]);
    }

    void tick(Duration time)
    {
        m_now += time;
        for (int host = 0; host < kHosts; ++host)
            step(host, [](StepContext &context, RequestLedger &ledger) { ledger.onTick(context); });
    }

    void startRequest()
    {
        const int host = static_cast<int>(pick(kHosts));
        const auto number = std::to_string(pick(kKeys));
        const IdempotencyKey key { std::to_string(kStartSeconds) + "-" + number };
        const MonotonicTime deadline = m_now + milliseconds(100 + pick(2000));
        const bool query = chance(0.1);
        ++expectedCallbacks;
        auto resultHandler = [this, host, key, query](StepContext &context,
                                                      const ClaimResult &result) {
            ++callbacks;
            check(key, result, query);
            if (result.verdict == Verdict::Claimed)
                runRequest(context, host, key);
        };
        step(host, [&](StepContext &context, RequestLedger &ledger) {
            query ? ledger.findOutcome(context, kService, key, deadline, resultHandler)
                  : ledger.claim(context, kService, key, deadline, resultHandler);
        });
    }

    void check(const IdempotencyKey &key, const ClaimResult &result, bool query)
    {
        RequestHistory &history = m_histories[key];
        const bool final = result.verdict == Verdict::NotRun && result.reason == QueryReason::None;
        const bool ran = history.runs > 0 || history.running;
        violations += final && ran ? 1 : 0;
        violations += query && result.verdict == Verdict::NotRun && !final ? 1 : 0;
        violations += result.verdict == Verdict::Done && result.body != key.value ? 1 : 0;
        history.final = history.final || final;
    }

    void runRequest(StepContext &context, int host, const IdempotencyKey &key)
    {
        RequestHistory &history = m_histories[key];
        RequestLedger &ledger = *m_hosts[static_cast<std::size_t>(host)];
        ++claimed;
        violations += history.runs > 0 || history.final ? 1 : 0;
        if (chance(0.3)) {
            ledger.release(context, kService, key);
            return;
        }
        ++history.runs;
        if (chance(0.2))
            return; // the outcome is never recorded
        ++expectedCallbacks;
        ledger.recordResult(context, kService, key, { 8 }, key.value, m_now + seconds(1),
                            [this](StepContext &, bool) { ++callbacks; });
    }

    decltype(PlatformFinished::result) apply(const decltype(CallPlatform::request) &request)
    {
        if (const auto *read = std::get_if<ReadKey>(&request)) {
            const KeyValue &value = m_store[read->key];
            if (value.revision.value == 0)
                return KeyAbsent { read->key };
            return KeyValue { read->key, value.revision, value.value };
        }
        const auto &write = std::get<WriteKey>(request);
        KeyValue &value = m_store[write.key];
        if (value.revision != write.expected)
            return RevisionConflict { write.key, value.revision };
        value = { write.key, { value.revision.value + 1 }, write.value };
        return WriteAccepted { write.key, value.revision };
    }

    /** Ends one call. With a fault, the answer is lost and the call takes effect now, later or
     * never. */
    void endCall(std::vector<Call>::iterator at, bool fault)
    {
        const Call call = std::move(*at);
        m_calls.erase(at);
        PlatformFinished finished { {}, PlatformFailure {} };
        if (!fault)
            finished.result = apply(call.request);
        else if (chance(0.4))
            m_delayedCalls.push_back(call.request);
        else if (chance(0.5))
            apply(call.request);
        else
            finished.result = PlatformFailure { {}, chance(0.5) };
        step(call.host,
             [&](StepContext &context, RequestLedger &) { call.handler(context, finished); });
    }

    void applyDelayedCall()
    {
        const auto at = m_delayedCalls.begin() + pick(m_delayedCalls.size());
        apply(*at);
        m_delayedCalls.erase(at);
    }

    std::mt19937_64 m_random;
    CounterSet m_counters;
    MonotonicTime m_now { seconds(10) };
    int m_currentHost = 0;
    std::vector<std::unique_ptr<RequestLedger>> m_hosts;
    std::vector<Call> m_calls;
    std::vector<decltype(CallPlatform::request)> m_delayedCalls;
    std::map<PlatformKey, KeyValue> m_store;
    std::map<IdempotencyKey, RequestHistory> m_histories;
};

} // namespace

// Guards against four faults under lost, delayed and reordered platform calls: a request that runs
// twice, a wrong final "not run" answer, a wrong result, and a handler that is not called exactly
// once.
TEST_CASE("requests run at most once under random faults", "[ledger][random]")
{
    int claimed = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        LedgerSimulation simulation(seed, {});
        simulation.run();
        INFO("seed " << seed);
        REQUIRE(simulation.violations == 0);
        REQUIRE(simulation.allIdle());
        REQUIRE(simulation.callbacks == simulation.expectedCallbacks);
        claimed += simulation.claimed;
    }
    REQUIRE(claimed > 1000);
}

// Shows that the check above detects requests that run twice if claims are disabled.
TEST_CASE("without claims requests run twice under random faults", "[ledger][random]")
{
    MechanismSwitches mechanisms;
    mechanisms.ledgerClaims = false;
    LedgerSimulation simulation(1, mechanisms);
    simulation.run();
    REQUIRE(simulation.violations > 0);
}
