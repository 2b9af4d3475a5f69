#include "GatewayFixture.h"

#include <deque>

using namespace greengagestair;

namespace {

/**
 * A host on which the event loop takes time: for each request that it sends and each response that
 * it reads. As in the process, responses that have arrived are read before timers are handled.
 */
class SlowHost
{
public:
    static constexpr std::size_t kParts = 80;
    static constexpr Duration kSendTime = 200us;
    static constexpr Duration kReadTime = 150us;
    static constexpr Duration kServerTime = 6ms;

    SlowHost()
        : m_gateway(GatewayFixture::options(10'000))
    {
        RoutingConfiguration configuration;
        configuration.version = 1;
        GatewayRoute route = GatewayFixture::lookupRoute();
        route.latencyTarget = 50ms;
        route.timeout = 500ms;
        route.gather->services.clear();
        RegistrationsRead servers;
        for (std::size_t shard = 0; shard < kParts; ++shard) {
            BackendService service;
            service.name = { "shard-" + std::to_string(shard) };
            service.connectionLimit = 100;
            route.gather->services.push_back(service.name);
            configuration.services.emplace(service.name, service);
            for (const char *domain : { "shubra", "bulaq" })
                servers.registrations.push_back(
                        GatewayFixture::registration(service.name.value, domain));
        }
        configuration.routes = { route };
        handle(GatewayFixture::hosts(1, 0));
        m_now += 15s;
        handle(ConfigurationRead { std::make_shared<const RoutingConfiguration>(configuration) });
        handle(servers);
    }

    /** Sends a request and runs the event loop until all of its attempts have ended. */
    void lookUp()
    {
        auto request = std::make_shared<GatewayRequest>();
        request->method = "GET";
        request->target = "/find/elbow";
        request->host = "lookup.example";
        handle(RequestReceived { { ++m_lastExchange }, request });
        while (!m_arriving.empty()) {
            readArrived();
            const auto wakeUp = m_gateway.nextWakeUp();
            if (wakeUp && *wakeUp <= m_now)
                handle(TimeAdvanced {});
            else if (!m_arriving.empty() && m_arriving.front().arrivesAt > m_now)
                m_now = wakeUp ? std::min(*wakeUp, m_arriving.front().arrivesAt)
                               : m_arriving.front().arrivesAt;
        }
    }

    std::size_t attempts = 0;
    std::vector<Reply> replies;

private:
    struct Response
    {
        MonotonicTime arrivesAt;
        StartAttempt attempt;
    };

    /** Reads the responses that have arrived when the call begins. */
    void readArrived()
    {
        const MonotonicTime begin = m_now;
        while (!m_arriving.empty() && m_arriving.front().arrivesAt <= begin) {
            BackendAnswer answer;
            answer.status = 200;
            answer.signature = "signature of " + m_arriving.front().attempt.server.value;
            const AttemptId attempt = m_arriving.front().attempt.attempt;
            m_arriving.pop_front();
            m_now += kReadTime;
            handle(AttemptEnded { attempt, answer });
        }
    }

    void handle(const GatewayEvent &event)
    {
        for (const GatewayEffect &effect : m_gateway.handle(event, m_now)) {
            if (const auto *attempt = std::get_if<StartAttempt>(&effect)) {
                ++attempts;
                m_now += kSendTime;
                m_arriving.push_back({ m_now + kServerTime, *attempt });
            } else if (const auto *reply = std::get_if<ReplyToCaller>(&effect)) {
                replies.push_back(reply->reply);
            }
        }
    }

    MonotonicTime m_now { 1s };
    Gateway m_gateway;
    std::deque<Response> m_arriving;
    std::uint64_t m_lastExchange = 0;
};

} // namespace

// Guards against repeats for parts that a busy host has only just sent, or whose responses it has
// not read yet: each costs it more time than it has.
TEST_CASE("a host that sends slowly repeats no part of which the server is in time", "[gateway]")
{
    SlowHost host;
    constexpr std::size_t kRequests = 20;
    for (std::size_t i = 0; i < kRequests; ++i)
        host.lookUp();
    CHECK(host.attempts == kRequests * SlowHost::kParts);
    REQUIRE(host.replies.size() == kRequests);
    for (const Reply &reply : host.replies) {
        const auto *merged = std::get_if<MergedReply>(&reply);
        REQUIRE(merged);
        CHECK(merged->missingParts == 0);
    }
}
