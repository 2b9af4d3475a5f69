#include "app/TraceJson.h"
#include "app/Replay.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <limits>
#include <sstream>

using namespace greengagestair;

static const std::uint64_t kLarge = std::numeric_limits<std::uint64_t>::max();
static const Endpoint kEndpoint { "127.0.1.1", 7400 };
static const Duration kTime(1'234'567);
static const Duration kLater(10'000'000);
static const std::string kBytes("quote\" line\n nul\0 byte\xff", 23);

static std::vector<PeerMessage> allMessages()
{
    return { Heartbeat { 1, { "d" }, { 2 }, true, true, { { { "k" }, { 3 } } } },
             HeartbeatAck { 1,
                            { kLarge },
                            { 2 },
                            GrantState::Failed,
                            { { { "m" }, GrantState::Granting } },
                            { { { "k" }, { 3 } } } },
             JoinRequest { { "d" }, kEndpoint },
             DocumentRequest { { "k" } },
             DocumentPush { { "k" }, { 4 }, kBytes },
             PartRequest { { 1 },
                           { "s" },
                           { "v" },
                           { "o" },
                           { "g" },
                           { 8 },
                           { kLarge },
                           Priority::Urgent,
                           kTime,
                           kTime,
                           false,
                           true,
                           true,
                           kBytes },
             PartCancel { { 1 } },
             PartAnswer { { 1 },
                          PartOutcome::VersionNotHeld,
                          PartReason::VersionNotHeld,
                          { 8 },
                          { { 7 }, { 6 } },
                          kTime,
                          kBytes } };
}

static std::vector<Event> allEvents()
{
    std::vector<Event> events = {
        CallerRequest { { 1 }, { "v" }, { "o" }, kTime, IdempotencyKey { "1-a" }, "r", kBytes },
        CallerRequest { { 2 }, { "v" }, { "o" }, {}, {}, "", "" },
        OutcomeQuery { { 1 }, { "v" }, { "1-a" } },
        CallerGone { { 1 } },
        PeerLost { { "h" } },
        BackendFinished { { 1 }, BackendStatus::TimedOut, { 2 }, { 8 }, { { 7 } }, kBytes },
        Tick {},
        StopRequested {}
    };
    for (const auto &result : std::vector<decltype(PlatformFinished::result)> {
                 KeyValue { { "k" }, { 3 }, kBytes }, KeyAbsent { { "k" } },
                 WriteAccepted { { "k" }, { 3 } }, RevisionConflict { { "k" }, { 3 } },
                 WatchExpired { { "k" } }, HostListAnswer { { 3 }, "{}" },
                 PlatformFailure { { "k" }, false } })
        events.emplace_back(PlatformFinished { { 9 }, result });
    for (const PeerMessage &message : allMessages())
        events.emplace_back(PeerReceived { { { "h" }, { 5 }, kEndpoint, message } });
    return events;
}

static Effects allEffects()
{
    Effects effects = { AnswerCaller { { 1 },
                                       { QueryOutcome::Partial,
                                         QueryReason::MissingParts,
                                         { "v" },
                                         { 8 },
                                         { { "", "g", kBytes } },
                                         { { "g", "", PartReason::Shed } } } },
                        SendToBackend { { 1 },
                                        { "s" },
                                        kEndpoint,
                                        { "v" },
                                        { "g" },
                                        { 8 },
                                        kTime,
                                        MonotonicTime(kTime),
                                        kBytes },
                        CancelBackend { { 1 }, { "s" }, kEndpoint },
                        LogStateChange { StateChangeKind::ServerCold, "s", kLarge },
                        FinishStop {} };
    for (const auto &request : std::vector<decltype(CallPlatform::request)> {
                 ReadKey { { "k" } }, WriteKey { { "k" }, { 3 }, kBytes },
                 WatchKey { { "k" }, { 3 }, kTime }, ListHosts {} })
        effects.emplace_back(CallPlatform { { 9 }, kTime, request });
    for (const PeerMessage &message : allMessages())
        effects.emplace_back(SendToPeer { { "h" }, kEndpoint, message });
    return effects;
}

