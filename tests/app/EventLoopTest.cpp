#include "app/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace greengagestair;

namespace {

/** Order of the calls at a stop. */
using Calls = std::vector<std::string>;

class FakeCallers : public CallerFrontEnd
{
public:
    explicit FakeCallers(Calls &calls)
        : m_calls(calls)
    {
    }

    void answer(const AnswerCaller &answer) override { answers.push_back(answer); }
    void stop() override { m_calls.emplace_back("callers"); }

    std::vector<AnswerCaller> answers;

private:
    Calls &m_calls;
};

class FakeBackends : public BackendClient
{
public:
    explicit FakeBackends(Calls &calls)
        : m_calls(calls)
    {
    }

    void send(const SendToBackend & /*request*/) override { }
    void cancel(const CancelBackend & /*request*/) override { }
    void stop() override { m_calls.emplace_back("backends"); }

private:
    Calls &m_calls;
};

/** A platform that is out. */
class FakePlatform : public PlatformClient
{
public:
    FakePlatform(Calls &calls, EventQueue &events)
        : m_calls(calls)
        , m_events(events)
    {
    }

    void call(const CallPlatform &request) override
    {
        m_events.post(PlatformFinished { request.call, PlatformFailure { {}, false } });
    }
    void stop() override { m_calls.emplace_back("platform"); }

private:
    Calls &m_calls;
    EventQueue &m_events;
};

class FakePeers : public PeerTransport
{
public:
    explicit FakePeers(Calls &calls)
        : m_calls(calls)
    {
    }

    void send(const HostId & /*host*/, const Endpoint & /*endpoint*/,
              const PeerMessage & /*message*/) override
    {
    }
    void stop() override { m_calls.emplace_back("peers"); }

private:
    Calls &m_calls;
};

class CountingRecorder : public StepRecorder
{
public:
    void finish(const Effects & /*effects*/) override { }
    void begin(const Instant &instant, const Event &event) override
    {
        REQUIRE(instant.now >= last);
        last = instant.now;
        if (std::holds_alternative<CallerRequest>(event))
            callers.push_back(std::get<CallerRequest>(event).caller.value);
        if (std::holds_alternative<Tick>(event))
            ++ticks;
    }

    MonotonicTime last;
    std::vector<std::uint64_t> callers;
    int ticks = 0;
};

/** The loop with adapters that reach nothing. */
struct Fixture
{
    static ReducerOptions options()
    {
        ReducerOptions options;
        options.host = { "shubra-1" };
        options.incarnation = { 1 };
        options.failureDomain = { "shubra" };
        options.peerEndpoint = { "127.0.1.1", 7400 };
        options.stopTimeout = std::chrono::milliseconds(500);
        return options;
    }

    LoopEnd run()
    {
        return loop.run({ callers, backends, platform, peers }, &recorder, [] {});
    }

    Calls calls;
    boost::asio::io_context context;
    EventLoop loop { context, options() };
    FakeCallers callers { calls };
    FakeBackends backends { calls };
    FakePlatform platform { calls, loop };
    FakePeers peers { calls };
    CountingRecorder recorder;
};

} // namespace

static CallerRequest request(std::uint64_t caller)
{
    return { { caller }, { "s" }, { "o" }, {}, {}, "", "" };
}

TEST_CASE("a stop ends the loop within its limit and stops the adapters in order", "[loop]")
{
    Fixture fixture;
    const auto begin = std::chrono::steady_clock::now();
    fixture.loop.post(StopRequested {});
    fixture.loop.post(StopRequested {});
    REQUIRE(fixture.run() == LoopEnd::Stopped);
    REQUIRE(fixture.calls == Calls { "callers", "backends", "platform", "peers" });
    REQUIRE(std::chrono::steady_clock::now() - begin < std::chrono::seconds(3));
}

TEST_CASE("events of one thread reach the reducer in order and none is lost", "[loop]")
{
    constexpr std::uint64_t kRequests = 2000;
    constexpr std::uint64_t kThreads = 3;
    Fixture fixture;
    std::thread poster([&] {
        std::vector<std::thread> threads;
        for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
            threads.emplace_back([&, thread] {
                for (std::uint64_t index = 0; index < kRequests; ++index)
                    fixture.loop.post(request(thread * kRequests + index + 1));
            });
        }
        for (std::thread &thread : threads)
            thread.join();
        fixture.loop.post(StopRequested {});
    });
    REQUIRE(fixture.run() == LoopEnd::Stopped);
    poster.join();
    REQUIRE(fixture.recorder.callers.size() == kRequests * kThreads);
    std::vector<std::uint64_t> last(kThreads, 0);
    for (const std::uint64_t caller : fixture.recorder.callers) {
        std::uint64_t &previous = last.at((caller - 1) / kRequests);
        REQUIRE(caller > previous);
        previous = caller;
    }
    REQUIRE(fixture.callers.answers.size() == kRequests * kThreads);
}

TEST_CASE("requests that arrive at the end of a stop are refused as not run", "[loop]")
{
    Fixture fixture;
    fixture.loop.post(StopRequested {});
    for (std::uint64_t caller = 1; caller <= 5; ++caller)
        fixture.loop.post(request(caller));
    fixture.loop.post(OutcomeQuery { { 6 }, { "s" }, { "1796342400-a" } });
    REQUIRE(fixture.run() == LoopEnd::Stopped);
    REQUIRE(fixture.callers.answers.size() == 6);
    for (const AnswerCaller &answer : fixture.callers.answers) {
        REQUIRE(answer.answer.reason == QueryReason::Stopping);
        const bool isQuery = answer.caller.value == 6;
        REQUIRE(answer.answer.outcome
                == (isQuery ? QueryOutcome::MayHaveRun : QueryOutcome::NotRun));
    }
}

TEST_CASE("the reducer is woken without any event from outside", "[loop]")
{
    Fixture fixture;
    std::thread stopper([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(700));
        fixture.loop.post(StopRequested {});
    });
    REQUIRE(fixture.run() == LoopEnd::Stopped);
    stopper.join();
    // The reducer sends heartbeats every 250 ms; a loop that spins would tick far more often.
    REQUIRE(fixture.recorder.ticks >= 3);
    REQUIRE(fixture.recorder.ticks < 300);
}
