#include "net/CallerRequestParser.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

namespace greengagestair {

static constexpr std::size_t kMaxNameLength = 128;
/** Unix seconds (20 digits hold any 64-bit number), a dash and up to 64 characters that the caller
 * chooses. */
static constexpr std::size_t kMaxIdempotencyKeyLength = 20 + 1 + 64;
static constexpr std::size_t kMaxRoutingKeyLength = 1024;
/** Prevents overflows in deadline arithmetic; no configured deadline comes close to it. */
static constexpr std::chrono::milliseconds kMaxDeadline = std::chrono::hours(24);

static std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> segments;
    path = path.substr(0, path.find('?'));
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        segments.push_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return segments;
}

static bool isNameCharacter(char letter)
{
    const bool isAlphanumeric = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
            || (letter >= '0' && letter <= '9');
    return isAlphanumeric || letter == '-' || letter == '_' || letter == '.';
}

static bool isName(std::string_view text, std::size_t maxLength)
{
    return !text.empty() && text.size() <= maxLength
            && std::all_of(text.begin(), text.end(), isNameCharacter);
}

/** Whether the text is `<unix seconds>-<1 to 64 characters>`. */
static bool isIdempotencyKey(std::string_view text)
{
    const auto dash = text.find('-');
    if (dash == 0 || dash == std::string_view::npos || dash + 1 == text.size())
        return false;
    std::uint64_t seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + dash, seconds);
    if (error != std::errc {} || end != text.data() + dash)
        return false;
    return text.size() - dash - 1 <= 64 && isName(text, kMaxIdempotencyKeyLength);
}

static HttpRefusal badRequest(std::string detail)
{
    return { 400, QueryReason::BadRequest, std::move(detail) };
}

static std::optional<Duration> parseDeadline(const std::string &text)
{
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    const bool isNumber = error == std::errc {} && end == text.data() + text.size();
    if (!isNumber || milliseconds < 1 || milliseconds > kMaxDeadline.count())
        return std::nullopt;
    return std::chrono::milliseconds(milliseconds);
}

static ParsedRequest parseQuery(const HttpRequestView &request, std::string_view service,
                                std::string_view operation)
{
    if (request.method != "POST")
        return HttpRefusal { 405, QueryReason::BadRequest, "use POST" };
    if (!isName(service, kMaxNameLength) || !isName(operation, kMaxNameLength))
        return badRequest("service and operation are names of letters, digits, '-', '_' and '.'");
    CallerRequest parsed;
    parsed.service = { std::string(service) };
    parsed.operation = { std::string(operation) };
    if (const auto deadline = request.header("X-Deadline-Ms")) {
        parsed.deadline = parseDeadline(*deadline);
        if (!parsed.deadline)
            return badRequest("X-Deadline-Ms is a whole number of milliseconds from 1 to 86400000");
    }
    if (const auto key = request.header("Idempotency-Key")) {
        if (!isIdempotencyKey(*key))
            return badRequest("Idempotency-Key is <unix seconds>-<1 to 64 characters>");
        parsed.idempotencyKey = IdempotencyKey { *key };
    }
    if (const auto key = request.header("X-Routing-Key")) {
        if (key->size() > kMaxRoutingKeyLength)
            return badRequest("X-Routing-Key is longer than 1024 bytes");
        parsed.routingKey = *key;
    }
    parsed.body = request.body;
    return parsed;
}

static ParsedRequest parseOutcomeQuery(const HttpRequestView &request, std::string_view service,
                                       std::string_view identifier)
{
    if (request.method != "GET")
        return HttpRefusal { 405, QueryReason::BadRequest, "use GET" };
    if (!isName(service, kMaxNameLength))
        return badRequest("the service is a name of letters, digits, '-', '_' and '.'");
    if (!isIdempotencyKey(identifier))
        return badRequest("the identifier is <unix seconds>-<1 to 64 characters>");
    OutcomeQuery parsed;
    parsed.service = { std::string(service) };
    parsed.idempotencyKey = { std::string(identifier) };
    return parsed;
}

static std::optional<OperatorPage> findOperatorPage(std::string_view name)
{
    if (name == "metrics")
        return OperatorPage::Metrics;
    if (name == "state")
        return OperatorPage::State;
    if (name == "healthz")
        return OperatorPage::Health;
    return std::nullopt;
}

ParsedRequest parseCallerRequest(const HttpRequestView &request)
{
    const auto segments = splitPath(request.path);
    if (segments.size() == 4 && segments[0] == "v1" && segments[1] == "services")
        return parseQuery(request, segments[2], segments[3]);
    if (segments.size() == 4 && segments[0] == "v1" && segments[1] == "requests")
        return parseOutcomeQuery(request, segments[2], segments[3]);
    if (segments.size() == 1) {
        if (const auto page = findOperatorPage(segments[0])) {
            if (request.method != "GET")
                return HttpRefusal { 405, QueryReason::BadRequest, "use GET" };
            return *page;
        }
    }
    return HttpRefusal { 404, QueryReason::BadRequest, "no such path" };
}

} // namespace greengagestair
