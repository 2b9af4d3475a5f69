#include "net/HttpAnswer.h"

#include <pistache/http.h>

namespace greengagestair {

HttpAnswer toAnswer(CallerResponse response)
{
    return { response.status, "application/json", std::move(response.body) };
}

HttpAnswer toAnswer(const HttpRefusal &refusal)
{
    return toAnswer(renderRefusal(refusal.status, refusal.reason, refusal.detail));
}

HttpRefusal refusalFor(FramingStatus status)
{
    switch (status) {
    case FramingStatus::HeaderTooLarge:
        return { 431, QueryReason::BadRequest, "request line and headers are too large" };
    case FramingStatus::BodyTooLarge:
        return { 413, QueryReason::BadRequest, "body is too large" };
    default:
        return { 400, QueryReason::BadRequest, "malformed request" };
    }
}

std::string renderResponse(const HttpAnswer &answer, bool closeAfterwards)
{
    const auto code = static_cast<Pistache::Http::Code>(answer.status);
    std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    bytes += Pistache::Http::codeString(code);
    bytes += "\r\nContent-Type: " + answer.contentType;
    bytes += closeAfterwards ? "\r\nConnection: close" : "\r\nConnection: keep-alive";
    bytes += "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
    bytes += answer.body;
    return bytes;
}

} // namespace greengagestair
