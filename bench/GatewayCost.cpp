// Measures the processor time of a gateway for one gathering request, by stage: choosing servers
// for its parts, the results of the attempts, and the search for the next timer after each event. A
// second table has the time of a connection pool for one part, whose server runs on another thread.
// Under `valgrind --tool=callgrind` the counts of instructions hardly differ between runs.

#include "gateway/Gateway.h"
#include "http/BackendConnectionPool.h"
#include "http/ResponseObserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <ctime>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace greengagestair;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr int kDomains = 6;
constexpr int kServersPerService = 3;
constexpr int kHosts = 300;
constexpr Duration kPartTime = 6ms;
constexpr Duration kRequestInterval = 200ms;
constexpr std::size_t kRecordsPerPart = 6;

/** Processor time that the calling thread has used. */
std::chrono::nanoseconds threadTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

double microseconds(std::chrono::nanoseconds time, std::size_t count)
{
    return std::chrono::duration<double, std::micro>(time).count() / static_cast<double>(count);
}

FailureDomainId domainName(int domain)
{
    return { "domain-" + std::to_string(domain) };
}

/** A gateway without network, in virtual time; every attempt is answered after kPartTime. */
class GatewayCost
{
public:
    GatewayCost(std::size_t parts, std::size_t services);

    void run(std::size_t requests);

private:
    struct OpenAttempt
    {
        MonotonicTime answerAt;
        AttemptId attempt;
    };

    static GatewayOptions options();
    void handle(const GatewayEvent &event, std::chrono::nanoseconds &spent);
    void advanceTo(MonotonicTime time);
    void sendRequest();
    void resetCounts();

    std::size_t m_parts;
    Gateway m_gateway;
    MonotonicTime m_now { 1s };
    std::optional<MonotonicTime> m_wakeUp;
    std::deque<OpenAttempt> m_open;
    std::string m_records;
    std::uint64_t m_requests = 0;
    std::size_t m_attempts = 0;
    std::size_t m_complete = 0;
    std::chrono::nanoseconds m_choosing {};
    std::chrono::nanoseconds m_answers {};
    std::chrono::nanoseconds m_timers {};
    std::chrono::nanoseconds m_nextTimer {};
};

GatewayOptions GatewayCost::options()
{
    GatewayOptions options;
    options.selector.host = { "host-0" };
    options.selector.failureDomain = domainName(0);
    options.repeats.slack = 600;
    options.randomSeed = 1;
    return options;
}

GatewayCost::GatewayCost(std::size_t parts, std::size_t services)
    : m_parts(parts)
    , m_gateway(options())
    , m_records(kRecordsPerPart * 16, 'r')
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    GatewayRoute route;
    route.name = "lookup";
    route.host = "lookup.example";
    route.prefix = "/find/";
    route.repeatable = true;
    route.timeout = 500ms;
    route.latencyTarget = 50ms;
    route.maxAttempts = 2;
    GatherPolicy gather;
    gather.topRecords = 5;
    gather.minCoverage = 0.8;
    RegistrationsRead servers;
    for (std::size_t index = 0; index < services; ++index) {
        BackendService service;
        service.name = { "shard-" + std::to_string(index) };
        service.connectionLimit = 200;
        configuration.services.emplace(service.name, service);
        if (index < parts)
            gather.services.push_back(service.name);
        for (int server = 0; server < kServersPerService; ++server) {
            BackendRegistration registration;
            registration.server = { "server-"
                                    + std::to_string(index * kServersPerService
                                                     + static_cast<std::size_t>(server)) };
            registration.service = service.name;
            registration.endpoint = {
                "10.1." + std::to_string(index) + "." + std::to_string(server), 8000
            };
            registration.failureDomain = domainName(server);
            registration.slots = 4;
            registration.startedAt = 1;
            servers.registrations.push_back(registration);
        }
    }
    route.gather = gather;
    configuration.routes.push_back(route);
    HostsRead hosts;
    for (int host = 0; host < kHosts; ++host)
        hosts.hosts.push_back(
                { { "host-" + std::to_string(host) }, domainName(host % kDomains), {}, 20 });
    std::chrono::nanoseconds unused {};
    handle(hosts, unused);
    handle(ConfigurationRead { std::make_shared<const RoutingConfiguration>(
                   std::move(configuration)) },
           unused);
    handle(servers, unused);
}

