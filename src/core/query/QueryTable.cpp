#include "core/query/QueryTable.h"

#include "core/Assert.h"

#include <algorithm>

namespace greengagestair {

Query &QueryTable::add(Query query)
{
    const QueryId id = query.id;
    m_queriesByCaller[query.caller] = id;
    auto [position, inserted] = m_queries.emplace(id, std::make_unique<Query>(std::move(query)));
    GREENGAGESTAIR_ASSERT(inserted);
    return *position->second;
}

void QueryTable::remove(QueryId id)
{
    const auto found = m_queries.find(id);
    GREENGAGESTAIR_ASSERT(found != m_queries.end());
    Query &query = *found->second;
    for (std::size_t part = 0; part < query.parts.size(); ++part) {
        while (!query.parts[part].attempts.empty())
            closeAttempt(query, part, query.parts[part].attempts.back().id);
    }
    const auto caller = m_queriesByCaller.find(query.caller);
    if (caller != m_queriesByCaller.end() && caller->second == id)
        m_queriesByCaller.erase(caller);
    m_queries.erase(found);
}

void QueryTable::clear()
{
    *this = QueryTable();
}

Query *QueryTable::find(QueryId id)
{
    const auto found = m_queries.find(id);
    return found == m_queries.end() ? nullptr : found->second.get();
}

Query *QueryTable::findByCaller(CallerId caller)
{
    const auto found = m_queriesByCaller.find(caller);
    return found == m_queriesByCaller.end() ? nullptr : find(found->second);
}

void QueryTable::addAttempt(Query &query, std::size_t part, Attempt attempt)
{
    const bool inserted = m_attempts.emplace(attempt.id, AttemptLocation { query.id, part }).second;
    GREENGAGESTAIR_ASSERT(inserted);
    m_attemptsByOwner[attempt.owner.host].insert(attempt.id);
    query.parts[part].attempts.push_back(std::move(attempt));
}

Attempt QueryTable::closeAttempt(Query &query, std::size_t part, PartId id)
{
    std::vector<Attempt> &attempts = query.parts[part].attempts;
    const auto found = std::find_if(attempts.begin(), attempts.end(),
                                    [&](const Attempt &attempt) { return attempt.id == id; });
    GREENGAGESTAIR_ASSERT(found != attempts.end());
    Attempt attempt = std::move(*found);
    attempts.erase(found);
    m_attempts.erase(id);
    const auto owner = m_attemptsByOwner.find(attempt.owner.host);
    owner->second.erase(id);
    if (owner->second.empty())
        m_attemptsByOwner.erase(owner);
    return attempt;
}

std::optional<QueryTable::AttemptLocation> QueryTable::findAttempt(PartId id) const
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
        return std::nullopt;
    return found->second;
}

std::vector<PartId> QueryTable::attemptsOfOwner(const HostId &owner) const
{
    const auto found = m_attemptsByOwner.find(owner);
    if (found == m_attemptsByOwner.end())
        return {};
    std::vector<PartId> result(found->second.begin(), found->second.end());
    std::sort(result.begin(), result.end(),
              [](PartId left, PartId right) { return left.value < right.value; });
    return result;
}

void QueryTable::scheduleWakeUp(Query &query, MonotonicTime time)
{
    if (time >= query.wakeUpAt)
        return;
    query.wakeUpAt = time;
    m_timers.push({ time, query.id });
}

void QueryTable::limitDeadlines(MonotonicTime latest)
{
    std::vector<QueryId> late;
    for (const auto &[id, query] : m_queries) {
        if (!query->callerGone && query->deadline > latest)
            late.push_back(id);
    }
    // The order of the table is not that of a replay.
    std::sort(late.begin(), late.end());
    for (const QueryId id : late) {
        Query &query = *m_queries.at(id);
        query.deadline = latest;
        scheduleWakeUp(query, latest);
    }
}

Query *QueryTable::takeDueQuery(MonotonicTime now)
{
    dropStaleTimers();
    if (m_timers.empty() || m_timers.top().time > now)
        return nullptr;
    Query *query = find(m_timers.top().query);
    m_timers.pop();
    query->wakeUpAt = kNever;
    return query;
}

MonotonicTime QueryTable::nextWakeUp() const
{
    return m_timers.empty() ? kNever : m_timers.top().time;
}

void QueryTable::dropStaleTimers()
{
    while (!m_timers.empty() && !isCurrent(m_timers.top()))
        m_timers.pop();
}

bool QueryTable::isCurrent(const Timer &timer) const
{
    const auto found = m_queries.find(timer.query);
    return found != m_queries.end() && found->second->wakeUpAt == timer.time;
}

} // namespace greengagestair
