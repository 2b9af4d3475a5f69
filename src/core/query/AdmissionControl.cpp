#include "core/query/AdmissionControl.h"

#include "core/Assert.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>

namespace greengagestair {

/** Longest time in the queue; short, so that a refused caller can still try another host. */
static constexpr Duration kMaxWait = std::chrono::milliseconds(100);
static constexpr std::size_t kMaxConsecutiveUrgent = 7;
static constexpr std::size_t kMinUrgentSlots = 2;
/** Initial limit as a share of the service's capacity, which several entry hosts share. */
static constexpr double kInitialCapacityShare = 0.25;
static constexpr double kMinInitialLimit = 2.0;
/** The newest query counts one eighth in the smoothed query time. */
static constexpr int kSmoothingDivisor = 8;
/** Shorter pauses are skipped, because they do not justify a wake-up. */
static constexpr Duration kMinPause = std::chrono::microseconds(200);

static double initialLimit(const Service &service)
{
    std::size_t smallest = 0;
    std::size_t total = 0;
    for (const Group &group : service.groups) {
        total += group.servers.size();
        if (smallest == 0 || group.servers.size() < smallest)
            smallest = group.servers.size();
    }
    const std::size_t servers = service.route == Route::AllGroups ? smallest : total;
    const double capacity = static_cast<double>(servers) * service.slots;
    return std::max(kMinInitialLimit, capacity * kInitialCapacityShare);
}

AdmissionControl::ServiceState::ServiceState(const Service &service)
    : limit(initialLimit(service), service.warmPartTime)
    , queryTime(service.warmPartTime)
{
}

AdmissionControl::AdmissionControl(const ReducerOptions &, DocumentView &) { }

AdmissionControl::Verdict AdmissionControl::request(StepContext &context, const Service &service,
                                                    Priority priority, QueryId query,
                                                    MonotonicTime deadline)
{
    const MonotonicTime now = context.now();
    ServiceState &state = m_services.try_emplace(service.name, service).first->second;
    if (mayStart(state, priority, now)) {
        start(state, priority);
        return Verdict::Admitted;
    }
    state.limit.onLimitReached();
    const Duration maxWait = longestWait(state, deadline, now);
    if (expectedWait(state, priority) > maxWait) {
        context.counters.add("admission_refused_total");
        return Verdict::Refused;
    }
    const Sequence sequence = ++m_lastSequence;
    const MonotonicTime expiresAt = now + maxWait;
    auto &queue = priority == Priority::Urgent ? state.urgent : state.routine;
    queue.emplace(sequence, QueuedQuery { query, expiresAt });
    m_queuePositions[query] = { service.name, &state, priority, sequence };
    m_expiries.emplace(expiresAt, query.value);
    context.counters.add("admission_queued_total");
    return Verdict::Queued;
}

bool AdmissionControl::wouldRefuse(StepContext &context, const ServiceId &service,
                                   Priority priority, MonotonicTime deadline)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || mayStart(found->second, priority, context.now()))
        return false;
    return expectedWait(found->second, priority)
            > longestWait(found->second, deadline, context.now());
}

void AdmissionControl::withdraw(QueryId query)
{
    if (m_queuePositions.contains(query))
        removeFromQueue(query);
}

void AdmissionControl::queryEnded(StepContext &context, const ServiceId &service, Priority priority,
                                  Duration inProgress)
{
    ServiceState &state = m_services.at(service);
    std::size_t &count =
            priority == Priority::Urgent ? state.urgentInProgress : state.routineInProgress;
    GREENGAGESTAIR_ASSERT(count > 0);
    --count;
    state.queryTime += (inProgress - state.queryTime) / kSmoothingDivisor;
    if (priority == Priority::Routine) {
        // The number of slots is the limit rounded up. Pauses between queries reduce their use to
        // the fractional limit: with a limit of 2.5, each of three slots pauses for a fifth of the
        // query time after each query.
        const double pauseShare = static_cast<double>(slots(state)) / state.limit.value() - 1.0;
        const Duration pause(static_cast<Duration::rep>(
                pauseShare * static_cast<double>(state.queryTime.count())));
        if (pause >= kMinPause)
            state.pauses.insert(context.now() + pause);
    }
    startQueued(context, state);
}

void AdmissionControl::partAnswered(StepContext &context, const ServiceId &service,
                                    Duration partTime)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.limit.addAnswer(partTime, context.now());
}

void AdmissionControl::partRefused(StepContext &context, const ServiceId &service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        found->second.limit.addRefusal(context.now());
}

std::optional<AdmissionControl::Decision> AdmissionControl::takeNextDecision(StepContext &context)
{
    if (!m_queuePositions.empty()) {
        expireQueued(context);
        for (auto &[name, state] : m_services)
            startQueued(context, state);
    }
    if (m_decisions.empty())
        return std::nullopt;
    const Decision decision = m_decisions.front();
    m_decisions.pop_front();
    return decision;
}

