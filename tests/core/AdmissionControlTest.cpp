#include "EntryRoleFixture.h"

#include <algorithm>
#include <queue>

using namespace greengagestair;
using namespace greengagestair::test;

namespace {

/**
 * Simulates eight entry hosts with 10 groups of 3 backend servers, each with 2 slots and parts of
 * 6 ms. Owners serve urgent parts first and refuse a part that would miss its deadline in the
 * queue.
 */
class OverloadModel
{
public:
    struct Result
    {
        double goodput = 0;      ///< rate of queries completed in time, as a share of the capacity
        double refusedParts = 0; ///< share of refused parts among those of admitted queries
        Duration urgentP99 {};   ///< 99th percentile of the time to answer an urgent query
        std::size_t late = 0;    ///< queries completed after their deadline
    };

    OverloadModel(bool admissionEnabled, std::uint64_t seed)
        : m_admissionEnabled(admissionEnabled)
        , m_random(seed)
    {
        for (int host = 0; host < kHosts; ++host)
            m_hosts.push_back(std::make_unique<AdmissionControl>(m_options, m_documents));
    }

    /**
     * Runs the model with queries arriving at `load` times the capacity. `slowness` multiplies all
     * part times from one second before the measurement on.
     */
    Result run(double load, int slowness = 1)
    {
        const double capacity = kReplicas * kSlots / 0.006;
        std::exponential_distribution<double> gap(load * capacity);
        m_slowness = slowness;
        MonotonicTime arrival { 1s };
        while (arrival < kEnd) {
            arrival += Duration(static_cast<Duration::rep>(gap(m_random) * 1e6) + 1);
            schedule(arrival, [this] { arrive(); });
        }
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.work();
            for (int host = 0; host < kHosts; ++host)
                applyDecisions(host);
        }
        Result result;
        // The measurement lasts 3 s, from `kMeasurementStart` to `kEnd`.
        result.goodput = static_cast<double>(m_completedInTime) / (capacity * 3.0);
        result.refusedParts = static_cast<double>(m_refusedParts) / std::max(1.0, m_sentParts);
        result.late = m_completedLate;
        std::sort(m_urgentTimes.begin(), m_urgentTimes.end());
        if (!m_urgentTimes.empty())
            result.urgentP99 = m_urgentTimes[m_urgentTimes.size() * 99 / 100];
        return result;
    }

private:
    static constexpr int kHosts = 8;
    static constexpr int kGroups = 10;
    static constexpr int kReplicas = 3;
    static constexpr int kSlots = 2;
    static constexpr Duration kDeadline = 200ms;
    static constexpr Duration kTransport = 1ms;
    static constexpr MonotonicTime kMeasurementStart { 3s };
    static constexpr MonotonicTime kEnd { 6s };

