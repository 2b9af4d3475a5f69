#include "standins/BackendServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace greengagestair::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/** One request on its way through the server. */
struct BackendServer::Job
{
    enum class State { Waiting, Running, Cancelled, Lost };

    explicit Job(asio::io_context &context)
        : timer(context)
    {
    }

    asio::steady_timer timer; ///< ends the present state; cancelled when the state changes
    State state = State::Waiting;
    std::string id;
    std::string echo; ///< field `key` of the body, repeated in the answer
    std::int64_t version = 0;
};

static HttpResponse unavailable(const char *reason)
{
    return { 503, { { "X-Reason", reason } }, {} };
}

/** Value of a string field of a JSON body, or an empty string. Fields are found by their text,
 * since parsing every body would slow the stand-in down. */
static std::string stringField(const std::string &body, std::string_view name)
{
    const auto quoted = "\"" + std::string(name) + "\":";
    const auto start = body.find(quoted);
    const auto open = start == std::string::npos ? start : body.find('"', start + quoted.size());
    const auto close = open == std::string::npos ? open : body.find('"', open + 1);
    return close == std::string::npos ? std::string {} : body.substr(open + 1, close - open - 1);
}

BackendServer::BackendServer(asio::io_context &context, ServerIdentity identity,
                             ServerOptions options, std::uint64_t seed,
                             std::shared_ptr<ExecutionLog> executions,
                             std::shared_ptr<const KeyRanges> ranges)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_options(options)
    , m_random(seed)
    , m_executions(std::move(executions))
    , m_ranges(std::move(ranges))
    , m_cold(options.startsCold)
{
}

void BackendServer::open()
{
    auto handler = [self = weak_from_this()](HttpRequest request) -> Answer {
        if (const auto server = self.lock())
            return server->answer(std::move(request));
        return [](HttpRequest) -> Answer { co_return std::nullopt; }(HttpRequest {});
    };
    if (!m_server) {
        m_server = HttpServer::create(m_context, m_identity.endpoint, std::move(handler),
                                      { m_options.connectionLimit, m_options.connectionCost });
    }
    m_server->open();
}

void BackendServer::kill()
{
    m_killed = true;
    loseWork();
    m_server->close();
}

void BackendServer::restart()
{
    m_killed = false;
    becomeCold();
    m_noticeEnd = {};
    m_server->open();
}

void BackendServer::turnCold()
{
    becomeCold();
    m_noticeEnd = Clock::now() + m_options.coldNotice;
}

void BackendServer::setDraining(bool draining)
{
    m_draining = draining;
    setLeaving(draining);
}

void BackendServer::setLeaving(bool leaving)
{
    m_leavingSince = leaving ? std::optional(Clock::now()) : std::nullopt;
}

void BackendServer::resetCounters()
{
    m_counters = {};
    m_server->resetCounters();
}

json::object BackendServer::report() const
{
    const auto &connections = m_server->counters();
    return { { "name", m_identity.name },
             { "service", m_identity.service },
             { "failureDomain", m_identity.failureDomain },
             { "cold", m_cold },
             { "draining", m_draining },
             { "inFlight", inFlight() },
             { "requests", m_counters.requests },
             { "executions", m_counters.executions },
             { "answers", m_counters.answers },
             { "shed", m_counters.shed },
             { "refusedDraining", m_counters.refusedDraining },
             { "refusedCold", m_counters.refusedCold },
             { "versionNotHeld", m_counters.versionNotHeld },
             { "deadlinePassed", m_counters.deadlinePassed },
             { "cancelled", m_counters.cancelled },
             { "falls", m_counters.falls },
             { "crashes", m_counters.crashes },
             { "aboveSlots", m_counters.aboveSlots },
             { "aboveColdLimit", m_counters.aboveColdLimit },
             { "aboveConnectionLimit", connections.refused },
             { "workAfterLeaving", m_counters.workAfterLeaving },
             { "mostInFlight", m_counters.mostInFlight },
             { "lastWorkAfterLeavingMs", m_counters.lastWorkAfterLeavingMs },
             { "connections", connections.accepted },
             { "mostConnections", connections.mostOpen } };
}

