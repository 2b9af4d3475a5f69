#include "GatewayFixture.h"

#include "gateway/RecordMerger.h"

#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>

using namespace greengagestair;

namespace {

/** A simulated backend server of a randomised run. */
struct Server
{
    BackendRegistration registration;
    Duration responseTime = 5ms;
    bool isDown = false;
    bool isDraining = false;
};

/** Record of a caller's request, against which its attempts and its reply are checked. */
struct Trace
{
    bool repeatable = false;
    std::size_t partCount = 0; ///< number of parts in the configuration when the request began
    std::map<std::string, std::set<std::string>> serversByService;
    std::set<std::string> signatures; ///< signatures of the successful responses
    std::size_t runs = 0;             ///< attempts that a server has run
    bool isAnswered = false;
    bool hasDisconnected = false;
    MonotonicTime arrivedAt;
};

/**
 * Runs a gateway in virtual time with random events: lookups and orders, servers that answer late,
 * refuse, fail, lose answers, crash, drain, and remove and renew their registrations, failure
 * domains taken out of service, and new configurations. Each effect is checked against the
 * guarantees of the gateway.
 */
class RandomRun
{
public:
    RandomRun(std::uint64_t seed, bool isPaced)
        : m_random(seed)
    {
        GatewayOptions options = GatewayFixture::options(120);
        options.pacesReturningServers = isPaced;
        m_fixture.send(OptionsChanged { options });
        m_fixture.start();
        for (const auto &[name, service] : m_fixture.configuration.services) {
            for (const char *domain : { "shubra", "bulaq" })
                addServer(GatewayFixture::registration(name.value, domain));
        }
    }

    void run()
    {
        const MonotonicTime end = m_fixture.now + 20s;
        while (m_fixture.now < end) {
            startRandomEvents();
            m_fixture.wait(Duration(m_random() % 4000));
            handleEffects();
            deliverDue();
        }
        for (auto &[name, server] : m_servers)
            server.isDown = false;
        // 6 s are longer than the timeout of any request.
        for (int i = 0; i < 6000; ++i) {
            m_fixture.wait(1ms);
            handleEffects();
            deliverDue();
        }
        CHECK(m_fixture.gateway().isIdle());
        for (const auto &[exchange, trace] : m_traces)
            CHECK((trace.isAnswered || trace.hasDisconnected));
        CHECK(m_answered > 1000);
    }

private:
    /** The result of an attempt, which is sent to the gateway at a later time. */
    struct Delivery
    {
        MonotonicTime at;
        StartAttempt attempt;
        /**
         * 0: success, 1: not sent, 2: lost while the server is down, 3: refusal, 4: lost while the
         * server is up, 5: corrupt, 6: error response.
         */
        int kind = 0;
        bool operator<(const Delivery &other) const { return at > other.at; }
    };

    bool withProbability(double probability)
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }

    void addServer(const BackendRegistration &registration)
    {
        m_servers[registration.server.value] = { registration, 3ms, false, false };
    }

    Server &randomServer()
    {
        auto server = m_servers.begin();
        std::advance(server, static_cast<long>(m_random() % m_servers.size()));
        return server->second;
    }

