// load-generator FILE
//
// Sends requests to entry hosts at a given rate, regardless of how fast they are answered, and
// prints a JSON summary. FILE holds
//
// {"targets": ["127.0.1.1:7080"], "connections": 100, "rate": 200, "warmupS": 2, "durationS": 10,
//  "seed": 1, "classes": [{"path": "counter-lookup/lookup", "share": 1, "deadlineMs": 300,
//  "distinctBodies": 200, "order": false}]}
//
// `rate` is in requests per second. Bodies are drawn from a Zipf-like set; 0 distinct bodies means
// that every body differs; the others are first sent once to every target. The line "start" on
// stderr marks the beginning of the load. Latency counts from the planned time of a request, so
// that a late generator does not hide slow answers.

#include "standins/HttpConnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

namespace greengagestair::bench {

namespace asio = boost::asio;
namespace json = boost::json;
using standins::HttpConnection;
using standins::HttpRequest;
using standins::HttpResponse;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

// A balancer takes a host that failed out for a while.
static constexpr milliseconds kPauseAfterFailure { 500 };
// A request without an answer this long after its deadline counts as lost.
static constexpr milliseconds kAnswerGrace { 2000 };
// An answer this much later than its deadline counts as late: time of the way back to the caller.
static constexpr Milliseconds kLateMargin { 20 };

/** One kind of request. */
struct RequestClass
{
    std::string path;
    milliseconds deadline { 300 };
    int distinctBodies = 200;
    bool order = false;
    std::discrete_distribution<int> bodies;
};

struct Arrival
{
    std::size_t requestClass = 0;
    Clock::time_point planned;
    std::string key;
    HttpRequest request;
};

/** Results of one class, or of one second. */
struct Results
{
    std::uint64_t sent = 0;
    std::map<std::string, std::uint64_t> outcomes; ///< by outcome and reason
    std::map<std::string, std::uint64_t> missing;  ///< key ranges, by reason
    std::vector<double> completeMs;
    std::vector<double> answeredMs;
    std::uint64_t wrong = 0; ///< answers that contradict themselves or their request
    std::uint64_t lateUnlabelled = 0;
    double mostLateMs = 0;
    double coverageSum = 0;
    double leastCoverage = 1;
    std::map<std::int64_t, std::uint64_t> snapshots;
};

static json::object quantiles(std::vector<double> samples)
{
    std::sort(samples.begin(), samples.end());
    const auto at = [&](double share) -> json::value {
        if (samples.empty())
            return nullptr;
        const auto rank = static_cast<std::size_t>(share * static_cast<double>(samples.size()));
        return std::round(samples[std::min(rank, samples.size() - 1)] * 1000) / 1000;
    };
    return { { "count", samples.size() },
             { "p50", at(0.5) },
             { "p99", at(0.99) },
             { "p99.9", at(0.999) },
             { "max", at(1) } };
}

static json::object summary(const Results &results)
{
    json::object snapshots;
    for (const auto &[version, count] : results.snapshots)
        snapshots[std::to_string(version)] = count;
    const double answered =
            static_cast<double>(std::max<std::size_t>(results.answeredMs.size(), 1));
    return { { "sent", results.sent },
             { "outcomes", json::value_from(results.outcomes) },
             { "completeMs", quantiles(results.completeMs) },
             { "answeredMs", quantiles(results.answeredMs) },
             { "coverage", results.coverageSum / answered },
             { "leastCoverage", results.leastCoverage },
             { "missing", json::value_from(results.missing) },
             { "wrong", results.wrong },
             { "lateUnlabelled", results.lateUnlabelled },
             { "mostLateMs", results.mostLateMs },
             { "snapshots", std::move(snapshots) } };
}

/** Whether a part's body comes from the snapshot, holds the range and answers this request. */
static bool isRight(const json::object &part, std::int64_t snapshot, const std::string &key)
{
    const auto body = json::parse(part.at("body").as_string()).as_object();
    if (body.at("version").to_number<std::int64_t>() != snapshot)
        return false;
    if (body.at("echo").as_string() != key)
        return false;
    const auto &ranges = body.at("ranges").as_array();
    return std::any_of(ranges.begin(), ranges.end(), [&](const json::value &range) {
        return range.at("from") == part.at("from") && range.at("to") == part.at("to");
    });
}

/** Reads an answer with parts; returns its coverage. */
static double checkAnswer(const json::object &answer, const std::string &key, Results &results)
{
    const auto &coverage = answer.at("coverage").as_object();
    const auto total = coverage.at("total").to_number<std::size_t>();
    const auto covered = coverage.at("covered").to_number<std::size_t>();
    const auto snapshot = answer.at("snapshot").to_number<std::int64_t>();
    const auto &parts = answer.at("parts").as_array();
    ++results.snapshots[snapshot];
    for (const auto &range : coverage.at("missing").as_array())
        ++results.missing[std::string(range.at("reason").as_string())];
    const bool consistent = parts.size() == covered
            && covered + coverage.at("missing").as_array().size() == total
            && (answer.at("outcome").as_string() == "complete") == (covered == total);
    const bool right = std::all_of(parts.begin(), parts.end(), [&](const json::value &part) {
        return isRight(part.as_object(), snapshot, key);
    });
    if (!consistent || !right)
        ++results.wrong;
    return total == 0 ? 0 : static_cast<double>(covered) / static_cast<double>(total);
}

class LoadGenerator
{
public:
    LoadGenerator(asio::io_context &context, const json::object &plan)
        : m_context(context)
        , m_random(plan.at("seed").to_number<std::uint64_t>())
        , m_seed(plan.at("seed").to_number<std::uint64_t>())
        , m_rate(plan.at("rate").to_number<double>())
        , m_warmup(plan.at("warmupS").to_number<double>())
        , m_duration(plan.at("durationS").to_number<double>())
    {
        std::vector<double> shares;
        for (const auto &entry : plan.at("classes").as_array()) {
            RequestClass added;
            added.path = std::string(entry.at("path").as_string());
            added.deadline = milliseconds(entry.at("deadlineMs").to_number<int>());
            added.distinctBodies = entry.at("distinctBodies").to_number<int>();
            added.order = entry.at("order").as_bool();
            std::vector<double> weights;
            for (int i = 1; i <= std::max(added.distinctBodies, 1); ++i)
                weights.push_back(1.0 / i);
            added.bodies = std::discrete_distribution<int>(weights.begin(), weights.end());
            shares.push_back(entry.at("share").to_number<double>());
            m_classes.push_back(std::move(added));
        }
        m_choice = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
        m_results.resize(m_classes.size());
        const auto &targets = plan.at("targets").as_array();
        const auto connections = plan.at("connections").to_number<std::size_t>();
        for (std::size_t i = 0; i < connections; ++i) {
            const auto &target = targets[i % targets.size()].as_string();
            m_idle.push_back(
                    std::make_shared<HttpConnection>(m_context, standins::parseEndpoint(target)));
        }
    }

