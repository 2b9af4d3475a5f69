#include "app/HttpConfigurationStore.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>
#include <thread>
#include <utility>

namespace greengagestair {

static constexpr const char *kPath = "/kv/configuration";
static constexpr std::chrono::milliseconds kRetryInterval(200);
static constexpr int kHttpOk = 200;
static constexpr int kHttpNotFound = 404;
static constexpr int kHttpConflict = 409;

HttpConfigurationStore::HttpConfigurationStore(Endpoint platform, std::chrono::milliseconds limit)
    : m_platform(std::move(platform))
    , m_giveUpAt(std::chrono::steady_clock::now() + limit)
{
}

std::optional<HttpExchangeReply> HttpConfigurationStore::call(const HttpExchangeRequest &request)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::optional<HttpExchangeReply>> {
                BOOST_LEAF_AUTO(reply, exchange(request));
                return std::optional(std::move(reply));
            },
            [&](const HttpExchangeFailed &failure) {
                // Calls are repeated for some time, mostly with the same failure.
                if (std::exchange(m_printedFailure, failure.detail) != failure.detail)
                    std::cerr << failure.detail << "\n";
                return std::optional<HttpExchangeReply>();
            },
            [] { return std::optional<HttpExchangeReply>(); });
}

std::optional<PlatformDocument> HttpConfigurationStore::read()
{
    HttpExchangeRequest request;
    request.server = m_platform;
    request.path = kPath;
    const auto reply = call(request);
    if (!reply)
        return std::nullopt;
    if (reply->status == kHttpNotFound)
        return PlatformDocument {};
    if (reply->status != kHttpOk || !reply->revision)
        return std::nullopt;
    return PlatformDocument { *reply->revision, reply->body };
}

WriteResult HttpConfigurationStore::write(Revision expected, const std::string &content)
{
    HttpExchangeRequest request;
    request.server = m_platform;
    request.path = kPath;
    request.body = content;
    request.ifRevision = expected;
    const auto reply = call(request);
    if (!reply)
        return WriteUnknown {};
    if (reply->status == kHttpConflict)
        return WriteConflict {};
    if (reply->status != kHttpOk || !reply->revision)
        return WriteUnknown {};
    return *reply->revision;
}

bool HttpConfigurationStore::waitBeforeRetry()
{
    if (std::chrono::steady_clock::now() + kRetryInterval >= m_giveUpAt)
        return false;
    std::this_thread::sleep_for(kRetryInterval);
    return true;
}

} // namespace greengagestair