MonotonicTime AdmissionControl::nextWakeUp() const
{
    if (m_queuePositions.empty())
        return kNever;
    MonotonicTime time = m_expiries.begin()->first;
    for (const auto &[name, state] : m_services) {
        if (!state.routine.empty() && !state.pauses.empty())
            time = std::min(time, *state.pauses.begin());
    }
    return time;
}

boost::json::object AdmissionControl::dump(MonotonicTime) const
{
    boost::json::object result;
    for (const auto &[name, state] : m_services) {
        boost::json::object item;
        item["limit"] = state.limit.value();
        item["bestPartTimeUs"] = state.limit.bestPartTime().count();
        item["queryTimeUs"] = state.queryTime.count();
        item["urgentInProgress"] = state.urgentInProgress;
        item["routineInProgress"] = state.routineInProgress;
        item["urgentWaiting"] = state.urgent.size();
        item["routineWaiting"] = state.routine.size();
        result[name.value] = std::move(item);
    }
    return result;
}

std::size_t AdmissionControl::slots(const ServiceState &state)
{
    return static_cast<std::size_t>(std::ceil(state.limit.value()));
}

bool AdmissionControl::routineIsDue(const ServiceState &state)
{
    return state.consecutiveUrgent >= kMaxConsecutiveUrgent && !state.routine.empty();
}

bool AdmissionControl::mayStart(ServiceState &state, Priority priority, MonotonicTime now)
{
    const auto &queue = priority == Priority::Urgent ? state.urgent : state.routine;
    const bool routineGoesFirst = priority == Priority::Urgent && routineIsDue(state);
    return queue.empty() && !routineGoesFirst && hasFreeSlot(state, priority, now);
}

Duration AdmissionControl::longestWait(const ServiceState &state, MonotonicTime deadline,
                                       MonotonicTime now)
{
    return std::min(kMaxWait, deadline - now - state.queryTime);
}

/**
 * Urgent queries have slots of their own, so routine queries in progress never delay them. Urgent
 * queries in progress do occupy slots of routine queries, unless a routine query is due.
 */
bool AdmissionControl::hasFreeSlot(ServiceState &state, Priority priority, MonotonicTime now)
{
    if (priority == Priority::Urgent)
        return state.urgentInProgress < std::max(kMinUrgentSlots, slots(state));
    state.pauses.erase(state.pauses.begin(), state.pauses.upper_bound(now));
    const std::size_t urgent = routineIsDue(state) ? 0 : state.urgentInProgress;
    return state.routineInProgress + urgent + state.pauses.size() < slots(state);
}

Duration AdmissionControl::expectedWait(const ServiceState &state, Priority priority)
{
    std::size_t ahead = state.urgent.size();
    if (priority == Priority::Routine)
        ahead += state.routine.size();
    const double queryTimesToWait = static_cast<double>(ahead + 1) / state.limit.value();
    return Duration(static_cast<Duration::rep>(queryTimesToWait
                                               * static_cast<double>(state.queryTime.count())));
}

void AdmissionControl::start(ServiceState &state, Priority priority)
{
    if (priority == Priority::Routine) {
        ++state.routineInProgress;
        state.consecutiveUrgent = 0;
        return;
    }
    ++state.urgentInProgress;
    state.consecutiveUrgent = state.routine.empty() ? 0 : state.consecutiveUrgent + 1;
}

void AdmissionControl::startQueued(StepContext &context, ServiceState &state)
{
    while (true) {
        const bool urgentFirst = !state.urgent.empty() && !routineIsDue(state);
        if (urgentFirst && hasFreeSlot(state, Priority::Urgent, context.now()))
            admitFirst(context, state, Priority::Urgent);
        else if (!state.routine.empty() && hasFreeSlot(state, Priority::Routine, context.now()))
            admitFirst(context, state, Priority::Routine);
        else
            return;
    }
}

void AdmissionControl::admitFirst(StepContext &context, ServiceState &state, Priority priority)
{
    auto &queue = priority == Priority::Urgent ? state.urgent : state.routine;
    const QueryId query = queue.begin()->second.query;
    start(state, priority);
    m_decisions.push_back({ query, true, m_queuePositions.at(query).serviceName, priority });
    removeFromQueue(query);
    context.counters.add("admission_dequeued_total");
}

void AdmissionControl::expireQueued(StepContext &context)
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= context.now()) {
        const QueryId query { m_expiries.begin()->second };
        const QueuePosition &position = m_queuePositions.at(query);
        m_decisions.push_back({ query, false, position.serviceName, position.priority });
        removeFromQueue(query);
        context.counters.add("admission_expired_total");
    }
}

void AdmissionControl::removeFromQueue(QueryId query)
{
    const auto found = m_queuePositions.find(query);
    GREENGAGESTAIR_ASSERT(found != m_queuePositions.end());
    const QueuePosition position = found->second;
    auto &queue = position.priority == Priority::Urgent ? position.service->urgent
                                                        : position.service->routine;
    const auto waiting = queue.find(position.sequence);
    m_expiries.erase({ waiting->second.expiresAt, query.value });
    queue.erase(waiting);
    m_queuePositions.erase(found);
}

} // namespace greengagestair
