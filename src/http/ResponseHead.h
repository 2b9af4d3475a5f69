#pragma once

#include "http/HeaderField.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace greengagestair {

/** Why a response is not accepted. */
enum class ResponseDefect {
    StatusLine, ///< the first line is no status line of HTTP/1.0 or HTTP/1.1
    Status,     ///< the status code is none that may answer a request
    FieldName,  ///< a line of the head or the trailer does not begin with `name:`
    FieldValue, ///< the value of a field holds a control character
    Head,       ///< another line of the head is invalid; the HTTP library does not tell how
    Framing,    ///< the fields that delimit the body are invalid or contradict each other
    Body,       ///< the chunks of the body are invalid
    TooLarge,   ///< the head, a line or the body exceeds its bound
    Unmatched,  ///< too many interim responses, or responses to other requests, came before it
    Memory      ///< all responses in progress together exceed their bound
};

/** Number of enumerators of ResponseDefect. */
inline constexpr auto kResponseDefects = static_cast<std::size_t>(ResponseDefect::Memory) + 1;

/** Name of the defect in logs and metrics. */
const char *toText(ResponseDefect defect);

/** Status line and header section of a response. */
struct ResponseHead
{
    int minorVersion = 1; ///< of HTTP/1: 0 or 1
    int status = 0;       ///< 100 to 599
    std::string reason;   ///< reason phrase; may be empty
    Headers fields;
};

/**
 * Parses one field line without its line break (RFC 9112, section 5). The name has to be a token
 * that is directly followed by a colon; leading and trailing blanks of the value are removed.
 */
std::variant<HeaderField, ResponseDefect> parseFieldLine(std::string_view line);

/**
 * Parses the head of a response from the status line to the empty line, both included. It accepts
 * only what all recipients understand in the same way: lines that end with CRLF, no line folding
 * (deprecated by RFC 9112, section 5.2), no transfer coding but `chunked`, as this tier requests no
 * other one, and no switch to another protocol.
 */
std::variant<ResponseHead, ResponseDefect> parseResponseHead(std::string_view text);

} // namespace greengagestair