void GatewayCost::handle(const GatewayEvent &event, std::chrono::nanoseconds &spent)
{
    auto begin = threadTime();
    const GatewayEffects effects = m_gateway.handle(event, m_now);
    auto end = threadTime();
    spent += end - begin;
    begin = threadTime();
    m_wakeUp = m_gateway.nextWakeUp();
    m_nextTimer += threadTime() - begin;
    for (const GatewayEffect &effect : effects) {
        if (const auto *attempt = std::get_if<StartAttempt>(&effect)) {
            ++m_attempts;
            m_open.push_back({ m_now + kPartTime, attempt->attempt });
        } else if (const auto *reply = std::get_if<ReplyToCaller>(&effect)) {
            const auto *merged = std::get_if<MergedReply>(&reply->reply);
            m_complete += merged && merged->missingParts == 0 ? 1 : 0;
        }
    }
}

void GatewayCost::advanceTo(MonotonicTime time)
{
    while (true) {
        const bool isTimerNext = m_wakeUp && *m_wakeUp <= time
                && (m_open.empty() || *m_wakeUp < m_open.front().answerAt);
        if (isTimerNext) {
            m_now = std::max(m_now, *m_wakeUp);
            handle(TimeAdvanced {}, m_timers);
            continue;
        }
        if (m_open.empty() || m_open.front().answerAt > time)
            break;
        m_now = m_open.front().answerAt;
        BackendAnswer answer;
        answer.status = 200;
        answer.signature = "signature of the server";
        answer.body = m_records;
        const AttemptId attempt = m_open.front().attempt;
        m_open.pop_front();
        const GatewayEvent event = AttemptEnded { attempt, std::move(answer) };
        handle(event, m_answers);
    }
    m_now = time;
}

void GatewayCost::sendRequest()
{
    auto request = std::make_shared<GatewayRequest>();
    request->method = "GET";
    request->target = "/find/elbow";
    request->host = "lookup.example";
    request->requestId = "id-" + std::to_string(++m_requests);
    request->deadline = 500ms;
    const GatewayEvent event = RequestReceived { { m_requests }, request };
    handle(event, m_choosing);
    while (m_gateway.hasUnsentParts())
        handle(TimeAdvanced {}, m_choosing);
    advanceTo(m_now + kRequestInterval);
}

void GatewayCost::resetCounts()
{
    m_attempts = m_complete = 0;
    m_choosing = m_answers = m_timers = m_nextTimer = {};
}

void GatewayCost::run(std::size_t requests)
{
    advanceTo(m_now + 20s);
    for (std::size_t i = 0; i < requests / 4 + 1; ++i)
        sendRequest();
    resetCounts();
    for (std::size_t i = 0; i < requests; ++i)
        sendRequest();
    const std::size_t parts = requests * m_parts;
    std::printf("%5zu %9zu %9.2f %9.2f %9.2f %9.2f %9.2f %9.2f\n", m_parts, m_attempts / requests,
                microseconds(m_choosing, parts), microseconds(m_answers, parts),
                microseconds(m_timers, parts), microseconds(m_nextTimer, parts),
                microseconds(m_choosing + m_answers + m_timers + m_nextTimer, parts),
                microseconds(m_choosing + m_answers + m_timers + m_nextTimer, requests) / 1000);
    if (m_complete != requests)
        std::printf("      only %zu of %zu requests were complete\n", m_complete, requests);
}

