#pragma once

#include <string>

namespace greengagestair {

/** Names of the header fields by which callers, the gateway and backend servers work together. */
struct HeaderNames
{
    std::string requestId;      ///< identifies one attempt of a caller; servers echo it
    std::string deadline;       ///< milliseconds that the sender waits
    std::string expectedServer; ///< the only server that is to run the request
    std::string signature;      ///< a server's proof that it worked on the request
    std::string notExecuted;    ///< a server states that it did not run the request
    std::string partSignatures; ///< signatures of the parts of a merged answer
    std::string missingParts;   ///< number of parts that a merged answer lacks
};

} // namespace greengagestair