    struct Event
    {
        MonotonicTime time;
        std::uint64_t order;
        std::function<void()> work;
        bool operator>(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    struct Request
    {
        int host = 0;
        bool urgent = false;
        MonotonicTime arrived;
        MonotonicTime admitted;
        int openParts = kGroups;
        bool refused = false;
    };
    struct Part
    {
        std::uint64_t request = 0;
        MonotonicTime sent;
    };
    struct Server
    {
        int busy = 0;
        std::deque<Part> urgent;
        std::deque<Part> routine;
        std::size_t load() const { return busy + urgent.size() + routine.size(); }
    };

    void schedule(MonotonicTime time, std::function<void()> work)
    {
        m_events.push({ time, ++m_order, std::move(work) });
    }

    template <typename Work>
    auto step(Work work)
    {
        const Instant instant { m_now, {} };
        StepContext context { instant, m_effects, m_counters, m_random };
        return work(context);
    }

    void arrive()
    {
        const std::uint64_t id = ++m_lastRequest;
        Request &request = m_requests[id];
        request.host = static_cast<int>(m_random() % kHosts);
        request.urgent = m_random() % 10 == 0;
        request.arrived = m_now;
        if (!m_admissionEnabled)
            return admit(id);
        const Priority priority = request.urgent ? Priority::Urgent : Priority::Routine;
        const auto verdict = step([&](StepContext &context) {
            return m_hosts[request.host]->request(context, m_service, priority, { id },
                                                  m_now + kDeadline);
        });
        if (verdict == AdmissionControl::Verdict::Admitted)
            admit(id);
        else if (verdict == AdmissionControl::Verdict::Refused)
            m_requests.erase(id);
    }

    void applyDecisions(int host)
    {
        while (auto decision = step([&](StepContext &context) {
                   return m_hosts[host]->takeNextDecision(context);
               })) {
            if (decision->admitted)
                admit(decision->query.value);
            else
                m_requests.erase(decision->query.value);
        }
        const MonotonicTime next = m_hosts[host]->nextWakeUp();
        MonotonicTime &scheduledWakeUp = m_wakeUps[host];
        if (next != kNever && (scheduledWakeUp <= m_now || next < scheduledWakeUp)) {
            scheduledWakeUp = std::max(next, m_now + 1us);
            schedule(scheduledWakeUp, [] {});
        }
    }

    void admit(std::uint64_t id)
    {
        Request &request = m_requests[id];
        request.admitted = m_now;
        for (int group = 0; group < kGroups; ++group) {
            const int first = group * kReplicas;
            int best = first + static_cast<int>(m_random() % kReplicas);
            for (int server = first; server < first + kReplicas; ++server) {
                if ((m_requests[id].urgent
                             ? m_servers[server].busy + m_servers[server].urgent.size()
                             : m_servers[server].load())
                    < (m_requests[id].urgent ? m_servers[best].busy + m_servers[best].urgent.size()
                                             : m_servers[best].load()))
                    best = server;
            }
            receivePart(best, id, request.urgent);
        }
    }

    void receivePart(int index, std::uint64_t id, bool urgent)
    {
        Server &server = m_servers[index];
        m_sentParts += m_now >= kMeasurementStart;
        const std::size_t ahead = urgent ? server.urgent.size() : server.load();
        const MonotonicTime deadline = m_requests[id].arrived + kDeadline - kTransport;
        // A part takes 6 ms, and each queued part delays it by 3 ms, as two slots work in parallel.
        if (m_now + 3ms * ahead + 6ms > deadline) {
            m_refusedParts += m_now >= kMeasurementStart;
            schedule(m_now + kTransport, [this, id] { endPart(id, m_now, true); });
            return;
        }
        (urgent ? server.urgent : server.routine).push_back({ id, m_now });
        serve(index);
    }

    void serve(int index)
    {
        Server &server = m_servers[index];
        while (server.busy < kSlots && !(server.urgent.empty() && server.routine.empty())) {
            auto &queue = server.urgent.empty() ? server.routine : server.urgent;
            const Part part = queue.front();
            queue.pop_front();
            ++server.busy;
            // Part times vary between 4.8 ms and 7.2 ms.
            const Duration warm(4800 + static_cast<Duration::rep>(m_random() % 2400));
            const Duration time = m_now + 1s < kMeasurementStart ? warm : warm * m_slowness;
            schedule(m_now + time, [this, index, part] {
                --m_servers[index].busy;
                serve(index);
                schedule(m_now + kTransport,
                         [this, part] { endPart(part.request, part.sent, false); });
            });
        }
    }

    void endPart(std::uint64_t id, MonotonicTime sent, bool refused)
    {
        Request &request = m_requests[id];
        request.refused = request.refused || refused;
        AdmissionControl &admission = *m_hosts[request.host];
        step([&](StepContext &context) {
            if (refused)
                admission.partRefused(context, m_service.name);
            else
                admission.partAnswered(context, m_service.name, m_now - sent);
        });
        if (--request.openParts > 0)
            return;
        const bool inTime = m_now <= request.arrived + kDeadline;
        if (m_now >= kMeasurementStart && m_now < kEnd && !request.refused) {
            m_completedInTime += inTime;
            m_completedLate += !inTime;
            if (request.urgent)
                m_urgentTimes.push_back(m_now - request.arrived);
        }
        if (m_admissionEnabled) {
            const Priority priority = request.urgent ? Priority::Urgent : Priority::Routine;
            step([&](StepContext &context) {
                admission.queryEnded(context, m_service.name, priority, m_now - request.admitted);
            });
        }
        m_requests.erase(id);
    }

    bool m_admissionEnabled;
    int m_slowness = 1;
    ReducerOptions m_options;
    TestDocuments m_documents;
    Service m_service = EntryRoleFixture::makeService("lookup", Route::AllGroups);
    std::vector<std::unique_ptr<AdmissionControl>> m_hosts;
    std::array<MonotonicTime, kHosts> m_wakeUps {};
    std::array<Server, kGroups * kReplicas> m_servers;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::mt19937_64 m_random;
    Effects m_effects;
    CounterSet m_counters;
    MonotonicTime m_now;
    std::vector<Duration> m_urgentTimes;
    double m_sentParts = 0;
    std::size_t m_refusedParts = 0;
    std::size_t m_completedInTime = 0;
    std::size_t m_completedLate = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_order = 0;
};

} // namespace

// Guards against the loss of goodput under overload: without admission control, the owners refuse
// some part of nearly every query.
TEST_CASE("goodput is kept at twice the capacity", "[admission]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const auto unloaded = OverloadModel(true, seed).run(0.1);
    const auto overloaded = OverloadModel(true, seed).run(2.0);
    const auto uncontrolled = OverloadModel(false, seed).run(2.0);
    CAPTURE(unloaded.urgentP99.count(), overloaded.urgentP99.count());
    CAPTURE(overloaded.goodput, overloaded.refusedParts, uncontrolled.goodput);
    REQUIRE(unloaded.refusedParts == 0);
    REQUIRE(overloaded.goodput >= 0.9);
    REQUIRE(overloaded.refusedParts <= 0.01);
    REQUIRE(overloaded.late == 0);
    // A running routine part is not interrupted, so an urgent part may wait for it on any server.
    REQUIRE(overloaded.urgentP99 <= unloaded.urgentP99 + 2 * 6ms);
    REQUIRE(uncontrolled.goodput < 0.5);
}

// Guards against a concurrency limit that keeps falling when all servers become slow.
TEST_CASE("goodput is kept when servers become slow without overload", "[admission]")
{
    const auto normal = OverloadModel(true, 1).run(0.2);
    const auto slow = OverloadModel(true, 1).run(0.2, 4);
    CAPTURE(normal.goodput, slow.goodput);
    REQUIRE(slow.goodput >= 0.9 * normal.goodput);
}

// Guards against starvation of routine queries by a steady stream of urgent ones.
TEST_CASE("a routine query waits for at most seven urgent ones", "[admission]")
{
    EntryRoleFixture fixture;
    AdmissionControl &admission = fixture.admission;
    const Service &service = fixture.documents.config.services[0];
    using Verdict = AdmissionControl::Verdict;
    std::vector<std::uint64_t> order;
    fixture.run([&](StepContext &context) {
        const auto request = [&](Priority priority, std::uint64_t id) {
            return admission.request(context, service, priority, { id }, context.now() + 1s);
        };
        REQUIRE(request(Priority::Routine, 1) == Verdict::Admitted);
        REQUIRE(request(Priority::Routine, 2) == Verdict::Admitted);
        REQUIRE(request(Priority::Routine, 3) == Verdict::Queued);
        REQUIRE(request(Priority::Urgent, 10) == Verdict::Admitted);
        REQUIRE(request(Priority::Urgent, 11) == Verdict::Admitted);
        for (std::uint64_t id = 12; id < 22; ++id)
            REQUIRE(request(Priority::Urgent, id) == Verdict::Queued);
        for (int round = 0; round < 12; ++round) {
            admission.queryEnded(context, service.name,
                                 round == 2 || round == 3 ? Priority::Routine : Priority::Urgent,
                                 6ms);
            while (const auto decision = admission.takeNextDecision(context)) {
                REQUIRE(decision->admitted);
                order.push_back(decision->query.value);
            }
        }
    });
    const auto routine = std::find(order.begin(), order.end(), 3);
    REQUIRE(routine != order.end());
    // Two of the seven urgent queries were admitted without being queued.
    REQUIRE(routine - order.begin() <= 5);
    REQUIRE(std::is_sorted(order.begin(), routine));
}

// Guards against queries that reach their deadline in the queue instead of being refused at once.
TEST_CASE("time in the queue is bounded by 100 ms and by the deadline", "[admission]")
{
    EntryRoleFixture fixture;
    AdmissionControl &admission = fixture.admission;
    const Service &service = fixture.documents.config.services[0];
    using Verdict = AdmissionControl::Verdict;
    fixture.run([&](StepContext &context) {
        const auto request = [&](std::uint64_t id, Duration deadline) {
            return admission.request(context, service, Priority::Routine, { id },
                                     context.now() + deadline);
        };
        REQUIRE(request(1, 1s) == Verdict::Admitted);
        REQUIRE(request(2, 1s) == Verdict::Admitted);
        REQUIRE(request(3, 8ms) == Verdict::Refused);
        std::uint64_t id = 4;
        while (request(id, 1s) == Verdict::Queued)
            ++id;
        REQUIRE(id < 50);
        REQUIRE(admission.nextWakeUp() == context.now() + 100ms);
    });
    fixture.now += 100ms;
    fixture.run([&](StepContext &context) {
        const auto decision = admission.takeNextDecision(context);
        REQUIRE(decision.has_value());
        REQUIRE_FALSE(decision->admitted);
        while (admission.takeNextDecision(context)) { }
    });
}

TEST_CASE("a query that waits too long is refused as not run", "[admission]")
{
    EntryRoleFixture fixture;
    fixture.makeSignatureKnownGood("list");
    std::vector<CallerId> callers;
    for (int query = 0; query < 4; ++query)
        callers.push_back(fixture.sendRequest("list"));
    REQUIRE(fixture.takeSentParts().size() == 4);
    // The longest wait is the remaining deadline minus the expected query time: about 94 ms.
    fixture.advanceTime(95ms);
    const auto refused = fixture.answerTo(callers[2]);
    REQUIRE(refused.has_value());
    REQUIRE(refused->outcome == QueryOutcome::NotRun);
    REQUIRE(refused->reason == QueryReason::Overloaded);
}
