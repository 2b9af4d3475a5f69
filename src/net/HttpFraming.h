#pragma once

#include <cstddef>
#include <string_view>

namespace greengagestair {

/** Size limits for one HTTP request, in bytes. */
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16'384; ///< request line and headers with the empty line
    std::size_t maxBodyBytes = 65'536;   ///< value of Content-Length
};

/** Whether the bytes received so far contain a complete request. */
enum class FramingStatus {
    Incomplete,     ///< more bytes are needed
    Complete,       ///< the buffer begins with a complete request
    Malformed,      ///< the end of the request cannot be determined safely
    HeaderTooLarge, ///< the request line and headers exceed HttpLimits::maxHeaderBytes
    BodyTooLarge    ///< Content-Length exceeds HttpLimits::maxBodyBytes
};

/** Result of frameRequest(): the end of the first request in a connection's buffer. */
struct FramingResult
{
    FramingStatus status = FramingStatus::Incomplete;
    std::size_t length = 0; ///< bytes of the request with its body; 0 unless Complete
    /** With Incomplete: the caller sends the body only after a 100 Continue. */
    bool wantsContinue = false;
};

/**
 * Finds the end of the first request in `bytes`. Of the headers it interprets only Content-Length,
 * Transfer-Encoding and Expect. A request with Transfer-Encoding is reported as Malformed: callers
 * must send Content-Length, so that an oversized body is refused before it is read.
 */
FramingResult frameRequest(std::string_view bytes, const HttpLimits &limits);

} // namespace greengagestair
