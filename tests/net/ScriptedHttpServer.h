#pragma once

#include "greengagestair/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace greengagestair {

/** One request as read by the server. */
struct ScriptedRequest
{
    std::string head; ///< request line and headers
    std::string body;
    int indexOnConnection = 0; ///< 0 for the first one
};

/** What the server does with a request. */
struct ScriptedReply
{
    std::string bytes;
    bool close = false; ///< after `bytes`
    bool reset = false; ///< close with a reset
};

/** A whole HTTP response. */
std::string httpResponse(const std::string &statusLine, const std::string &headers = {},
                         const std::string &body = {});

/** An HTTP server on a loopback address with one blocking thread per connection. */
class ScriptedHttpServer
{
public:
    using Script = std::function<ScriptedReply(const ScriptedRequest &request)>;

    explicit ScriptedHttpServer(Script script);
    ~ScriptedHttpServer();

    Endpoint endpoint() const { return m_endpoint; }
    int requests() const { return m_requests; }
    int connections() const { return m_connections; }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(Socket &socket);

    Script m_script;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_endpoint;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_connections = 0;
    std::mutex m_mutex;
    std::list<Socket> m_sockets;      ///< guarded by m_mutex
    std::list<std::thread> m_threads; ///< guarded by m_mutex
    std::thread m_acceptThread;
};

} // namespace greengagestair