BackendServer::Answer BackendServer::answer(HttpRequest request)
{
    const auto self = shared_from_this();
    const auto path = request.path();
    if (path.starts_with("/parts/") && request.method == "POST")
        co_return co_await runPart(std::move(request));
    if (path.starts_with("/cancel/") && request.method == "POST") {
        cancel(path.substr(8));
        co_return HttpResponse { 204, {}, {} };
    }
    // Both endpoints mislead, as those of the real servers do: neither reflects the true state.
    if (path == "/health")
        co_return HttpResponse { 200, {}, R"({"status": "healthy"})" };
    if (path == "/load")
        co_return HttpResponse { 200, {}, R"({"inFlight": 0})" };
    co_return HttpResponse { 404, {}, {} };
}

BackendServer::Answer BackendServer::runPart(HttpRequest request)
{
    noteArrival();
    if (auto refused = refusal(request))
        co_return refused;
    if (m_cold && inFlight() >= m_options.coldLimit) {
        if (refusesForCold())
            co_return unavailable("cold");
        co_return std::nullopt;
    }
    if (inFlight() >= m_options.slots)
        ++m_counters.aboveSlots;
    if (inFlight() >= m_options.slots + m_options.waitingPlaces) {
        ++m_counters.shed;
        co_return unavailable("shed");
    }
    const auto deadline =
            Clock::now() + milliseconds(parseNumber(request.header("X-Deadline-Ms"), 60000));
    const auto job = std::make_shared<Job>(m_context);
    job->id = request.header("X-Request-Id");
    job->echo = stringField(request.body, "key");
    job->version = parseNumber(request.header("X-Index-Version"), m_versions.front());
    if (static_cast<int>(m_running.size()) < m_options.slots) {
        m_running.push_back(job);
        job->state = Job::State::Running;
    } else {
        m_waiting.push_back(job);
    }
    m_counters.mostInFlight = std::max(m_counters.mostInFlight, inFlight());
    if (job->state == Job::State::Waiting) {
        job->timer.expires_at(deadline);
        co_await job->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    bool inTime = false;
    if (job->state == Job::State::Running) {
        ++m_counters.executions;
        if (const auto once = stringField(request.body, "once"); !once.empty())
            ++(*m_executions)[once];
        if (request.body.find("\"crash\"") != std::string::npos) {
            ++m_counters.crashes;
            fallOver();
            co_return std::nullopt;
        }
        const auto end = Clock::now() + drawServiceTime();
        inTime = end <= deadline;
        job->timer.expires_at(std::min(end, deadline));
        co_await job->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (job->state == Job::State::Lost)
        co_return std::nullopt;
    if (job->state == Job::State::Cancelled)
        co_return HttpResponse { 503, { { "X-Reason", "cancelled" } }, {} };
    finish(job);
    if (!inTime) {
        ++m_counters.deadlinePassed;
        co_return HttpResponse { 504, {}, {} };
    }
    ++m_counters.answers;
    if (m_cold && ++m_answersSinceCold >= m_options.warmAnswers)
        m_cold = false;
    co_return partAnswer(*job);
}

std::optional<HttpResponse> BackendServer::refusal(const HttpRequest &request)
{
    if (m_draining) {
        ++m_counters.refusedDraining;
        return unavailable("draining");
    }
    const auto version = parseNumber(request.header("X-Index-Version"), m_versions.front());
    if (std::find(m_versions.begin(), m_versions.end(), version) == m_versions.end()) {
        ++m_counters.versionNotHeld;
        std::string held;
        for (const auto candidate : m_versions)
            held += (held.empty() ? "" : ",") + std::to_string(candidate);
        return HttpResponse { 409, { { "X-Held-Versions", held } }, {} };
    }
    if (parseNumber(request.header("X-Deadline-Ms"), 1) <= 0) {
        ++m_counters.deadlinePassed;
        return HttpResponse { 504, {}, {} };
    }
    return std::nullopt;
}

/** Decides about work above the cold limit: refuses it within the notice, else falls over. */
bool BackendServer::refusesForCold()
{
    if (Clock::now() < m_noticeEnd) {
        ++m_counters.refusedCold;
        return true;
    }
    ++m_counters.aboveColdLimit;
    ++m_counters.falls;
    fallOver();
    return false;
}

void BackendServer::noteArrival()
{
    ++m_counters.requests;
    if (!m_leavingSince)
        return;
    const auto since = Clock::now() - *m_leavingSince;
    m_counters.lastWorkAfterLeavingMs = std::chrono::duration_cast<milliseconds>(since).count();
    if (since > m_options.leaveGrace)
        ++m_counters.workAfterLeaving;
}

void BackendServer::finish(const std::shared_ptr<Job> &job)
{
    std::erase(m_waiting, job);
    std::erase(m_running, job);
    if (m_waiting.empty() || static_cast<int>(m_running.size()) >= m_options.slots)
        return;
    const auto next = m_waiting.front();
    m_waiting.pop_front();
    m_running.push_back(next);
    next->state = Job::State::Running;
    next->timer.cancel();
}

void BackendServer::cancel(const std::string &id)
{
    const auto hasId = [&](const std::shared_ptr<Job> &job) { return job->id == id; };
    std::shared_ptr<Job> job;
    if (const auto found = std::find_if(m_running.begin(), m_running.end(), hasId);
        found != m_running.end())
        job = *found;
    else if (const auto queued = std::find_if(m_waiting.begin(), m_waiting.end(), hasId);
             queued != m_waiting.end())
        job = *queued;
    if (!job)
        return;
    ++m_counters.cancelled;
    finish(job);
    job->state = Job::State::Cancelled;
    job->timer.cancel();
}

/** Goes down and comes back cold after the down time. */
void BackendServer::fallOver()
{
    loseWork();
    m_server->close();
    auto comeBack = [](std::shared_ptr<BackendServer> server) -> asio::awaitable<void> {
        co_await sleepFor(server->m_options.downTime);
        if (!server->m_killed)
            server->restart();
    };
    asio::co_spawn(m_context, comeBack(shared_from_this()), asio::detached);
}

void BackendServer::becomeCold()
{
    m_cold = true;
    m_answersSinceCold = 0;
}

void BackendServer::loseWork()
{
    const auto lose = [](const std::shared_ptr<Job> &job) {
        job->state = Job::State::Lost;
        job->timer.cancel();
    };
    std::for_each(m_running.begin(), m_running.end(), lose);
    std::for_each(m_waiting.begin(), m_waiting.end(), lose);
    m_running.clear();
    m_waiting.clear();
}

std::int64_t BackendServer::inFlight() const
{
    return static_cast<std::int64_t>(m_running.size() + m_waiting.size());
}

microseconds BackendServer::drawServiceTime()
{
    const auto median = static_cast<double>(m_options.serviceTime.count());
    std::lognormal_distribution<double> time(std::log(std::max(median, 1.0)),
                                             m_options.serviceSigma);
    const bool straggles = std::bernoulli_distribution(m_options.stragglerShare)(m_random);
    const double factor =
            (straggles ? m_options.stragglerFactor : 1) * (m_cold ? m_options.coldSlowdown : 1);
    return microseconds(std::llround(time(m_random) * factor));
}

HttpResponse BackendServer::partAnswer(const Job &job) const
{
    const auto ranges = m_ranges->find({ job.version, m_identity.group });
    std::string body = R"({"service":")" + m_identity.service + R"(","group":")" + m_identity.group
            + R"(","server":")" + m_identity.name + R"(","version":)" + std::to_string(job.version)
            + R"(,"echo":")" + job.echo + R"(","ranges":)"
            + (ranges == m_ranges->end() ? "[]" : ranges->second) + "}";
    return { 200,
             { { "X-Request-Id", job.id },
               { "X-Index-Version", std::to_string(job.version) },
               { "Content-Type", "application/json" } },
             std::move(body) };
}

} // namespace greengagestair::standins