    /** Sends each body of the set once to every target, so that its signature is known there. */
    asio::awaitable<void> prime(std::string target)
    {
        const auto connection =
                std::make_shared<HttpConnection>(m_context, standins::parseEndpoint(target));
        for (const auto &requestClass : m_classes) {
            for (int i = 0; i < requestClass.distinctBodies; ++i) {
                ++m_arrivals;
                HttpRequest request { "POST", "/v1/services/" + requestClass.path, {}, {} };
                request.body = json::serialize(json::object { { "key", "k" + std::to_string(i) } });
                co_await connection->exchange(std::move(request));
            }
        }
        if (--m_priming == 0)
            asio::co_spawn(m_context, run(), asio::detached);
    }

    void start(const json::array &targets)
    {
        m_priming = targets.size();
        for (const auto &target : targets) {
            asio::co_spawn(m_context, prime(std::string(target.as_string())), asio::detached);
        }
    }

    std::string report() const
    {
        json::object classes;
        for (std::size_t i = 0; i < m_classes.size(); ++i)
            classes[m_classes[i].path] = summary(m_results[i]);
        json::array seconds;
        for (const auto &[second, results] : m_seconds) {
            json::object entry { { "second", second } };
            entry["sent"] = results.sent;
            entry["outcomes"] = json::value_from(results.outcomes);
            entry["leastCoverage"] = results.leastCoverage;
            entry["p99"] = quantiles(results.answeredMs).at("p99");
            seconds.push_back(std::move(entry));
        }
        return json::serialize(json::object { { "classes", std::move(classes) },
                                              { "seconds", std::move(seconds) },
                                              { "arrivals", m_arrivals },
                                              { "mostBehindMs", m_mostBehind.count() } });
    }

private:
    asio::awaitable<void> run()
    {
        std::exponential_distribution<double> gap(m_rate);
        asio::steady_timer timer(m_context);
        m_start = Clock::now();
        std::cerr << "start" << std::endl;
        auto planned = m_start;
        const auto end =
                m_start + std::chrono::duration_cast<Clock::duration>(m_warmup + m_duration);
        while (true) {
            planned += std::chrono::duration_cast<Clock::duration>(Seconds(gap(m_random)));
            if (planned >= end)
                break;
            auto arrival = makeArrival(planned);
            if (planned > Clock::now()) {
                timer.expires_at(planned);
                co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            }
            m_waiting.push_back(std::move(arrival));
            startNext();
        }
    }

