#pragma once

#include "greengagestair/Types.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace greengagestair {

/** One request of a client subcommand. */
struct HttpExchangeRequest
{
    Endpoint server;
    std::string path;
    std::optional<std::string> body; ///< sent with PUT; GET without
    std::optional<Revision> ifRevision;
    std::chrono::milliseconds timeout = std::chrono::seconds(3);
};

/** The answer of the server. */
struct HttpExchangeReply
{
    int status = 0;
    std::optional<Revision> revision; ///< of the header X-Revision
    std::string body;
};

/** No usable answer came; unless `sent` is false, the server may have acted on the request. */
struct HttpExchangeFailed
{
    bool sent = true;
    std::string detail; ///< the server and what went wrong, as one line for the operator
};

/**
 * Makes one request and waits for its answer. Fails with HttpExchangeFailed, also if the response
 * is malformed or too large.
 */
boost::leaf::result<HttpExchangeReply> exchange(const HttpExchangeRequest &request);

} // namespace greengagestair