/** Answers every request that it reads with the same response. */
class AnsweringServer
{
public:
    AnsweringServer()
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_thread([this] {
            accept();
            m_context.run();
        })
    {
    }
    ~AnsweringServer()
    {
        m_context.stop();
        m_thread.join();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    struct Connection
    {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::asio::streambuf received;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error)
                return;
            socket.set_option(tcp::no_delay(true));
            serve(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(
                connection->socket, connection->received, "\r\n\r\n",
                [this, connection](const boost::system::error_code &error, std::size_t bytes) {
                    if (error)
                        return;
                    connection->received.consume(bytes);
                    boost::system::error_code ignored;
                    boost::asio::write(connection->socket, boost::asio::buffer(m_response),
                                       ignored);
                    serve(connection);
                });
    }

    const std::string m_response = "HTTP/1.1 200 OK\r\n"
                                   "Signature: signature-of-the-server\r\n"
                                   "Content-Type: application/octet-stream\r\n"
                                   "Keep-Alive: timeout=10\r\n"
                                   "Content-Length: 96\r\n\r\n"
            + std::string(96, 'r');
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

class IgnoringObserver : public ResponseObserver
{
public:
    void onMalformedResponse(const MalformedResponse &) override { }
};

HeaderNames headerNames()
{
    HeaderNames names;
    names.requestId = "Request-Id";
    names.deadline = "Deadline";
    names.expectedServer = "Expected-Server";
    names.signature = "Signature";
    names.notExecuted = "Not-Executed";
    return names;
}

/** Prints the processor time of a part on kept connections and on new ones. */
void measurePool(std::size_t parts, std::size_t rounds, bool isKept)
{
    AnsweringServer server;
    boost::asio::io_context context;
    IgnoringObserver observer;
    std::size_t ended = 0;
    std::size_t answered = 0;
    BackendConnectionPool pool(
            context, headerNames(),
            [&](AttemptId, const AttemptResult &result) {
                ++ended;
                answered += std::holds_alternative<BackendAnswer>(result) ? 1 : 0;
            },
            [](const ServerId &, bool) {}, [](const ServerId &) {}, observer);
    std::chrono::nanoseconds sending {};
    std::chrono::nanoseconds all {};
    std::uint64_t attempts = 0;
    for (std::size_t round = 0; round <= rounds; ++round) {
        auto request = std::make_shared<GatewayRequest>();
        request->method = "GET";
        request->target = "/find/elbow";
        request->host = "lookup.example";
        request->requestId = "id-" + std::to_string(round);
        request->headers = { { "Host", "lookup.example" },
                             { "Request-Id", request->requestId },
                             { "Accept", "*/*" } };
        const bool isWarmUp = round == 0;
        const auto begin = threadTime();
        for (std::size_t part = 0; part < parts; ++part) {
            pool.start({ { ++attempts },
                         { "server-" + std::to_string(part) },
                         { "127.0.0.1", server.port() },
                         request,
                         500ms,
                         {},
                         {} });
        }
        const auto sent = threadTime();
        while (ended < attempts)
            context.run_one();
        if (!isWarmUp) {
            sending += sent - begin;
            all += threadTime() - begin;
        }
        if (!isKept) {
            for (std::size_t part = 0; part < parts; ++part)
                pool.closeIdleConnections({ "server-" + std::to_string(part) });
        }
    }
    std::printf("%5zu %11s %9.2f %9.2f\n", parts, isKept ? "kept" : "new",
                microseconds(sending, rounds * parts), microseconds(all - sending, rounds * parts));
    if (answered != attempts)
        std::printf("      only %zu of %zu parts were answered\n", answered,
                    static_cast<std::size_t>(attempts));
    pool.stop();
}

} // namespace

/** Arguments: requests for each line of the tables (default 200). */
int main(int argc, char **argv)
{
    const std::size_t requests = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 200;
    std::puts("Decisions, microseconds for each part (last column: milliseconds for each request)");
    std::puts("parts  attempts  choosing   answers    timers nextTimer       all   request");
    for (const std::size_t parts : { 10U, 90U, 225U })
        GatewayCost(parts, 225).run(requests);
    std::puts("Connections, microseconds for each part");
    std::puts("parts connections   sending   reading");
    for (const std::size_t parts : { 10U, 90U, 225U }) {
        measurePool(parts, requests, true);
        measurePool(parts, requests / 4 + 1, false);
    }
    return 0;
}
