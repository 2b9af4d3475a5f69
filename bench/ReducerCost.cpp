// Measures what the reducers of a fleet spend on control and on queries, in virtual time with small
// fakes at their interfaces. Prints one line for each size; docs/CAPACITY.md uses the slopes.

#include "codec/FrameCodec.h"
#include "core/documents/DocumentParsers.h"
#include "greengagestair/Reducer.h"
#include "tests/random/FakePlatform.h"
#include "tests/random/VirtualTime.h"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <memory>
#include <vector>

using namespace greengagestair;
using namespace std::chrono_literals;

namespace {

constexpr Duration kOneWay = 500us;
constexpr Duration kPartTime = 6ms;
constexpr Duration kSettling = 24s;
constexpr Duration kMeasured = 10s;
constexpr int kServersPerHost = 6;

struct Size
{
    int domains;
    int hostsPerDomain;
    int groups;           ///< parts of one query
    int queriesPerSecond; ///< of the whole fleet
};

/** A fleet of reducers without processes. */
class Fleet
{
public:
    explicit Fleet(const Size &size)
        : m_size(size)
        , m_random(1)
        , m_platform(m_time, m_random)
    {
    }

    void run();

private:
    struct Host
    {
        ReducerOptions options;
        std::unique_ptr<Reducer> reducer;
        MonotonicTime wakeUp = kLater;
    };

    static constexpr MonotonicTime kLater = MonotonicTime::max();

    void publish();
    void start();
    void handle(std::size_t index, const Event &event);
    void apply(std::size_t index, const Effect &effect);
    void armWakeUp(std::size_t index);
    void sendQueries();
    void resetCounts();
    void print(std::size_t bytesBefore) const;

