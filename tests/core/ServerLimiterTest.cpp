#include "core/sending/ServerLimiter.h"

#include <catch2/catch.hpp>

using namespace greengagestair;
using namespace std::chrono_literals;

/** 3 slots, a cold limit of 1, and 6 ms as the usual time of a part. */
static const ServerLimits kLimits { 3, 1, 6ms };

/** Reports `count` fast answers to the limiter and returns the time of the last one. */
static MonotonicTime addFastAnswers(ServerLimiter &limiter, MonotonicTime now, int count)
{
    for (int answer = 0; answer < count; ++answer) {
        now += 6ms;
        limiter.onAnswer(6ms, now);
    }
    return now;
}

TEST_CASE("the limit of a new server rises from the cold limit to its slots with fast answers",
          "[limiter]")
{
    ServerLimiter limiter(kLimits, MonotonicTime {});
    REQUIRE(limiter.limit(MonotonicTime {}, 0ms) == 1);
    MonotonicTime now =
            addFastAnswers(limiter, MonotonicTime {}, ServerLimiter::kFastAnswersPerIncrease);
    REQUIRE(limiter.limit(now, 0ms) == 2);
    now = addFastAnswers(limiter, now, 10 * ServerLimiter::kFastAnswersPerIncrease);
    REQUIRE(limiter.limit(now, 0ms) == 3);
    REQUIRE(limiter.isWarm());
}

TEST_CASE("a server that becomes cold is detected from its slow answers", "[limiter]")
{
    ServerLimiter limiter(kLimits, MonotonicTime {});
    MonotonicTime now =
            addFastAnswers(limiter, MonotonicTime {}, 3 * ServerLimiter::kFastAnswersPerIncrease);
    now += 40ms;
    limiter.onAnswer(40ms, now);
    REQUIRE(limiter.limit(now, 0ms) == 1);
    limiter.onAnswer(6ms, now + 6ms); // one slow answer lowers the limit only temporarily
    REQUIRE(limiter.limit(now + 6ms, 0ms) == 3);
    limiter.onAnswer(40ms, now + 50ms);
    limiter.onAnswer(40ms, now + 90ms);
    limiter.onAnswer(6ms, now + 96ms);
    REQUIRE(limiter.limit(now + 96ms, 0ms) == 1);
}

TEST_CASE("an overdue request or a long time without answers limits a warm server", "[limiter]")
{
    ServerLimiter limiter(kLimits, MonotonicTime {});
    const MonotonicTime now =
            addFastAnswers(limiter, MonotonicTime {}, 3 * ServerLimiter::kFastAnswersPerIncrease);
    REQUIRE(limiter.limit(now, 10ms) == 3);
    REQUIRE(limiter.limit(now, 60ms) == 1);
    REQUIRE(limiter.limit(now + ServerLimiter::kIdleBeforeColdLimit + 1ms, 0ms) == 1);
}

TEST_CASE("without the ramp a cold server gets requests for all its slots at once", "[limiter]")
{
    const ServerLimiter limiter(kLimits, MonotonicTime {}, false);
    REQUIRE(limiter.limit(MonotonicTime {}, 0ms) == 3);
}
