#pragma once

#include "http/HttpServer.h"
#include "http/TcpStream.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace greengagestair {

/** One connection of a caller. */
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(std::uint64_t id, TcpStream::Socket socket, HttpServer &server);

    void start();
    void reply(const HttpServerResponse &response);
    /** True if no request is being read or answered. */
    bool isIdle() const { return !m_exchange && m_pending.empty(); }
    /** Closes without an answer. */
    void close();
    /** Closes a connection whose time is over. */
    void checkTimeouts(std::chrono::steady_clock::time_point now);

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void resetParser();
    void onBytes(std::string_view bytes);
    void onEnd();
    void parse();
    void deliver();
    void refuse(int status);
    void closeGracefully();
    bool hasAmbiguousFraming() const;

    std::uint64_t m_id;
    HttpServer &m_server;
    std::shared_ptr<TcpStream> m_stream;
    std::optional<Parser> m_parser;
    std::string m_pending;
    std::optional<ExchangeId> m_exchange;
    bool m_isHead = false;
    bool m_keepAlive = true;
    bool m_isClosing = false; ///< the last answer was sent
    bool m_saidContinue = false;
    std::chrono::steady_clock::time_point m_since; ///< of the current state
};

} // namespace greengagestair
