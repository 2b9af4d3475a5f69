#pragma once

#include "http/ResponseHead.h"

#include <cstddef>
#include <string>

namespace greengagestair {

/** Whose responses a reader accepts. */
enum class ResponseSource {
    BackendServer,
    Platform, ///< the platform or its store
    Host      ///< another entry host
};

/** Number of enumerators of ResponseSource. */
inline constexpr auto kResponseSources = static_cast<std::size_t>(ResponseSource::Host) + 1;

/** Name of the source in logs and metrics. */
const char *toText(ResponseSource source);

/** A response that was not accepted. */
struct MalformedResponse
{
    ResponseSource source = ResponseSource::BackendServer;
    std::string sender;    ///< name of the server, or the address that sent the response
    std::string requestId; ///< of the request that the response ended; empty if it has none
    ResponseDefect defect = ResponseDefect::StatusLine;
};

/** Is told of each response that was not accepted. */
class ResponseObserver
{
public:
    virtual ~ResponseObserver() = default;
    /** Called on the thread that read the response. */
    virtual void onMalformedResponse(const MalformedResponse &response) = 0;
};

} // namespace greengagestair
