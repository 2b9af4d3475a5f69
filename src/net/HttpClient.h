#pragma once

#include "greengagestair/Types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengagestair {

/** The steady clock as event time: microseconds since the clock's epoch. */
MonotonicTime steadyNow();

/** The time on the steady clock when `timeout` has passed; a day from now at the latest. */
MonotonicTime steadyDeadline(Duration timeout);

/** One HTTP request. It is sent once at most, even if a kept-open connection turns out dead. */
struct HttpRequest
{
    std::string method;
    Endpoint endpoint;
    std::string target;               ///< path and query, escaped
    std::vector<std::string> headers; ///< "Name: value"; control characters are replaced
    std::string body;
    std::string contentType = "application/octet-stream"; ///< of the body
    bool sendKeepAliveProbes = false; ///< end the request if the peer's kernel falls silent
    MonotonicTime deadline;           ///< on the steady clock
    MonotonicTime notAfter;           ///< not to be started after this time
    Duration connectTimeout {};       ///< bound on making a connection
    std::size_t maxResponseBytes = 0; ///< larger bodies end the request as Invalid
    std::string deadlineHeader;       ///< if set, header that tells the remaining milliseconds
};

/** How an HTTP request ended. */
enum class HttpCompletion {
    Answered,       ///< a whole response was received
    NotSent,        ///< no byte of the request can have been sent
    ConnectionLost, ///< the connection was lost after a byte may have been sent
    TimedOut,       ///< the deadline passed after a byte may have been sent
    Invalid         ///< the response is not HTTP or is too large
};

/** The end of one HTTP request. */
struct HttpResponse
{
    HttpCompletion end = HttpCompletion::NotSent;
    int status = 0;
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;

    /** Value of a header as a number; nothing else than digits counts. Null if there is none. */
    std::optional<std::uint64_t> number(const std::string &header) const;
};

/** Called once per request on the thread of the loop. */
using HttpCallback = std::function<void(HttpResponse response)>;

/** Runs HTTP requests on one thread of its own, over kept-open connections. */
class HttpClient
{
public:
    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Thread-safe; may be called from an HttpCallback. After stop() the request ends as NotSent.
     */
    void start(HttpRequest request, HttpCallback done);

    /** Ends all requests at once and waits for the thread. Not to be called from an HttpCallback.
     */
    void stop();

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace greengagestair
