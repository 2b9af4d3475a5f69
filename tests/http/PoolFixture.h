#pragma once

#include "RawPeers.h"

#include "http/BackendConnectionPool.h"
#include "tests/RecordingResponseObserver.h"

#include <map>

namespace greengagestair {

using namespace std::chrono_literals;

/** A connection pool and a backend server whose responses the test writes. */
class PoolFixture
{
public:
    PoolFixture()
        : server(context)
        , pool(
                  context, names(),
                  [this](AttemptId attempt, AttemptResult result) {
                      ended.emplace(attempt.value, std::move(result));
                  },
                  [this](const ServerId &server, bool isConnected) {
                      connectionAttempts.emplace_back(server.value, isConnected);
                  },
                  [this](const ServerId &server) { lostServers.push_back(server.value); }, observer)
    {
    }

    static HeaderNames names()
    {
        HeaderNames names;
        names.requestId = "Request-Id";
        names.deadline = "Deadline";
        names.expectedServer = "Expected-Server";
        names.signature = "Signature";
        names.notExecuted = "Not-Executed";
        names.requestLimit = "Request-Limit";
        names.leaving = "Leaving";
        names.tenant = "Tenant";
        return names;
    }

    void start(std::uint64_t attempt, const std::string &body = "")
    {
        auto request = std::make_shared<GatewayRequest>();
        request->method = body.empty() ? "GET" : "POST";
        request->target = "/x?a=1&a=2";
        request->host = "h";
        request->requestId = "id-" + std::to_string(attempt);
        request->headers = { { "Host", "h" }, { "Request-Id", request->requestId } };
        request->headers.insert(request->headers.end(), extraFields.begin(), extraFields.end());
        request->body = body;
        pool.start({ { attempt },
                     { "s" },
                     { "127.0.0.1", server.port() },
                     request,
                     500ms,
                     idleLimits,
                     caller });
    }

    RawPeer &peer(std::size_t index = 0)
    {
        runUntil(context, [&] { return server.peers.size() > index; });
        return *server.peers[index];
    }
    /** Waits until the peer has received the request id of an attempt, then sends `response`. */
    void respond(std::uint64_t attempt, const std::string &response, std::size_t index = 0)
    {
        RawPeer &connection = peer(index);
        const std::string id = "id-" + std::to_string(attempt);
        runUntil(context, [&] { return connection.received.find(id) != std::string::npos; });
        connection.write(response);
    }
    const AttemptResult &result(std::uint64_t attempt)
    {
        runUntil(context, [&] { return ended.contains(attempt); });
        return ended.at(attempt);
    }
    const BackendAnswer &answer(std::uint64_t attempt)
    {
        const auto *answer = std::get_if<BackendAnswer>(&result(attempt));
        REQUIRE(answer);
        return *answer;
    }
    AttemptFailure failure(std::uint64_t attempt)
    {
        const auto *failure = std::get_if<AttemptFailure>(&result(attempt));
        REQUIRE(failure);
        return *failure;
    }

    boost::asio::io_context context { 1 };
    RawServer server;
    std::map<std::uint64_t, AttemptResult> ended;
    std::vector<std::pair<std::string, bool>> connectionAttempts;
    std::vector<std::string> lostServers;
    IdleConnectionLimits idleLimits;
    Headers extraFields;
    std::optional<VerifiedCaller> caller;
    RecordingResponseObserver observer;
    BackendConnectionPool pool;
};

/** A complete, signed response to an attempt; `headers` are further field lines. */
inline std::string response(std::uint64_t attempt, const std::string &body,
                            const std::string &headers = "")
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: id-" + std::to_string(attempt) + "\r\nSignature: sig\r\n"
            + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace greengagestair
