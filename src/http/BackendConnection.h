#pragma once

#include "http/BackendConnectionPool.h"
#include "http/TcpStream.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace greengagestair {

/** One connection to a backend server. */
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    BackendConnection(BackendConnectionPool &client, ServerId server, Endpoint endpoint);

    /** Connects and sends the request. */
    void open(const StartAttempt &attempt);
    /** Connects without a request. */
    void open();
    /** Sends another request on the open connection. */
    void send(const StartAttempt &attempt);
    /** Closes the connection; an attempt in progress ends with `failure`. */
    void abort(AttemptFailure failure);

    const ServerId &server() const { return m_server; }
    const Endpoint &endpoint() const { return m_endpoint; }
    bool isConnected() const { return m_stream != nullptr; }
    /** As of the last request. */
    const IdleConnectionLimits &idleLimits() const { return m_allowance; }
    /** When an idle connection is to be closed. */
    Clock::time_point idleUntil() const { return m_idleUntil; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected(TcpStream::Socket socket);
    void startStream(TcpStream::Socket socket);
    void resetParser();
    std::string serialize(const StartAttempt &attempt) const;
    void onBytes(std::string_view bytes);
    void onEnd(StreamEnd end);
    void parse();
    void onResponse();
    bool isStray() const;
    void readIdleTimeout();
    BackendAnswer takeAnswer();
    void finish(AttemptResult result, bool isReusable);

    BackendConnectionPool &m_client;
    ServerId m_server;
    Endpoint m_endpoint;
    std::shared_ptr<TcpStream::Socket> m_connecting;
    std::shared_ptr<TcpStream> m_stream;
    std::optional<Parser> m_parser;
    std::string m_pending;
    std::optional<StartAttempt> m_attempt;
    IdleConnectionLimits m_allowance;
    Clock::time_point m_sentAt;
    Clock::time_point m_idleUntil = Clock::time_point::max();
    std::chrono::seconds m_idleTimeout { 0 }; ///< as the server states it; 0 if it does not
    bool m_isClosed = false;
};

} // namespace greengagestair
