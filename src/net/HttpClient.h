#pragma once

#include "greengagestair/Types.h"
#include "http/ResponseHead.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** Current time of std::chrono::steady_clock, in microseconds since the clock's epoch. */
MonotonicTime steadyNow();

/** The steady-clock time at which `timeout` will have passed, but at most 24 hours from now. */
MonotonicTime steadyDeadline(Duration timeout);

/**
 * An HTTP request for HttpClient. It is sent at most once: unlike libcurl's default, it is not
 * repeated when a reused connection turns out to be closed.
 */
struct HttpRequest
{
    std::string method;
    Endpoint endpoint;
    std::string target;               ///< path and query, percent-encoded
    std::vector<std::string> headers; ///< "Name: value"; control characters are replaced by '?'
    std::string body;
    std::string contentType = "application/octet-stream"; ///< of the body; not sent with GET
    bool sendKeepAliveProbes = false; ///< end the request if the server host stops responding
    bool useNewConnection = false;    ///< open a connection although an idle one can be reused
    std::optional<std::chrono::seconds> maxIdleTime; ///< longest idle time of a reused connection
    MonotonicTime deadline;           ///< steady-clock time at which the request ends
    MonotonicTime notAfter;           ///< steady-clock time after which it is not sent any more
    Duration connectTimeout {};       ///< time limit for opening a connection
    std::size_t maxResponseBytes = 0; ///< a larger response body ends the request as Invalid
    std::string deadlineHeader;       ///< name of a header for the remaining milliseconds; optional
};

/** How an HTTP request ended. Only NotSent guarantees that the server received nothing. */
enum class HttpCompletion {
    Answered,       ///< a complete response with any status was received
    NotSent,        ///< no byte of the request can have been sent
    ConnectionLost, ///< the connection was lost after a byte may have been sent
    TimedOut,       ///< the deadline passed after a byte may have been sent
    Invalid         ///< the response was not accepted; HttpResponse::defect tells why
};

/** The result of one HTTP request. */
struct HttpResponse
{
    HttpCompletion end = HttpCompletion::NotSent;
    std::optional<ResponseDefect> defect;       ///< set if and only if the response is Invalid
    int status = 0;                             ///< HTTP status code; 0 without a response
    std::map<std::string, std::string> headers; ///< names in lower case; no trailers
    std::string body;

    /**
     * Value of a header as a number.
     * @param header name in lower case
     * @return nothing if the header is missing or contains anything but digits
     */
    std::optional<std::uint64_t> number(const std::string &header) const;
};

/**
 * Receives the result of a request. It is called exactly once, on the client's thread or, if the
 * request is started after stop(), on the thread that calls start().
 */
using HttpCallback = std::function<void(HttpResponse response)>;

/**
 * Asynchronous HTTP/1.1 client on libcurl, used for backend servers and for the platform. It runs
 * all requests on one thread of its own and reuses idle connections. Every request that is started
 * ends with exactly one call of its callback.
 */
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Starts a request and returns without blocking. Thread-safe; may be called from an
     * HttpCallback. A request that is started after stop() ends as NotSent.
     */
    void start(HttpRequest request, HttpCallback callback);

    /** Lowers the bound on the received bytes of all responses in progress. Thread-safe. */
    void setMaxHeldBytes(std::size_t bytes);
    /** Received bytes of all responses in progress. Thread-safe. */
    std::size_t heldBytes() const;

    /** Aborts all requests and joins the thread. Must not be called from an HttpCallback. */
    void stop();

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace greengagestair
