#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace greengagestair::standins {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** One HTTP request; `target` is the path with its query. */
struct HttpRequest
{
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::string body;

    /** Value of a header (any case), or an empty string. */
    std::string header(std::string_view name) const;
    /** Path without the query. */
    std::string path() const;
    /** Value of a query parameter, or an empty string. */
    std::string query(std::string_view name) const;
};

/** One HTTP answer. */
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/** Parses `address:port` with a numeric address; throws std::invalid_argument otherwise. */
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view text);

/** Whole number in `text`, or `otherwise` if there is none. */
std::int64_t parseNumber(std::string_view text, std::int64_t otherwise);

/** Waits. */
boost::asio::awaitable<void> sleepFor(std::chrono::microseconds duration);

/** HTTP/1.1 server with kept-open connections on one endpoint, driven by one thread. */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    /** Answers one request; no value resets the connection without an answer. */
    using Handler = std::function<boost::asio::awaitable<std::optional<HttpResponse>>(HttpRequest)>;

    struct Limits
    {
        int connections = std::numeric_limits<int>::max();
        std::chrono::microseconds newConnectionCost {}; ///< delay before the first request is read
    };

    struct Counters
    {
        std::uint64_t accepted = 0;
        std::uint64_t refused = 0; ///< reset at once, since the connection limit was reached
        int mostOpen = 0;
    };

    static std::shared_ptr<HttpServer> create(boost::asio::io_context &context,
                                              const boost::asio::ip::tcp::endpoint &endpoint,
                                              Handler handler, Limits limits);

    /** Starts to listen; throws boost::system::system_error if the endpoint is not available. */
    void open();
    /** Refuses connections from now on and resets the open ones. */
    void close();

    /** The endpoint, with the port that the system chose if 0 was asked for. */
    boost::asio::ip::tcp::endpoint endpoint() const { return m_endpoint; }
    const Counters &counters() const { return m_counters; }
    void resetCounters() { m_counters = {}; }

private:
    using Socket = boost::asio::ip::tcp::socket;
    using Acceptor = boost::asio::ip::tcp::acceptor;

    HttpServer(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
               Handler handler, Limits limits);
    static boost::asio::awaitable<void> acceptConnections(std::shared_ptr<HttpServer> server,
                                                          std::shared_ptr<Acceptor> acceptor);
    static boost::asio::awaitable<void> serveConnection(std::shared_ptr<HttpServer> server,
                                                        std::shared_ptr<Socket> socket);

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    Handler m_handler;
    Limits m_limits;
    std::shared_ptr<Acceptor> m_acceptor;
    std::set<std::shared_ptr<Socket>> m_sockets;
    Counters m_counters;
};

} // namespace greengagestair::standins
