#include "GatewayFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

constexpr Duration kRuleWindow = 4s;

/** Requests that a server with this limit may get in some kRuleWindow. */
double allowedInWindow(double limit)
{
    const std::chrono::duration<double> seconds = kRuleWindow;
    return 1.5 * limit * seconds.count() + 5;
}

/** Answers lookups at a steady rate; one server names a limit in its responses. */
class LimitedServerRun
{
public:
    LimitedServerRun(GatewayFixture &fixture, ServerId server, double limit)
        : m_fixture(fixture)
        , m_server(std::move(server))
        , m_limit(limit)
    {
    }

    /** Sends a lookup every `interval` and answers its parts at once. */
    void run(Duration length, Duration interval)
    {
        const MonotonicTime end = m_fixture.now + length;
        while (m_fixture.now < end) {
            m_fixture.lookup();
            answerAll();
            m_fixture.wait(interval);
            answerAll();
        }
    }

    void setLimit(std::optional<double> limit) { m_limit = limit; }
    /** Most requests in some kRuleWindow since half a second after the first statement. */
    std::size_t worst() const { return m_worst; }
    std::size_t arrivals() const { return m_arrivals; }

private:
    void answerAll()
    {
        for (const StartAttempt &attempt : m_fixture.takeAttempts()) {
            BackendAnswer answer;
            answer.status = 200;
            answer.signature = "signature of " + attempt.server.value;
            if (attempt.server == m_server) {
                addArrival();
                answer.statement.requestLimit = m_limit;
            }
            m_fixture.send(AttemptEnded { attempt.attempt, answer });
        }
    }

    void addArrival()
    {
        ++m_arrivals;
        if (!m_firstStatedAt)
            m_firstStatedAt = m_fixture.now;
        if (m_fixture.now < *m_firstStatedAt + 500ms)
            return;
        m_window.push_back(m_fixture.now);
        while (m_window.front() + kRuleWindow < m_fixture.now)
            m_window.pop_front();
        m_worst = std::max(m_worst, m_window.size());
    }

    GatewayFixture &m_fixture;
    ServerId m_server;
    std::optional<double> m_limit;
    std::optional<MonotonicTime> m_firstStatedAt;
    std::deque<MonotonicTime> m_window;
    std::size_t m_worst = 0;
    std::size_t m_arrivals = 0;
};

} // namespace

// Guards against a limit that a server names in its responses and that is ignored: the server gets
// its share of the requests as before.
TEST_CASE("a server that names a limit gets no more requests than that",
          "[gateway][limit][.known-red]")
{
    GatewayFixture fixture;
    fixture.start();
    LimitedServerRun run(fixture, { "shard-0-shubra" }, 5);
    run.run(20s, 20ms);
    CHECK(static_cast<double>(run.worst()) <= allowedInWindow(5));
    CHECK(run.arrivals() >= 20);
}
