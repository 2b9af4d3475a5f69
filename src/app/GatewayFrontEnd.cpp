#include "app/GatewayFrontEnd.h"

#include "http/HttpFields.h"

#include <charconv>

namespace greengagestair {

GatewayFrontEnd::GatewayFrontEnd(HeaderNames names, OnEvent onEvent, Lateness lateness)
    : m_names(std::move(names))
    , m_onEvent(std::move(onEvent))
    , m_lateness(std::move(lateness))
{
}

static std::optional<Duration> parseMilliseconds(std::string_view text)
{
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, count);
    constexpr std::int64_t kMostMs = 86'400'000;
    if (error != std::errc() || stop != end || count < 0 || count > kMostMs)
        return std::nullopt;
    return std::chrono::milliseconds(count);
}

void GatewayFrontEnd::onRequest(ExchangeId exchange, HttpServerRequest request)
{
    auto passed = std::make_shared<GatewayRequest>();
    passed->host = std::string(request.header("Host"));
    passed->requestId = std::string(request.header(m_names.requestId));
    passed->deadline = parseMilliseconds(request.header(m_names.deadline));
    passed->method = std::move(request.method);
    passed->target = std::move(request.target);
    passed->headers = endToEndFields(std::move(request.headers));
    std::erase_if(passed->headers, [this](const HeaderField &field) {
        return equalsIgnoringCase(field.name, m_names.deadline)
                || equalsIgnoringCase(field.name, m_names.expectedServer);
    });
    passed->body = std::move(request.body);
    m_onEvent(RequestReceived { exchange, std::move(passed), m_lateness() });
}

void GatewayFrontEnd::onCallerDisconnected(ExchangeId exchange)
{
    m_onEvent(CallerDisconnected { exchange });
}

void GatewayFrontEnd::onBadRequest(int /*status*/)
{
    ++m_badRequests;
}

HttpServerResponse GatewayFrontEnd::render(const Reply &reply) const
{
    return std::visit([this](const auto &typed) { return renderReply(typed); }, reply);
}

HttpServerResponse GatewayFrontEnd::renderReply(const ForwardedReply &reply) const
{
    HttpServerResponse response;
    response.status = reply.answer.status;
    response.reason = reply.answer.reason;
    response.headers = reply.answer.headers;
    response.body = reply.answer.body;
    return response;
}

HttpServerResponse GatewayFrontEnd::renderReply(const MergedReply &reply) const
{
    std::string signatures;
    for (const std::string &signature : reply.signatures)
        signatures += (signatures.empty() ? "" : ", ") + signature;
    HttpServerResponse response;
    response.headers.push_back({ m_names.partSignatures, signatures });
    response.headers.push_back({ m_names.missingParts, std::to_string(reply.missingParts) });
    response.body = reply.records;
    return response;
}

static int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoRoute:
        return 404;
    case RefusalReason::Unauthorized:
        return 401;
    case RefusalReason::OverQuota:
        return 429;
    case RefusalReason::NoConfiguration:
    case RefusalReason::NoBackend:
    case RefusalReason::Shed:
    case RefusalReason::Quarantined:
    case RefusalReason::Stopping:
        return 503;
    case RefusalReason::Failed:
        return 502;
    case RefusalReason::TimedOut:
        return 504;
    }
    return 502;
}

HttpServerResponse GatewayFrontEnd::renderReply(const RefusedReply &reply) const
{
    HttpServerResponse response;
    response.status = statusOf(reply.reason);
    if (reply.retryAfter > Duration(0)) {
        const auto ms = std::chrono::ceil<std::chrono::milliseconds>(reply.retryAfter).count();
        const std::string fraction = std::to_string(ms % 1000);
        response.headers.push_back({ "Retry-After",
                                     std::to_string(ms / 1000) + "."
                                             + std::string(3 - fraction.size(), '0') + fraction });
    }
    if (reply.reason == RefusalReason::Unauthorized)
        response.headers.push_back({ "WWW-Authenticate", "Bearer" });
    response.body = std::string(toText(reply.reason)) + "\n";
    return response;
}

} // namespace greengagestair
