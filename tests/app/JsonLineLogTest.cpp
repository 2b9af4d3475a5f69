#include "app/JsonLineLog.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

/** A pipe whose reader is the test. */
class Pipe
{
public:
    Pipe() { REQUIRE(pipe(m_ends.data()) == 0); }
    ~Pipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    int writer() const { return m_ends[1]; }
    std::string readAll()
    {
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65536> buffer {};
        for (ssize_t count = 1; count > 0;) {
            count = read(m_ends[0], buffer.data(), buffer.size());
            if (count > 0)
                text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

private:
    std::array<int, 2> m_ends {};
};

} // namespace

static Instant at(Duration time)
{
    return { MonotonicTime(time), WallTime(time) };
}

TEST_CASE("a line is one JSON object with host, event and fields", "[app]")
{
    Pipe pipe;
    JsonLineLog log(pipe.writer(), "edge-1");
    log.write({ LogPriority::Failure, "refused", { { "requestId", "a\"b\n" } } }, at(1s));
    log.flush();
    const std::string text = pipe.readAll();
    REQUIRE(text.ends_with("\n"));
    const auto line = boost::json::parse(text.substr(0, text.size() - 1)).as_object();
    CHECK(line.at("host") == "edge-1");
    CHECK(line.at("event") == "refused");
    CHECK(line.at("requestId") == "a\"b\n");
}

// Guards against a write for each line while a request is in progress.
TEST_CASE("lines are written together, at a flush or once there are many", "[app]")
{
    Pipe pipe;
    JsonLineLog log(pipe.writer(), "edge-1");
    for (int i = 0; i < 3; ++i)
        log.write({ LogPriority::State, "event", {} }, at(1s));
    CHECK(pipe.readAll().empty());
    CHECK(log.hasKeptLines());
    log.flush();
    CHECK_FALSE(log.hasKeptLines());
    const std::string lines = pipe.readAll();
    CHECK(std::count(lines.begin(), lines.end(), '\n') == 3);

    for (int i = 0; i < 40; ++i)
        log.write({ LogPriority::State, "event", { { "text", std::string(1000, 'x') } } }, at(2s));
    CHECK(pipe.readAll().size() > 32'000);
}

// Guards against an event loop that waits for the reader of its log.
TEST_CASE("a full pipe drops lines, counts them and never blocks", "[app]")
{
    Pipe pipe;
    JsonLineLog log(pipe.writer(), "edge-1");
    const std::string text(2000, 'x');
    for (int i = 0; i < 1000; ++i)
        log.write({ LogPriority::State, "event", { { "text", text } } }, at(i * 1s));
    CHECK(log.counters().overflow > 0);
    CHECK(log.counters().written + log.counters().overflow == 1000);
    pipe.readAll();
    log.flush();
    log.write({ LogPriority::State, "after", {} }, at(2000s));
    std::string rest;
    for (std::string more = pipe.readAll(); !more.empty(); more = pipe.readAll()) {
        rest += more;
        log.flush();
    }
    CHECK(rest.find("\"after\"") != std::string::npos);
}

// Guards against details of served requests that crowd out the lines of failed ones.
TEST_CASE("each weight has a rate of its own", "[app]")
{
    Pipe pipe;
    JsonLineLog log(pipe.writer(), "edge-1");
    for (int i = 0; i < 5000; ++i) {
        log.write({ LogPriority::Detail, "detail", {} }, at(1s + i * 1ms));
        pipe.readAll();
    }
    const std::uint64_t dropped = log.counters().overRate;
    CHECK(dropped > 4500);
    log.write({ LogPriority::Failure, "failure", {} }, at(6s));
    CHECK(log.counters().overRate == dropped);
    log.flush();
    CHECK(pipe.readAll().find("failure") != std::string::npos);
}
