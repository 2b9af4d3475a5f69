#pragma once

#include "http/BackendConnectionPool.h"
#include "http/ResponseHead.h"
#include "http/TcpStream.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace greengagestair {

/**
 * One connection of a BackendConnectionPool to a backend server. Sends one request at a time,
 * parses the response and reports the end of each attempt to the pool. Responses to an earlier
 * request are dropped, so that an answer never reaches the wrong attempt.
 */
class BackendConnection : public std::enable_shared_from_this<BackendConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    /** Creates a connection that is not open yet. `pool` must outlive the connection. */
    BackendConnection(BackendConnectionPool &pool, ServerId server, Endpoint endpoint);
    ~BackendConnection();

    /** Connects, then sends the request. A failed connect ends the attempt as NotSent. */
    void open(const StartAttempt &attempt);
    /** Connects without a request and reports the outcome to the pool. */
    void open();
    /** Sends a request on the established connection, which must be idle. */
    void send(const StartAttempt &attempt);
    /** Closes the connection; an attempt in progress ends with `failure`. */
    void abort(AttemptFailure failure);

    /** The server that was given to the constructor. */
    const ServerId &server() const { return m_server; }
    /** The address that was given to the constructor. */
    const Endpoint &endpoint() const { return m_endpoint; }
    /** True once the connection was established. Stays true after it is closed. */
    bool isConnected() const { return m_stream != nullptr; }
    /** Limits that came with the last request; the defaults before the first one. */
    const IdleConnectionLimits &idleLimits() const { return m_idleLimits; }
    /** Time at which the connection is to be closed if it is still idle. */
    Clock::time_point idleUntil() const { return m_idleUntil; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void onConnected(TcpStream::Socket socket);
    void startStream(TcpStream::Socket socket);
    void resetParser();
    std::string serialize(const StartAttempt &attempt);
    void onBytes(std::string_view bytes);
    void onEnd(StreamEnd end);
    void parse();
    /** Ends the attempt as Corrupt and reports the defect to the pool. */
    void reject(ResponseDefect defect);
    void onResponse();
    /** Adds bytes received for the current attempt to its own count and to that of the pool. */
    void countReceived(std::size_t bytes);
    void resetReceived();
    /** The bound that the response, or all responses together, exceed. */
    std::optional<ResponseDefect> exceededBound() const;
    bool isStray() const;
    void readIdleTimeout();
    BackendAnswer takeAnswer();
    void finish(AttemptResult result, bool isReusable);

    BackendConnectionPool &m_pool;
    ServerId m_server;
    Endpoint m_endpoint;
    std::shared_ptr<TcpStream::Socket> m_connectingSocket;
    std::shared_ptr<TcpStream> m_stream;
    std::optional<Parser> m_parser;
    std::string m_unparsed;
    std::string m_headText; ///< bytes of the head that the parser has consumed
    ResponseHead m_head;    ///< valid once the parser has the whole head
    std::optional<StartAttempt> m_attempt;
    std::size_t m_receivedBytes = 0;    ///< received for the current attempt
    std::size_t m_skippedResponses = 0; ///< interim and stray responses during the current attempt
    IdleConnectionLimits m_idleLimits;
    Clock::time_point m_sentAt;
    Clock::time_point m_idleUntil = Clock::time_point::max();
    std::chrono::seconds m_serverIdleTimeout { 0 }; ///< from Keep-Alive; 0 if not stated
    bool m_isClosed = false;
};

} // namespace greengagestair
