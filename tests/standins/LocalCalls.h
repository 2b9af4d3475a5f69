#pragma once

#include "standins/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengagestair::standins {

/** A call whose answer arrives while the context runs. */
struct PendingCall
{
    bool finished = false;
    std::optional<HttpResponse> response;
};

/** Starts a call on a new connection. */
inline std::shared_ptr<PendingCall> startCall(boost::asio::io_context &context,
                                              const boost::asio::ip::tcp::endpoint &endpoint,
                                              HttpRequest request)
{
    auto call = std::make_shared<PendingCall>();
    const auto connection = std::make_shared<HttpConnection>(context, endpoint);
    auto exchange = [](auto pending, auto open, auto sent) -> boost::asio::awaitable<void> {
        pending->response = co_await open->exchange(sent);
        pending->finished = true;
    };
    boost::asio::co_spawn(context, exchange(call, connection, std::move(request)),
                          boost::asio::detached);
    return call;
}

/** Makes a call and waits for its answer. */
inline std::optional<HttpResponse> callNow(boost::asio::io_context &context,
                                           const boost::asio::ip::tcp::endpoint &endpoint,
                                           HttpRequest request)
{
    const auto call = startCall(context, endpoint, std::move(request));
    while (!call->finished)
        context.run_one();
    return call->response;
}

} // namespace greengagestair::standins
