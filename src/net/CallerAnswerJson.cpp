#include "net/CallerAnswerJson.h"

#include "net/EnumNames.h"

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace greengagestair {

int httpStatus(QueryOutcome outcome, QueryReason reason)
{
    if (outcome == QueryOutcome::Complete || outcome == QueryOutcome::Partial)
        return 200;
    switch (reason) {
    case QueryReason::BadRequest:
    case QueryReason::MissingIdempotencyKey:
    case QueryReason::IdentifierInFuture:
        return 400;
    case QueryReason::UnknownService:
    case QueryReason::UnknownOperation:
        return 404;
    case QueryReason::ClaimedElsewhere:
    case QueryReason::IdentifierExpired:
        return 409;
    case QueryReason::Quarantined:
        return 422;
    case QueryReason::Overloaded:
        return 429;
    case QueryReason::NotReady:
    case QueryReason::Stopping:
    case QueryReason::NoSnapshot:
    case QueryReason::NoReplica:
    case QueryReason::PlatformUnavailable:
        return 503;
    case QueryReason::ConnectionLost:
        return 502;
    case QueryReason::DeadlinePassed:
        return 504;
    case QueryReason::None:
    case QueryReason::MissingParts:
        break;
    }
    // Either this answers an outcome query, possibly with a final notRun (200), or all parts failed
    // for different reasons (502).
    return outcome == QueryOutcome::Failed ? 502 : 200;
}

static boost::json::object renderCoverage(const CallerAnswer &answer,
                                          const boost::json::storage_ptr &storage)
{
    boost::json::array missing(storage);
    for (const MissingRange &range : answer.missing) {
        missing.push_back(boost::json::object(
                { { "from", range.from }, { "to", range.to }, { "reason", toText(range.reason) } },
                storage));
    }
    boost::json::object coverage(storage);
    coverage["total"] = answer.parts.size() + answer.missing.size();
    coverage["covered"] = answer.parts.size();
    coverage["missing"] = std::move(missing);
    return coverage;
}

CallerResponse renderAnswer(const CallerAnswer &answer, const std::string &requestId)
{
    // The JSON value is built and discarded within this function, so an arena is enough.
    boost::json::monotonic_resource memory;
    const boost::json::storage_ptr storage(&memory);
    boost::json::array parts(storage);
    for (const AnsweredRange &range : answer.parts) {
        parts.push_back(boost::json::object(
                { { "from", range.from }, { "to", range.to }, { "body", range.body } }, storage));
    }
    boost::json::object object(storage);
    object["outcome"] = toText(answer.outcome);
    object["reason"] = toText(answer.reason);
    if (answer.notSent && answer.outcome == QueryOutcome::MayHaveRun)
        object["attempt"] = "notSent";
    object["service"] = answer.service.value;
    object["snapshot"] = answer.snapshot.value;
    object["coverage"] = renderCoverage(answer, storage);
    object["parts"] = std::move(parts);
    object["requestId"] = requestId;
    return { httpStatus(answer.outcome, answer.reason), boost::json::serialize(object) };
}

CallerResponse renderRefusal(int status, QueryReason reason, const std::string &detail)
{
    const boost::json::object object { { "outcome", toText(QueryOutcome::NotRun) },
                                       { "reason", toText(reason) },
                                       { "detail", detail } };
    return { status, boost::json::serialize(object) };
}

} // namespace greengagestair
