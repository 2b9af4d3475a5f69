#pragma once

#include "app/ConfigurationChange.h"
#include "app/HttpExchange.h"

namespace greengagestair {

/** Reads and writes the document `configuration` over the platform's HTTP protocol. */
class HttpConfigurationStore : public ConfigurationStore
{
public:
    /** @param limit after which waitBeforeRetry gives up */
    HttpConfigurationStore(Endpoint platform, std::chrono::milliseconds limit);

    std::optional<PlatformDocument> read() override;
    WriteResult write(Revision expected, const std::string &content) override;
    bool waitBeforeRetry() override;

private:
    /** Makes the request; prints why it failed, once, and returns nothing then. */
    std::optional<HttpExchangeReply> call(const HttpExchangeRequest &request);

    Endpoint m_platform;
    std::string m_printedFailure;
    std::chrono::steady_clock::time_point m_giveUpAt;
};

} // namespace greengagestair
