#pragma once

#include "gateway/GatewayEvent.h"
#include "http/HeaderNames.h"
#include "http/HttpServer.h"

#include <functional>

namespace greengagestair {

/** Translates between callers' HTTP messages and gateway events and replies. */
class GatewayFrontEnd : public HttpServerHandler
{
public:
    using OnEvent = std::function<void(GatewayEvent event)>;

    /** How long requests that are read now may have waited. */
    using Lateness = std::function<Duration()>;

    GatewayFrontEnd(HeaderNames names, OnEvent onEvent, Lateness lateness);

    void onRequest(ExchangeId exchange, HttpServerRequest request) override;
    void onCallerDisconnected(ExchangeId exchange) override;
    void onBadRequest(int status) override;

    /** The HTTP form of a reply. */
    HttpServerResponse render(const Reply &reply) const;
    std::uint64_t badRequests() const { return m_badRequests; }

private:
    HttpServerResponse renderReply(const ForwardedReply &reply) const;
    HttpServerResponse renderReply(const MergedReply &reply) const;
    HttpServerResponse renderReply(const RefusedReply &reply) const;

    HeaderNames m_names;
    OnEvent m_onEvent;
    Lateness m_lateness;
    std::uint64_t m_badRequests = 0;
};

} // namespace greengagestair
