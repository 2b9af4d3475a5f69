#include "gateway/RecordMerger.h"
#include "gateway/RequestDispatcher.h"

#include <algorithm>

namespace greengagestair {

/** Retry-After for requests that no backend server accepted. */
static constexpr Duration kNoBackendRetryAfter = std::chrono::milliseconds(50);
/** Retry-After for requests that are refused before any attempt, for example while starting. */
static constexpr Duration kNotRunRetryAfter = std::chrono::milliseconds(200);
/** Retry-After of a process that is stopping; other hosts serve the request at once. */
static constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(10);
/** Backend servers may continue a request for this time after its reply was sent. */
static constexpr Duration kFinishLinger = std::chrono::milliseconds(250);

static constexpr const char *kForwarded = "forwarded";
static constexpr const char *kComplete = "complete";

void RequestDispatcher::replyIfDone(Exchange &exchange)
{
    if (exchange.route->gather)
        return replyToGatherIfDone(exchange);
    Part &part = exchange.parts.front();
    if (!part.isSettled)
        return;
    if (part.answer)
        finish(exchange, ForwardedReply { std::move(*part.answer) });
    else
        replyFailed(exchange);
}

void RequestDispatcher::replyToGatherIfDone(Exchange &exchange)
{
    const std::size_t total = exchange.parts.size();
    if (!meetsMinCoverage(exchange, total - exchange.failed))
        return replyFailed(exchange);
    const bool isComplete = exchange.answered + exchange.failed == total;
    const bool isLate = m_now >= exchange.partialAnswerAt;
    if (meetsMinCoverage(exchange, exchange.answered) && (isComplete || isLate))
        replyMerged(exchange);
}

void RequestDispatcher::replyMerged(Exchange &exchange)
{
    MergedReply reply;
    std::vector<std::string_view> bodies;
    for (Part &part : exchange.parts) {
        if (!part.answer) {
            ++reply.missingParts;
            continue;
        }
        reply.signatures.push_back(part.answer->signature);
        bodies.push_back(part.answer->body);
    }
    reply.records = mergeGreatestRecords(bodies, exchange.route->gather->topRecords);
    finish(exchange, std::move(reply));
}

void RequestDispatcher::replyFailed(Exchange &exchange)
{
    Part &first = exchange.parts.front();
    if (!exchange.route->gather && first.failure)
        return finish(exchange, ForwardedReply { std::move(*first.failure) });
    RefusedReply reply;
    if (mayHaveRun(exchange))
        reply.reason = RefusalReason::Failed;
    else
        reply.reason = hasReachedServer(exchange) ? RefusalReason::Shed : RefusalReason::NoBackend;
    if (provesNotRun(reply.reason))
        reply.retryAfter = kNoBackendRetryAfter;
    finish(exchange, reply);
}

void RequestDispatcher::onDeadline(Exchange &exchange)
{
    if (exchange.route->gather && meetsMinCoverage(exchange, exchange.answered))
        return replyMerged(exchange);
    if (!mayHaveRun(exchange))
        return replyFailed(exchange);
    finish(exchange, RefusedReply { RefusalReason::TimedOut, Duration(0) });
}

void RequestDispatcher::refuse(ExchangeId exchange, const GatewayRequest &request,
                               RefusalReason reason)
{
    Duration retryAfter = provesNotRun(reason) ? kNotRunRetryAfter : Duration(0);
    if (reason == RefusalReason::Stopping)
        retryAfter = kStoppingRetryAfter;
    m_counters.add(std::string("refusals_total{reason=\"") + toText(reason) + "\"}");
    m_effects->push_back(LogRecord { LogPriority::Failure,
                                     "refused",
                                     { { "requestId", request.requestId },
                                       { "hostHeader", request.host },
                                       { "target", request.target },
                                       { "reason", toText(reason) } } });
    m_effects->push_back(ReplyToCaller { exchange, RefusedReply { reason, retryAfter },
                                         toText(reason), Duration(0) });
}

static std::string outcomeOf(const Reply &reply)
{
    if (const auto *refused = std::get_if<RefusedReply>(&reply))
        return toText(refused->reason);
    const auto *merged = std::get_if<MergedReply>(&reply);
    if (!merged)
        return kForwarded;
    return merged->missingParts == 0 ? kComplete : "partial";
}

void RequestDispatcher::finish(Exchange &exchange, Reply reply)
{
    m_quotas.forget(exchange.id);
    const std::string outcome = outcomeOf(reply);
    LogRecord line = describeReply(exchange, reply, outcome);
    // The caller waits for the reply only, so all else comes after it.
    m_effects->push_back(
            ReplyToCaller { exchange.id, std::move(reply), outcome, m_now - exchange.arrivedAt });
    for (Part &part : exchange.parts) {
        stopWaiting(part);
        releaseAttempts(part, kFinishLinger);
    }
    endRequest(*exchange.losses);
    m_effects->push_back(std::move(line));
    m_exchanges.erase(exchange.id);
}

static std::string describeMissingParts(const Exchange &exchange)
{
    std::string text;
    for (const Part &part : exchange.parts) {
        if (part.answer)
            continue;
        text += text.empty() ? "" : " ";
        text += part.service ? part.service->name.value : "unknown";
        text += part.isSettled ? ":failed" : ":open";
        for (const ServerId &server : part.reached)
            text += "," + server.value;
    }
    return text;
}

LogRecord RequestDispatcher::describeReply(const Exchange &exchange, const Reply &reply,
                                           const std::string &outcome)
{
    LogRecord line;
    m_counters.add("answers_total{outcome=\"" + outcome + "\"}");
    const bool isServed = outcome == kForwarded || outcome == kComplete;
    line.priority = isServed ? LogPriority::Detail : LogPriority::Failure;
    line.event = "answered";
    const auto elapsed = std::chrono::duration_cast<Duration>(m_now - exchange.arrivedAt);
    line.fields = { { "requestId", exchange.request->requestId },
                    { "route", exchange.route->name },
                    { "outcome", outcome },
                    { "configuration", std::to_string(exchange.configuration->version) },
                    { "micros", std::to_string(elapsed.count()) } };
    if (exchange.tenant)
        line.fields.emplace_back("tenant", exchange.tenant->name.value);
    if (const auto *forwarded = std::get_if<ForwardedReply>(&reply))
        line.fields.emplace_back("status", std::to_string(forwarded->answer.status));
    if (!isServed)
        line.fields.emplace_back("missing", describeMissingParts(exchange));
    if (exchange.hedges > 0)
        line.fields.emplace_back("hedges", std::to_string(exchange.hedges));
    return line;
}

} // namespace greengagestair