    void startRandomEvents()
    {
        if (withProbability(0.7))
            startRequest();
        if (withProbability(0.01))
            randomServer().responseTime = Duration(1000 + m_random() % 60'000);
        if (withProbability(0.004))
            randomServer().isDown = withProbability(0.4);
        if (withProbability(0.004))
            changeRegistration(randomServer());
        if (withProbability(0.002))
            evacuate();
        if (withProbability(0.002))
            reconfigure();
        if (withProbability(0.01) && !m_traces.empty())
            disconnectCaller();
    }

    void startRequest()
    {
        const bool isLookup = withProbability(0.7);
        const std::size_t shards = m_fixture.configuration.routes[0].gather->services.size();
        const ExchangeId exchange = isLookup ? m_fixture.lookup() : m_fixture.order();
        Trace trace;
        trace.repeatable = isLookup;
        trace.partCount = isLookup ? shards : 1;
        trace.arrivedAt = m_fixture.now;
        m_traces.emplace(exchange, trace);
        handleEffects();
    }

    void disconnectCaller()
    {
        auto trace = m_traces.begin();
        std::advance(trace, static_cast<long>(m_random() % m_traces.size()));
        if (trace->second.isAnswered)
            return;
        trace->second.hasDisconnected = true;
        m_fixture.send(CallerDisconnected { trace->first });
    }

    void changeRegistration(Server &server)
    {
        const std::uint64_t choice = m_random() % 3;
        server.isDraining = choice == 0;
        server.registration.isDraining = server.isDraining;
        if (choice == 1)
            m_fixture.send(RegistrationRemoved { server.registration.server });
        else
            m_fixture.send(RegistrationWritten { server.registration });
    }

    void evacuate()
    {
        m_evacuated = withProbability(0.5) ? "" : withProbability(0.5) ? "shubra" : "bulaq";
        EvacuationsRead event;
        if (!m_evacuated.empty())
            event.failureDomains.insert({ m_evacuated });
        m_fixture.send(event);
    }

    void reconfigure()
    {
        ++m_fixture.configuration.version;
        auto &services = m_fixture.configuration.routes[0].gather->services;
        std::rotate(services.begin(), services.begin() + 1, services.end());
        m_fixture.send(ConfigurationRead {
                std::make_shared<const RoutingConfiguration>(m_fixture.configuration) });
    }

    void handleEffects()
    {
        for (const StartAttempt &attempt : m_fixture.takeAttempts())
            onAttempt(attempt);
        for (const ReplyToCaller &reply : std::exchange(m_fixture.replies, {}))
            onReply(reply);
        m_fixture.released.clear();
        m_fixture.log.clear();
    }

    void onAttempt(const StartAttempt &attempt)
    {
        const Server &server = m_servers.at(attempt.server.value);
        Trace &trace = m_traces.at(exchangeOf(attempt));
        REQUIRE_FALSE(trace.isAnswered);
        REQUIRE_FALSE(trace.hasDisconnected);
        REQUIRE_FALSE(server.isDraining);
        REQUIRE(server.registration.failureDomain.value != m_evacuated);
        auto &servers = trace.serversByService[server.registration.service.value];
        // A server gets a part again only after it refused it, and only for a lookup.
        const std::string key =
                std::to_string(exchangeOf(attempt).value) + " " + attempt.server.value;
        const bool isNew = servers.insert(attempt.server.value).second;
        const bool wasRefused = m_refused.erase(key) > 0;
        REQUIRE((isNew || (wasRefused && trace.repeatable)));
        REQUIRE(servers.size() <= 2); // maxAttempts of both routes
        Delivery delivery { m_fixture.now, attempt, 0 };
        if (server.isDown) {
            delivery.kind = withProbability(0.5) ? 1 : 2;
            delivery.at += withProbability(0.5) ? 1ms : 400ms;
        } else {
            const auto responseTime = static_cast<std::uint64_t>(server.responseTime.count());
            delivery.at += Duration(responseTime / 2 + m_random() % responseTime);
            delivery.kind = withProbability(0.9) ? 0 : 3 + static_cast<int>(m_random() % 4);
        }
        // Kinds 1 and 3 mean that the server has not run the request.
        const bool runs = delivery.kind == 0 || delivery.kind == 2 || delivery.kind >= 4;
        trace.runs += runs ? 1 : 0;
        REQUIRE((trace.repeatable || trace.runs <= 1));
        m_deliveries.push(delivery);
    }

    /**
     * The exchange of an attempt. The fixture takes the number in "id-N" and then the number of the
     * exchange from the same counter, so the exchange has number N + 1.
     */
    static ExchangeId exchangeOf(const StartAttempt &attempt)
    {
        return { std::stoull(attempt.request->requestId.substr(3)) + 1 };
    }

    void deliverDue()
    {
        for (const OpenConnection &effect : std::exchange(m_fixture.connections, {}))
            m_fixture.send(ConnectionAttemptEnded { effect.server,
                                                    !m_servers.at(effect.server.value).isDown });
        while (!m_deliveries.empty() && m_deliveries.top().at <= m_fixture.now) {
            const Delivery delivery = m_deliveries.top();
            m_deliveries.pop();
            deliver(delivery);
            handleEffects();
        }
    }

    void deliver(const Delivery &delivery)
    {
        const StartAttempt &attempt = delivery.attempt;
        switch (delivery.kind) {
        case 0:
            m_traces.at(exchangeOf(attempt))
                    .signatures.insert("signature of " + attempt.server.value);
            return m_fixture.answer(attempt, std::string(kRecordBytes, 'r'));
        case 1:
            return m_fixture.fail(attempt, AttemptFailure::NotSent);
        case 2:
        case 4:
            return m_fixture.fail(attempt, AttemptFailure::Lost);
        case 3:
            m_refused.insert(std::to_string(exchangeOf(attempt).value) + " "
                             + attempt.server.value);
            return m_fixture.shed(attempt);
        case 5:
            return m_fixture.fail(attempt, AttemptFailure::Corrupt);
        default:
            return m_fixture.answer(attempt, "failure", 500);
        }
    }

    void onReply(const ReplyToCaller &reply)
    {
        Trace &trace = m_traces.at(reply.exchange);
        REQUIRE_FALSE(trace.isAnswered);
        trace.isAnswered = true;
        ++m_answered;
        // The timeouts of the two routes, with some tolerance.
        const Duration limit = trace.repeatable ? Duration(400ms) : Duration(2500ms);
        REQUIRE(m_fixture.now - trace.arrivedAt <= limit + 10ms);
        if (const auto *merged = std::get_if<MergedReply>(&reply.reply))
            return checkMerged(trace, *merged);
        const auto *refused = std::get_if<RefusedReply>(&reply.reply);
        if (!refused)
            return;
        const bool claimsNotRun = provesNotRun(refused->reason);
        REQUIRE((!claimsNotRun || trace.runs == 0));
        REQUIRE((!claimsNotRun || refused->retryAfter > 0ms));
    }

    static void checkMerged(const Trace &trace, const MergedReply &merged)
    {
        const std::set<std::string> distinct(merged.signatures.begin(), merged.signatures.end());
        REQUIRE(distinct.size() == merged.signatures.size());
        for (const std::string &signature : distinct)
            REQUIRE(trace.signatures.contains(signature));
        REQUIRE(merged.signatures.size() + merged.missingParts == trace.partCount);
        // The route's minCoverage is 0.75, its topRecords is 2.
        REQUIRE(merged.signatures.size() * 4 >= trace.partCount * 3);
        const std::size_t records = std::min<std::size_t>(2, merged.signatures.size());
        REQUIRE(merged.records.size() == records * kRecordBytes);
    }

    std::mt19937_64 m_random;
    GatewayFixture m_fixture;
    std::map<std::string, Server> m_servers;
    std::string m_evacuated;
    std::map<ExchangeId, Trace> m_traces;
    std::priority_queue<Delivery> m_deliveries;
    std::set<std::string> m_refused; ///< "exchange server" whose last attempt was refused
    std::size_t m_answered = 0;
};

} // namespace

// Guards against violations of the gateway's guarantees that only a combination of faults causes.
// The first seed and the number of runs can be set by RANDOM_FIRST_SEED and RANDOM_RUNS.
TEST_CASE("the gateway keeps its guarantees under combined random faults", "[gateway][random]")
{
    const char *first = std::getenv("RANDOM_FIRST_SEED");
    const char *runs = std::getenv("RANDOM_RUNS");
    const std::uint64_t seed = first ? std::strtoull(first, nullptr, 10) : 1;
    const std::uint64_t count = runs ? std::strtoull(runs, nullptr, 10) : 5;
    for (std::uint64_t i = 0; i < count; ++i) {
        for (const bool isPaced : { false, true }) {
            INFO("seed " << seed + i << (isPaced ? ", returning servers paced" : ""));
            RandomRun(seed + i, isPaced).run();
        }
    }
}
