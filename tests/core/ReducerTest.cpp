#include "greengagestair/Reducer.h"

#include <catch2/catch.hpp>

#include <deque>
#include <optional>

using namespace greengagestair;
using namespace std::chrono_literals;

/** Answers a call of a host whose platform holds only malformed documents. Watches get no answer,
 * because their timeout is longer than the test. */
static std::optional<PlatformFinished> answerWithoutConfiguration(const CallPlatform &call)
{
    if (std::holds_alternative<ListHosts>(call.request))
        return PlatformFinished { call.call, HostListAnswer { { 1 }, R"({"hosts": []})" } };
    if (const auto *read = std::get_if<ReadKey>(&call.request))
        return PlatformFinished { call.call, KeyValue { read->key, { 1 }, "not a document" } };
    if (const auto *write = std::get_if<WriteKey>(&call.request))
        return PlatformFinished { call.call, RevisionConflict { write->key, { 1 } } };
    return std::nullopt;
}

// Guards against a busy loop: while the only configuration in the platform was malformed,
// nextWakeUp() returned a time in the past again and again.
TEST_CASE("a host without a usable configuration waits between its attempts to read one",
          "[reducer]")
{
    ReducerOptions options;
    options.host = { "shubra-1" };
    options.incarnation = { 1 };
    options.failureDomain = { "shubra" };
    options.peerEndpoint = { "127.0.1.1", 7400 };
    Reducer reducer(options);
    MonotonicTime now { 1s };
    const MonotonicTime end = now + 10s;
    int events = 0;
    std::deque<Event> pending { Tick {} };
    while (now < end && events < 5000) {
        const Event event = pending.empty() ? Event { Tick {} } : pending.front();
        if (!pending.empty())
            pending.pop_front();
        ++events;
        for (const Effect &effect : reducer.handle({ now, WallTime { 1h } }, event)) {
            const auto *call = std::get_if<CallPlatform>(&effect);
            const auto answer = call ? answerWithoutConfiguration(*call) : std::nullopt;
            if (answer)
                pending.emplace_back(*answer);
        }
        now = std::max(now + 1ms, pending.empty() ? reducer.nextWakeUp() : now);
    }
    REQUIRE(events < 2000);
    REQUIRE_FALSE(reducer.isReady());
}
