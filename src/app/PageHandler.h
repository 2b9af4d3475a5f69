#pragma once

#include "http/HttpServer.h"

#include <functional>
#include <string_view>

namespace greengagestair {

/** Answers each request of a server at once with the page of its target. */
class PageHandler : public HttpServerHandler
{
public:
    using Page = std::function<HttpServerResponse(std::string_view target)>;
    /** Sends a response on the server that the request came from. */
    using Send = std::function<void(ExchangeId exchange, const HttpServerResponse &response)>;

    PageHandler(Page page, Send send);

    void onRequest(ExchangeId exchange, HttpServerRequest request) override;
    void onCallerDisconnected(ExchangeId /*exchange*/) override { }
    void onBadRequest(int /*status*/) override { }

private:
    Page m_page;
    Send m_send;
};

} // namespace greengagestair
