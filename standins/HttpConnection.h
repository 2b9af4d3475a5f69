#pragma once

#include "standins/HttpServer.h"

#include <boost/beast/core/flat_buffer.hpp>

namespace greengagestair::standins {

/** One kept-open HTTP/1.1 connection that carries one request at a time. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint endpoint);

    /**
     * Sends a request, after connecting if there is no connection, and reads its answer. No value
     * if the connection failed or was closed; it is then closed.
     */
    boost::asio::awaitable<std::optional<HttpResponse>> exchange(HttpRequest request);
    bool isOpen() const { return m_socket.is_open(); }
    /** Ends an exchange that is in progress. */
    void close();
    /** Whether the last failed exchange may have reached the server. */
    bool wasSent() const { return m_sent; }

private:
    boost::asio::ip::tcp::endpoint m_endpoint;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    bool m_sent = false;
};

} // namespace greengagestair::standins