    Arrival makeArrival(Clock::time_point planned)
    {
        Arrival arrival;
        arrival.requestClass = m_choice(m_random);
        arrival.planned = planned;
        auto &chosen = m_classes[arrival.requestClass];
        const auto number = std::to_string(++m_arrivals);
        arrival.key = chosen.distinctBodies > 0 ? "k" + std::to_string(chosen.bodies(m_random))
                                                : "d" + std::to_string(m_seed) + "-" + number;
        std::uniform_int_distribution<int> letter('a', 'z');
        const std::string routingKey { static_cast<char>(letter(m_random)),
                                       static_cast<char>(letter(m_random)) };
        arrival.request.method = "POST";
        arrival.request.target = "/v1/services/" + chosen.path;
        arrival.request.headers = { { "X-Deadline-Ms", std::to_string(chosen.deadline.count()) },
                                    { "X-Routing-Key", routingKey } };
        json::object body { { "key", arrival.key } };
        if (chosen.order) {
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            const auto unixSeconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
            const auto name = std::to_string(m_seed) + "-" + number;
            arrival.request.headers.emplace_back("Idempotency-Key",
                                                 std::to_string(unixSeconds) + "-" + name);
            body["once"] = name;
        }
        arrival.request.body = json::serialize(body);
        return arrival;
    }

    void startNext()
    {
        while (!m_waiting.empty() && !m_idle.empty()) {
            auto arrival = std::move(m_waiting.front());
            m_waiting.pop_front();
            auto connection = m_idle.front();
            m_idle.pop_front();
            const Milliseconds behind = Clock::now() - arrival.planned;
            m_mostBehind = std::max(m_mostBehind, behind);
            asio::co_spawn(m_context, send(std::move(arrival), std::move(connection)),
                           asio::detached);
        }
    }

    asio::awaitable<void> send(Arrival arrival, std::shared_ptr<HttpConnection> connection)
    {
        asio::steady_timer timer(m_context);
        timer.expires_at(arrival.planned + m_classes[arrival.requestClass].deadline + kAnswerGrace);
        timer.async_wait([connection](boost::system::error_code error) {
            if (!error)
                connection->close();
        });
        const auto response = co_await connection->exchange(std::move(arrival.request));
        timer.cancel();
        const Milliseconds latency = Clock::now() - arrival.planned;
        const Seconds at = arrival.planned - m_start - m_warmup;
        if (at.count() >= 0) {
            record(arrival, response, latency, m_results[arrival.requestClass]);
            record(arrival, response, latency, m_seconds[static_cast<int>(at.count())]);
        }
        if (!response)
            co_await standins::sleepFor(kPauseAfterFailure);
        m_idle.push_back(std::move(connection));
        startNext();
    }

    void record(const Arrival &arrival, const std::optional<HttpResponse> &response,
                Milliseconds latency, Results &results) const
    {
        ++results.sent;
        if (!response) {
            ++results.outcomes["connectionLost"];
            return;
        }
        const Milliseconds late = latency - m_classes[arrival.requestClass].deadline;
        results.mostLateMs = std::max(results.mostLateMs, late.count());
        results.answeredMs.push_back(latency.count());
        try {
            const auto answer = json::parse(response->body).as_object();
            std::string outcome(answer.at("outcome").as_string());
            double coverage = 0;
            if (response->status == 200)
                coverage = checkAnswer(answer, arrival.key, results);
            results.coverageSum += coverage;
            results.leastCoverage = std::min(results.leastCoverage, coverage);
            if (outcome == "complete") {
                results.completeMs.push_back(latency.count());
                if (late > kLateMargin)
                    ++results.lateUnlabelled;
            }
            const auto *reason = answer.if_contains("reason");
            if (outcome != "complete" && reason && reason->is_string())
                outcome += ":" + std::string(reason->as_string());
            ++results.outcomes[outcome];
        } catch (const std::exception &) {
            ++results.wrong;
            ++results.outcomes["http" + std::to_string(response->status)];
        }
    }

    asio::io_context &m_context;
    std::mt19937_64 m_random;
    std::uint64_t m_seed;
    double m_rate;
    Seconds m_warmup;
    Seconds m_duration;
    std::vector<RequestClass> m_classes;
    std::discrete_distribution<std::size_t> m_choice;
    std::vector<Results> m_results;
    std::map<int, Results> m_seconds;
    std::deque<std::shared_ptr<HttpConnection>> m_idle;
    std::deque<Arrival> m_waiting;
    std::uint64_t m_arrivals = 0;
    std::size_t m_priming = 0; ///< targets that have not got every body yet
    Clock::time_point m_start;
    Milliseconds m_mostBehind { 0 };
};

} // namespace greengagestair::bench

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: load-generator FILE\n";
        return 2;
    }
    try {
        std::ostringstream content;
        content << std::ifstream(argv[1]).rdbuf();
        const auto plan = boost::json::parse(content.str()).as_object();
        boost::asio::io_context context(1);
        greengagestair::bench::LoadGenerator generator(context, plan);
        generator.start(plan.at("targets").as_array());
        context.run();
        std::cout << generator.report() << '\n';
    } catch (const std::exception &error) {
        std::cerr << "load-generator: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
