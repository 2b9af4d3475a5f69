#pragma once

#include <cstddef>
#include <string_view>

namespace greengagestair {

/** Bounds on one HTTP request, in bytes. */
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 65'536;
};

/** Whether the bytes received so far hold one whole request. */
enum class FramingStatus {
    Incomplete,
    Complete,
    Malformed, ///< the request cannot be delimited safely
    HeaderTooLarge,
    BodyTooLarge
};

/** Where the first request of a connection's buffer ends. */
struct FramingResult
{
    FramingStatus status = FramingStatus::Incomplete;
    std::size_t length = 0;     ///< of the whole request, with Complete
    bool wantsContinue = false; ///< the caller waits for 100 Continue before it sends the body
};

/**
 * Delimits the first request in `bytes` without parsing more than Content-Length,
 * Transfer-Encoding and Expect. Requests with a transfer encoding are malformed here: callers send
 * Content-Length, so that an oversized body is refused before it is read.
 */
FramingResult frameRequest(std::string_view bytes, const HttpLimits &limits);

} // namespace greengagestair