TEST_CASE("every event and effect survives its JSON form", "[trace]")
{
    const Instant instant { MonotonicTime(kTime), WallTime(Duration(1'796'342'400'000'000)) };
    const Effects effects = allEffects();
    for (const Event &event : allEvents()) {
        const std::string line = encodeStep(instant, event, effects);
        REQUIRE(line.find('\n') == std::string::npos);
        const auto step = decodeStep(line);
        REQUIRE(step);
        REQUIRE(step->event.index() == event.index());
        REQUIRE(encodeStep(step->instant, step->event, step->effects) == line);
        if (const auto *received = std::get_if<PeerReceived>(&event))
            REQUIRE(std::get<PeerReceived>(step->event).envelope == received->envelope);
        if (const auto *request = std::get_if<CallerRequest>(&event))
            REQUIRE(std::get<CallerRequest>(step->event).body == request->body);
    }
}

TEST_CASE("the reducer's options survive their JSON form", "[trace]")
{
    ReducerOptions options;
    options.host = { "h" };
    options.incarnation = { kLarge };
    options.seeds = { kEndpoint };
    options.randomSeed = kLarge;
    options.mechanisms.coldRamp = false;
    const auto decoded = decodeOptions(encodeOptions(options));
    REQUIRE(decoded);
    REQUIRE(decoded->randomSeed == kLarge);
    REQUIRE_FALSE(decoded->mechanisms.coldRamp);
    REQUIRE(encodeOptions(*decoded) == encodeOptions(options));
}

TEST_CASE("lines that are not steps are refused", "[trace]")
{
    const std::string event = R"({"now":1,"wall":1,"effects":[],"event":)";
    for (const char *text :
         { "", "{", "[]", R"({"type":"NoSuchEvent"}})", R"({"type":"CallerGone"}})",
           R"({"type":"CallerGone","caller":-1}})", R"({"type":"CallerGone","caller":"1"}})" })
        REQUIRE_FALSE(decodeStep(event + text));
    REQUIRE(decodeStep(event + R"({"type":"CallerGone","caller":1}})"));
}

/** A trace as a process writes it. */
static std::string recordTrace()
{
    ReducerOptions options;
    options.host = { "shubra-1" };
    options.incarnation = { 7 };
    options.failureDomain = { "shubra" };
    options.peerEndpoint = kEndpoint;
    options.seeds = { { "127.0.1.2", 7400 } };
    Reducer reducer(options);
    std::string trace = encodeOptions(options) + "\n";
    for (int step = 0; step < 20; ++step) {
        const auto elapsed = std::chrono::milliseconds(step * 100);
        const Instant instant { MonotonicTime(kTime + elapsed), WallTime(kTime + elapsed) };
        const Event event = step % 5 == 1
                ? Event(CallerRequest { { 1U + step }, { "v" }, { "o" }, {}, {}, "", "body" })
                : Event(Tick {});
        trace += encodeStep(instant, event, reducer.handle(instant, event)) + "\n";
    }
    return trace;
}

static ReplayReport replayTexts(const std::string &trace, const std::string &expected)
{
    std::istringstream traceStream(trace);
    std::istringstream expectedStream(expected);
    const auto report = replay(traceStream, expectedStream);
    REQUIRE(report);
    return *report;
}

TEST_CASE("a replay gives the recorded effects, and shows the first that differ", "[trace]")
{
    const std::string trace = recordTrace();
    const auto same = replayTexts(trace, trace);
    REQUIRE(same.events == 20);
    REQUIRE_FALSE(same.difference);
    REQUIRE(replayTexts(trace + R"({"now":)", trace).endsInPartialLine);
    const std::string crashed = trace + encodeStepBegin({ MonotonicTime(kLater), {} }, Tick {});
    const auto repeated = replayTexts(crashed, crashed);
    REQUIRE(repeated.events == 21);
    REQUIRE(repeated.endsInPartialLine);
    REQUIRE_FALSE(repeated.difference);

    std::string changed = trace;
    const auto effects = changed.rfind("\"effects\":[") + std::string("\"effects\":[").size();
    const bool isEmpty = changed[effects] == ']';
    changed.insert(effects, R"({"type":"FinishStop"})" + std::string(isEmpty ? "" : ","));
    const auto different = replayTexts(trace, changed);
    REQUIRE(different.difference);
    REQUIRE(different.difference->line == 21);

    const auto shorter =
            replayTexts(trace, trace.substr(0, trace.rfind('\n', trace.size() - 2) + 1));
    REQUIRE(shorter.difference);
}

TEST_CASE("a trace that is no trace is reported with its line", "[trace]")
{
    std::istringstream trace(encodeOptions({}) + "\nnonsense\n");
    std::istringstream expected(encodeOptions({}) + "\nnonsense\n");
    const std::size_t line = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::size_t> {
                BOOST_LEAF_CHECK(replay(trace, expected));
                return std::size_t(0);
            },
            [](const ReplayMalformed &problem) { return problem.line; },
            [] { return std::size_t(0); });
    REQUIRE(line == 2);
}