    Size m_size;
    std::mt19937_64 m_random;
    VirtualTime m_time;
    FakePlatform m_platform;
    std::vector<Host> m_hosts;
    std::map<Endpoint, std::size_t> m_byEndpoint;
    std::chrono::nanoseconds m_spent {};
    std::uint64_t m_events = 0;
    std::uint64_t m_peerBytes = 0;
    std::uint64_t m_peerMessages = 0;
    std::uint64_t m_platformCalls = 0;
    std::uint64_t m_queries = 0;
    std::uint64_t m_complete = 0;
    std::uint64_t m_callers = 0;
};

void Fleet::publish()
{
    Configuration configuration;
    configuration.changeId = "first";
    Service service;
    service.name = { "lookup" };
    service.slots = 3;
    service.connectionLimit = 30;
    service.warmPartTime = kPartTime;
    service.maxPartTime = 500ms;
    service.defaultDeadline = 1s;
    service.maxDeadline = 2s;
    service.operations = { { { "lookup" }, true, true } };
    Snapshot snapshot { { 1 }, {} };
    for (int group = 0; group < m_size.groups; ++group) {
        char bound[16];
        std::snprintf(bound, sizeof(bound), "%03d", group);
        const GroupId name { "g" + std::string(bound) };
        service.groups.push_back({ name, {} });
        if (group > 0)
            snapshot.ranges.back().to = bound;
        snapshot.ranges.push_back({ group == 0 ? "" : bound, "", name });
    }
    HostList hostList;
    const int servers = m_size.domains * m_size.hostsPerDomain * kServersPerHost;
    for (int server = 0; server < servers; ++server) {
        const int domain = server % m_size.domains;
        const std::string name = "server-" + std::to_string(server);
        const Endpoint endpoint {
            "127.9." + std::to_string(server / 250) + "." + std::to_string(server % 250 + 1), 7000
        };
        auto &group =
                service.groups[static_cast<std::size_t>(server / m_size.domains % m_size.groups)];
        group.servers.push_back({ { name }, endpoint, { "d" + std::to_string(domain) }, true });
        hostList.hosts.push_back({ name, ListedState::Live });
    }
    for (int domain = 0; domain < m_size.domains; ++domain)
        configuration.failureDomains.push_back({ { "d" + std::to_string(domain) }, true });
    configuration.services = { service };
    for (const Host &host : m_hosts)
        hostList.hosts.push_back({ host.options.host.value, ListedState::Live });
    m_platform.write({ "configuration" }, formatConfiguration(configuration));
    m_platform.write({ "snapshots/lookup" },
                     formatServiceSnapshots({ service.name, { snapshot } }));
    m_platform.setHostList(formatHostList(hostList), 0us);
}

void Fleet::start()
{
    for (int domain = 0; domain < m_size.domains; ++domain) {
        for (int index = 0; index < m_size.hostsPerDomain; ++index) {
            Host host;
            host.options.host = { "d" + std::to_string(domain) + "-" + std::to_string(index) };
            host.options.incarnation = { 1 };
            host.options.failureDomain = { "d" + std::to_string(domain) };
            host.options.peerEndpoint = {
                "127.0." + std::to_string(domain + 1) + "." + std::to_string(index + 1), 7400
            };
            host.options.seeds = { { "127.0.1.1", 7400 }, { "127.0.2.1", 7400 } };
            host.options.randomSeed = m_hosts.size() + 1;
            m_byEndpoint[host.options.peerEndpoint] = m_hosts.size();
            m_hosts.push_back(std::move(host));
        }
    }
}

void Fleet::handle(std::size_t index, const Event &event)
{
    Host &host = m_hosts[index];
    const Instant instant { m_time.now(), WallTime(m_time.now().time_since_epoch() + 1h) };
    const auto begin = std::chrono::steady_clock::now();
    const Effects effects = host.reducer->handle(instant, event);
    m_spent += std::chrono::steady_clock::now() - begin;
    ++m_events;
    for (const Effect &effect : effects)
        apply(index, effect);
    armWakeUp(index);
}

void Fleet::armWakeUp(std::size_t index)
{
    Host &host = m_hosts[index];
    const MonotonicTime wanted = std::max(host.reducer->nextWakeUp(), m_time.now() + 100us);
    if (wanted >= host.wakeUp)
        return;
    host.wakeUp = wanted;
    m_time.at(wanted, [this, index, wanted] {
        if (m_hosts[index].wakeUp != wanted)
            return;
        m_hosts[index].wakeUp = kLater;
        handle(index, Tick {});
    });
}

void Fleet::apply(std::size_t index, const Effect &effect)
{
    const Host &host = m_hosts[index];
    if (const auto *toPeer = std::get_if<SendToPeer>(&effect)) {
        const auto target = m_byEndpoint.find(toPeer->endpoint);
        if (target == m_byEndpoint.end())
            return;
        const PeerEnvelope envelope { host.options.host, host.options.incarnation,
                                      host.options.peerEndpoint, toPeer->message };
        const auto frame = FrameCodec::encode(envelope);
        m_peerBytes += frame ? frame->size() : 0;
        ++m_peerMessages;
        m_time.after(kOneWay, [this, to = target->second, envelope] {
            handle(to, PeerReceived { envelope });
        });
    } else if (const auto *call = std::get_if<CallPlatform>(&effect)) {
        ++m_platformCalls;
        m_platform.call(*call, [this, index](const PlatformFinished &finished) {
            handle(index, finished);
        });
    } else if (const auto *send = std::get_if<SendToBackend>(&effect)) {
        BackendFinished finished;
        finished.send = send->send;
        finished.echoed = send->send;
        finished.status = BackendStatus::Answered;
        finished.version = send->version;
        finished.body = "answer";
        m_time.after(kPartTime, [this, index, finished] { handle(index, finished); });
    } else if (const auto *answer = std::get_if<AnswerCaller>(&effect)) {
        m_complete += answer->answer.outcome == QueryOutcome::Complete ? 1 : 0;
    }
}

void Fleet::sendQueries()
{
    if (m_size.queriesPerSecond == 0)
        return;
    const Duration interval = Duration(1s) / m_size.queriesPerSecond;
    const MonotonicTime end = m_time.now() + kSettling / 4 + kMeasured;
    for (MonotonicTime time = m_time.now(); time < end; time += interval) {
        m_time.at(time, [this] {
            CallerRequest request;
            request.caller = { ++m_callers };
            request.service = { "lookup" };
            request.operation = { "lookup" };
            request.body = "pattern " + std::to_string(m_callers % 20);
            ++m_queries;
            handle(m_callers % m_hosts.size(), request);
        });
    }
}

void Fleet::resetCounts()
{
    m_spent = {};
    m_events = m_peerBytes = m_peerMessages = m_platformCalls = m_queries = m_complete = 0;
}

void Fleet::print(std::size_t bytesBefore) const
{
    const double hosts = static_cast<double>(m_hosts.size());
    const double seconds = std::chrono::duration<double>(kMeasured).count();
    const double perHost = 1.0 / hosts / seconds;
    const double microseconds = std::chrono::duration<double, std::micro>(m_spent).count();
    const double bytes = static_cast<double>(mallinfo2().uordblks - bytesBefore);
    std::printf("domains %d hosts/domain %d servers %d parts %d queries/s %d: "
                "core %.3f %%, %.2f us/event, %.0f events/s, peer %.2f KB/s and %.1f messages/s, "
                "platform %.2f calls/s fleet, %.0f KB memory, each per host; "
                "queries %llu complete %llu\n",
                m_size.domains, m_size.hostsPerDomain, static_cast<int>(hosts) * kServersPerHost,
                m_size.groups, m_size.queriesPerSecond, microseconds * perHost / 1e4,
                microseconds / static_cast<double>(m_events),
                static_cast<double>(m_events) * perHost,
                static_cast<double>(m_peerBytes) * perHost / 1e3,
                static_cast<double>(m_peerMessages) * perHost,
                static_cast<double>(m_platformCalls) / seconds, bytes / hosts / 1e3,
                static_cast<unsigned long long>(m_queries),
                static_cast<unsigned long long>(m_complete));
    std::fflush(stdout);
}

void Fleet::run()
{
    const std::size_t before = mallinfo2().uordblks;
    start();
    publish();
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        m_hosts[index].reducer = std::make_unique<Reducer>(m_hosts[index].options);
        m_time.after(100ms * static_cast<Duration::rep>(1 + index % 10),
                     [this, index] { handle(index, Tick {}); });
    }
    m_time.runUntil(m_time.now() + kSettling);
    sendQueries();
    m_time.runUntil(m_time.now() + kSettling / 4);
    resetCounts();
    m_time.runUntil(m_time.now() + kMeasured);
    print(before);
}

} // namespace

int main()
{
    const Size sizes[] = {
        { 3, 3, 10, 0 },   { 10, 3, 10, 0 },   { 3, 9, 10, 0 },   { 10, 9, 10, 0 },
        { 3, 3, 10, 100 }, { 10, 3, 10, 100 }, { 3, 3, 18, 100 }, { 3, 9, 54, 50 },
    };
    for (const Size &size : sizes)
        Fleet(size).run();
}
