#pragma once

#include <string>

namespace greengagestair {

/**
 * Names of the HTTP header fields that the gateway shares with callers and backend servers. The
 * platform defines the names; the fields here describe their meaning.
 */
struct HeaderNames
{
    std::string requestId;      ///< identifies one attempt of a caller; backend servers echo it
    std::string deadline;       ///< time in milliseconds that the sender waits for the answer
    std::string expectedServer; ///< id of the only server that may run the request
    std::string signature;      ///< proof by a backend server that it processed the request
    std::string notExecuted;    ///< present if the server did not run the request
    std::string requestLimit;   ///< requests per second that a server takes from all hosts
    std::string tenant;         ///< name of the tenant that a request is sent for
    std::string leaving;        ///< "1" if a server is shutting down
    std::string partSignatures; ///< signatures of the parts that a merged answer includes
    std::string missingParts;   ///< number of parts that are missing from a merged answer
};

} // namespace greengagestair
