#include "http/ResponseObserver.h"

namespace greengagestair {

const char *toText(ResponseSource source)
{
    switch (source) {
    case ResponseSource::BackendServer:
        return "backendServer";
    case ResponseSource::Platform:
        return "platform";
    case ResponseSource::Host:
        return "host";
    }
    return "unknown";
}

} // namespace greengagestair
