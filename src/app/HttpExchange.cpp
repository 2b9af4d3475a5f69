#include "app/HttpExchange.h"

#include "net/EndpointText.h"
#include "net/HttpClient.h"

#include <boost/leaf/error.hpp>

#include <future>

namespace greengagestair {

/** Bound on the body of an answer: the state of a large host, or a value of the platform. */
static constexpr std::size_t kMaxReplyBytes = 16'777'216;

static HttpRequest toHttpRequest(const HttpExchangeRequest &request)
{
    HttpRequest http;
    http.method = request.body ? "PUT" : "GET";
    http.endpoint = request.server;
    http.target = request.path;
    http.body = request.body.value_or(std::string());
    http.contentType = "application/json";
    if (request.ifRevision)
        http.headers.push_back("If-Revision: " + std::to_string(request.ifRevision->value));
    http.deadline = steadyDeadline(request.timeout);
    http.notAfter = http.deadline;
    http.connectTimeout = request.timeout;
    http.maxResponseBytes = kMaxReplyBytes;
    return http;
}

static const char *toText(HttpCompletion end)
{
    switch (end) {
    case HttpCompletion::Answered:
        return "answered";
    case HttpCompletion::NotSent:
        return "no connection";
    case HttpCompletion::ConnectionLost:
        return "connection lost";
    case HttpCompletion::TimedOut:
        return "no answer in time";
    case HttpCompletion::Invalid:
        return "malformed response";
    }
    return "unknown";
}

static HttpExchangeFailed failureOf(const HttpExchangeRequest &request,
                                    const HttpResponse &response)
{
    HttpExchangeFailed failure;
    failure.sent = response.end != HttpCompletion::NotSent;
    failure.detail = toText(request.server) + ": " + toText(response.end);
    if (response.defect)
        failure.detail += std::string(" (") + toText(*response.defect) + ")";
    return failure;
}

boost::leaf::result<HttpExchangeReply> exchange(const HttpExchangeRequest &request)
{
    std::promise<HttpResponse> ended;
    HttpClient client;
    client.start(toHttpRequest(request),
                 [&](HttpResponse response) { ended.set_value(std::move(response)); });
    HttpResponse response = ended.get_future().get();
    if (response.end != HttpCompletion::Answered)
        return boost::leaf::new_error(failureOf(request, response));
    HttpExchangeReply reply;
    reply.status = response.status;
    if (const auto revision = response.number("x-revision"))
        reply.revision = Revision { *revision };
    reply.body = std::move(response.body);
    return reply;
}

} // namespace greengagestair
