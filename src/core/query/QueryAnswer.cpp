#include "core/query/QueryAnswer.h"

#include "core/Assert.h"

#include <algorithm>

namespace greengagestair {

static std::vector<std::size_t> requestedRanges(const Query &query)
{
    if (query.routedRange.has_value())
        return { *query.routedRange };
    std::vector<std::size_t> indexes(query.snapshot->ranges.size());
    for (std::size_t index = 0; index < indexes.size(); ++index)
        indexes[index] = index;
    return indexes;
}

static QueryReason firstFailureReason(const Query &query)
{
    const auto missing =
            std::find_if(query.parts.begin(), query.parts.end(), [](const QueryPart &part) {
                return part.state == QueryPart::State::Missing;
            });
    return missing == query.parts.end() ? QueryReason::NoReplica : queryReasonFor(missing->reason);
}

static void setOutcome(const Query &query, bool deadlinePassed, CallerAnswer &answer)
{
    if (answer.missing.empty() && !answer.parts.empty()) {
        answer.outcome = QueryOutcome::Complete;
        return;
    }
    if (!answer.parts.empty()) {
        answer.outcome = QueryOutcome::Partial;
        answer.reason = deadlinePassed ? QueryReason::DeadlinePassed : QueryReason::MissingParts;
        return;
    }
    answer.outcome = query.mayHaveRun ? QueryOutcome::Failed : QueryOutcome::NotRun;
    answer.reason = deadlinePassed ? QueryReason::DeadlinePassed : firstFailureReason(query);
}

CallerAnswer composeAnswer(Query &query, bool deadlinePassed, const MechanismSwitches &mechanisms)
{
    CallerAnswer answer;
    answer.service = query.service;
    answer.snapshot = query.snapshot->version;
    const std::vector<std::size_t> ranges = requestedRanges(query);
    answer.parts.reserve(ranges.size());
    for (const std::size_t index : ranges) {
        const KeyRange &range = query.snapshot->ranges[index];
        const std::size_t part = query.partOfGroup[query.snapshot->groupOfRange[index]];
        const QueryPart &source = query.parts[part];
        if (source.state == QueryPart::State::Answered) {
            GREENGAGESTAIR_ASSERT(!mechanisms.snapshotPinning
                                  || source.answeredVersion == answer.snapshot);
            answer.parts.push_back({ range.from, range.to, source.body });
        } else {
            GREENGAGESTAIR_ASSERT(source.state == QueryPart::State::Missing);
            answer.missing.push_back({ range.from, range.to, source.reason });
        }
    }
    GREENGAGESTAIR_ASSERT(answer.parts.size() + answer.missing.size() == ranges.size());
    setOutcome(query, deadlinePassed, answer);
    // Only in tests: without coverage accounting, a partial answer is labelled complete.
    if (!mechanisms.coverageAccounting && !answer.missing.empty()) {
        answer.missing.clear();
        answer.outcome = QueryOutcome::Complete;
        answer.reason = QueryReason::None;
    }
    return answer;
}

QueryReason queryReasonFor(PartReason reason)
{
    switch (reason) {
    case PartReason::Overloaded:
    case PartReason::Shed:
    case PartReason::Cold:
        return QueryReason::Overloaded;
    case PartReason::Expired:
    case PartReason::TimedOut:
        return QueryReason::DeadlinePassed;
    case PartReason::VersionNotHeld:
        return QueryReason::NoSnapshot;
    case PartReason::Quarantined:
        return QueryReason::Quarantined;
    case PartReason::ConnectionLost:
    case PartReason::Mismatch:
        return QueryReason::ConnectionLost;
    case PartReason::None:
    case PartReason::NotOwner:
    case PartReason::OutOfService:
    case PartReason::Draining:
    case PartReason::Unreachable:
    case PartReason::Cancelled:
        break;
    }
    return QueryReason::NoReplica;
}

const char *outcomeLabel(QueryOutcome outcome)
{
    switch (outcome) {
    case QueryOutcome::Complete:
        return "complete";
    case QueryOutcome::Partial:
        return "partial";
    case QueryOutcome::NotRun:
        return "notRun";
    case QueryOutcome::MayHaveRun:
        return "mayHaveRun";
    case QueryOutcome::Failed:
        break;
    }
    return "failed";
}

const char *reasonLabel(QueryReason reason)
{
    switch (reason) {
    case QueryReason::None:
        return "none";
    case QueryReason::BadRequest:
        return "badRequest";
    case QueryReason::UnknownService:
        return "unknownService";
    case QueryReason::UnknownOperation:
        return "unknownOperation";
    case QueryReason::MissingIdempotencyKey:
        return "missingIdempotencyKey";
    case QueryReason::IdentifierExpired:
        return "identifierExpired";
    case QueryReason::IdentifierInFuture:
        return "identifierInFuture";
    case QueryReason::NotReady:
        return "notReady";
    case QueryReason::Stopping:
        return "stopping";
    case QueryReason::Overloaded:
        return "overloaded";
    case QueryReason::DeadlinePassed:
        return "deadlinePassed";
    case QueryReason::Quarantined:
        return "quarantined";
    case QueryReason::NoSnapshot:
        return "noSnapshot";
    case QueryReason::NoReplica:
        return "noReplica";
    case QueryReason::PlatformUnavailable:
        return "platformUnavailable";
    case QueryReason::ClaimedElsewhere:
        return "claimedElsewhere";
    case QueryReason::ConnectionLost:
        return "connectionLost";
    case QueryReason::MissingParts:
        break;
    }
    return "missingParts";
}

const char *reasonLabel(PartReason reason)
{
    switch (reason) {
    case PartReason::NotOwner:
        return "notOwner";
    case PartReason::OutOfService:
        return "outOfService";
    case PartReason::Draining:
        return "draining";
    case PartReason::Overloaded:
        return "overloaded";
    case PartReason::Expired:
        return "expired";
    case PartReason::Unreachable:
        return "unreachable";
    case PartReason::VersionNotHeld:
        return "versionNotHeld";
    case PartReason::Shed:
        return "shed";
    case PartReason::Cold:
        return "cold";
    case PartReason::Quarantined:
        return "quarantined";
    case PartReason::Cancelled:
        return "cancelled";
    case PartReason::ConnectionLost:
        return "connectionLost";
    case PartReason::TimedOut:
        return "timedOut";
    case PartReason::Mismatch:
        return "mismatch";
    case PartReason::None:
        break;
    }
    return "none";
}

} // namespace greengagestair
