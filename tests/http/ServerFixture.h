#pragma once

#include "RawPeers.h"

#include "http/HttpServer.h"

#include <boost/leaf/handle_errors.hpp>

#include <thread>

namespace greengagestair {

/** Records the calls that a server makes to its handler. */
class RecordingHandler : public HttpServerHandler
{
public:
    void onRequest(ExchangeId exchange, HttpServerRequest request) override
    {
        exchanges.push_back(exchange);
        requests.push_back(std::move(request));
    }
    void onCallerDisconnected(ExchangeId exchange) override { disconnected.push_back(exchange); }
    void onBadRequest(int status) override { badRequests.push_back(status); }

    std::vector<ExchangeId> exchanges;
    std::vector<HttpServerRequest> requests;
    std::vector<ExchangeId> disconnected;
    std::vector<int> badRequests;
};

/** A server on a free port of 127.0.0.1 with a recording handler. */
class ServerFixture
{
public:
    ServerFixture()
        : server(context, handler)
    {
        boost::leaf::try_handle_all(
                [&]() -> boost::leaf::result<void> {
                    return server.listen({ "127.0.0.1", 0 });
                },
                [](const HttpListenFailed &failure) { FAIL(failure.detail); },
                [] { FAIL("cannot listen"); });
    }

    std::shared_ptr<RawPeer> connect()
    {
        RawPeer::Socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server.endpoint().port });
        auto peer = std::make_shared<RawPeer>(std::move(socket));
        peer->start();
        return peer;
    }

    void awaitRequests(std::size_t count)
    {
        runUntil(context, [&] { return handler.requests.size() >= count; });
    }
    /** Handles all events until none comes any more: the server has read what was sent so far. */
    void handleEvents()
    {
        constexpr int kQuietRounds = 4;
        for (int quiet = 0; quiet < kQuietRounds;) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
            context.restart();
            quiet = context.poll() > 0 ? 0 : quiet + 1;
        }
    }
    void awaitBytes(RawPeer &peer, const std::string &part)
    {
        runUntil(context, [&] { return peer.received.find(part) != std::string::npos; });
    }
    void reply(std::size_t index, const std::string &body)
    {
        HttpServerResponse response;
        response.body = body;
        server.reply(handler.exchanges.at(index), response);
    }

    boost::asio::io_context context { 1 };
    RecordingHandler handler;
    HttpServer server;
};

} // namespace greengagestair
