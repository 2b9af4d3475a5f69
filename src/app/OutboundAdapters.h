#pragma once

#include "app/Settings.h"
#include "greengagestair/Reducer.h"
#include "http/ResponseObserver.h"
#include "net/Adapters.h"

#include <functional>
#include <memory>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace greengagestair {

/** The adapters through which the process reaches other hosts. */
struct OutboundAdapters
{
    std::unique_ptr<PeerTransport> peers;
    std::unique_ptr<BackendClient> backends;
    std::unique_ptr<PlatformClient> platform;
    /** Counters of the peer transport; only for the thread of the event loop. */
    std::function<std::vector<Counter>()> peerCounters;
};

/** Makes the adapters; the arguments must outlive them. Fails with ListenError. */
boost::leaf::result<OutboundAdapters>
makeOutboundAdapters(boost::asio::io_context &context, const Settings &settings,
                     Incarnation incarnation, EventQueue &events, ResponseObserver &observer);

} // namespace greengagestair
