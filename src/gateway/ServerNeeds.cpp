#include "gateway/ServerNeeds.h"

#include <algorithm>

namespace greengagestair {

ServerNeeds::Change ServerNeeds::setLimit(std::optional<double> limit, MonotonicTime statedAt)
{
    m_limitStatedAt = statedAt;
    if (limit == m_requestLimit)
        return Change::None;
    m_requestLimit = limit;
    return limit ? Change::LimitNamed : Change::LimitEnded;
}

ServerNeeds::Change ServerNeeds::addNamedLimit(std::optional<double> limit, MonotonicTime startedAt,
                                               MonotonicTime now)
{
    if (limit)
        return setLimit(limit, now);
    // A response to an earlier attempt may have been sent before the limit was named.
    if (!m_requestLimit || startedAt < *m_limitStatedAt)
        return Change::None;
    return setLimit(std::nullopt, now);
}

ServerNeeds::Change ServerNeeds::addReportedLimit(const LimitStatement &statement,
                                                  MonotonicTime now)
{
    const MonotonicTime statedAt = now - std::max(statement.age, Duration(0));
    const auto limit = statement.isLimited ? std::optional(statement.perSecond) : std::nullopt;
    // A known limit is not dated anew: its age would shrink by each message's time on the way.
    if (limit == m_requestLimit || (m_limitStatedAt && statedAt <= *m_limitStatedAt))
        return Change::None;
    return setLimit(limit, statedAt);
}

LimitStatement ServerNeeds::limitStatement(MonotonicTime now) const
{
    LimitStatement statement;
    statement.isLimited = m_requestLimit.has_value();
    statement.perSecond = m_requestLimit.value_or(0);
    statement.age = m_limitStatedAt ? now - *m_limitStatedAt : Duration(0);
    return statement;
}

} // namespace greengagestair
