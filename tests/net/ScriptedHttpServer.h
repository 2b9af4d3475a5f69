#pragma once

#include "greengagestair/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace greengagestair {

/** A request as ScriptedHttpServer received it. */
struct ScriptedRequest
{
    std::string head; ///< request line and headers
    std::string body;
    int indexOnConnection = 0; ///< number of earlier requests on the same connection
};

/** How ScriptedHttpServer responds to a request. */
struct ScriptedReply
{
    std::string bytes;       ///< sent as they are; nothing is sent if empty
    bool close = false;      ///< close the connection after `bytes`
    bool reset = false;      ///< close the connection with a TCP reset after `bytes`
    std::string repeated {}; ///< sent again and again after `bytes`, until the client closes
    std::chrono::milliseconds closeDelay { 0 }; ///< time between `bytes` and the close or reset
};

/**
 * Renders an HTTP response with Content-Length.
 * @param statusLine status code and reason phrase, such as "200 OK"
 * @param headers further header lines, each ending with CRLF
 */
std::string httpResponse(const std::string &statusLine, const std::string &headers = {},
                         const std::string &body = {});

/**
 * HTTP server for tests that responds to each request as a script tells. It listens on a free
 * port of 127.0.0.1 and uses one blocking thread per connection.
 */
class ScriptedHttpServer
{
public:
    /** Computes the reply to a request; called on the thread of the connection. */
    using Script = std::function<ScriptedReply(const ScriptedRequest &request)>;

    /** Reads the body of a request before it replies, unless `readsBodies` is false. */
    explicit ScriptedHttpServer(Script script, bool readsBodies = true);
    ~ScriptedHttpServer();

    /** The address and port on which the server listens. */
    Endpoint endpoint() const { return m_endpoint; }
    /** Number of requests received so far. */
    int requests() const { return m_requests; }
    /** Number of bytes sent so far that ScriptedReply::repeated asked for. */
    std::size_t repeatedBytes() const { return m_repeatedBytes; }
    /** Number of connections accepted so far. */
    int connections() const { return m_connections; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(Socket &socket);
    void repeat(Socket &socket, const std::string &pattern);

    Script m_script;
    bool m_readsBodies;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_connections = 0;
    std::atomic<std::size_t> m_repeatedBytes = 0;
    std::mutex m_mutex;
    std::list<Socket> m_sockets;      ///< guarded by m_mutex
    std::list<std::thread> m_threads; ///< guarded by m_mutex
    std::thread m_acceptThread;
};

} // namespace greengagestair
