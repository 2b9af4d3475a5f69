#pragma once

#include "http/CallerAccount.h"
#include "http/GrowingBody.h"
#include "http/HttpServer.h"
#include "http/TcpStream.h"

#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace greengagestair {

/**
 * One connection of a caller to an HttpServer, which owns it. Parses requests, passes them to the
 * handler one at a time and writes the responses. Rejects requests with ambiguous framing. Keeps
 * the server's CallerAccount informed of what it holds.
 */
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>,
                             private AccountedCaller
{
public:
    /** Takes over an accepted socket. `id` identifies the connection within `server`. */
    HttpServerConnection(std::uint64_t id, TcpStream::Socket socket, HttpServer &server);

    /** Begins to read requests. */
    void start();
    /** Writes the response to the request in progress, then continues with the next request. */
    void reply(const HttpServerResponse &response);
    /**
     * True if no request is in progress, all responses were sent, all received bytes were parsed
     * and the kernel holds no further ones. Also true while a request is incomplete, if all of its
     * bytes so far were parsed.
     */
    bool isIdle() const;
    /** Closes the connection at once. A request in progress is reported as disconnected. */
    void close();
    /**
     * Closes the connection if it was idle for too long, or if its caller has not read any of the
     * response for as long. Rejects a request with status 408 if its
     * bytes take too long to arrive.
     */
    void checkTimeouts(std::chrono::steady_clock::time_point now);

private:
    using Parser = boost::beast::http::request_parser<GrowingBody>;
    using Time = CallerAccount::Time;
    using OnChunkHeader = std::function<void(std::uint64_t bytes, std::string_view extensions,
                                             boost::system::error_code &error)>;

    void endForShortage(ShortageReason reason) override;
    void resumeReading() override;
    void resetParser();
    /** Takes over limits of the server that are higher than those of the connection. */
    void raiseLimits();
    void checkChunk(std::uint64_t bytes, boost::system::error_code &error) const;
    void onBytes(std::string_view bytes);
    void onEnd();
    void onDrained();
    void readAhead(std::string_view bytes);
    void parseReadAhead();
    void parse(std::string_view bytes);
    int feed(std::string_view &bytes);
    void dispatchRequest();
    void rejectRequest(int status);
    void refuse(int status);
    bool mayParse() const { return !m_exchange && !m_stream->hasUnsentBytes(); }
    bool isReceiving() const { return !m_unparsed.empty() || m_parser->got_some(); }
    std::size_t incompleteBytes() const;
    CallerStage stage() const;
    void updateShare(Time now);
    void closeGracefully();
    bool hasAmbiguousFraming() const;

    std::uint64_t m_id;
    HttpServer &m_server;
    std::shared_ptr<TcpStream> m_stream;
    std::optional<CallerShare> m_share; ///< none once the connection is closed
    /**
     * Limits of the request that is being received, or of the idle connection: the server's at its
     * beginning, or higher ones that came into force since. A caller that keeps to the limits it
     * knew when it began is not cut off by lower ones.
     */
    CallerLimits m_limits;
    bool m_hasBegunRequest = false; ///< the parser was given bytes of the request
    OnChunkHeader m_onChunkHeader;  ///< the parser refers to it
    std::optional<Parser> m_parser;
    std::string m_unparsed;
    std::size_t m_headerBytes = 0;  ///< of the request that is being received, once parsed
    std::size_t m_bodyBytes = 0;    ///< of the request that is being received, at the last update
    std::size_t m_requestBytes = 0; ///< of the request in progress
    bool m_hasServed = false;       ///< a request of this connection was passed on
    std::optional<ExchangeId> m_exchange;
    bool m_isHeadRequest = false;
    bool m_keepAlive = true;
    bool m_isClosing = false; ///< the last response was written; later bytes are dropped
    bool m_continueSent = false;
    /** Start of the current state, or the last check that found that more bytes were sent. */
    std::chrono::steady_clock::time_point m_stateSince;
    std::size_t m_unsentBytes = 0; ///< of the response, at the last check
};

} // namespace greengagestair
