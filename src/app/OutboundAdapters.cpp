#include "app/OutboundAdapters.h"

#include "http/CallerAccount.h"
#include "net/CurlBackendClient.h"
#include "net/CurlPlatformClient.h"
#include "net/HttpFrontEnd.h"
#include "net/TcpPeerTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/error.hpp>
#include <boost/system/system_error.hpp>

namespace greengagestair {

static std::vector<Counter> toCounters(const PeerTransportCounters &counters)
{
    return { { "peer_frames_sent_total", counters.framesSent },
             { "peer_frames_received_total", counters.framesReceived },
             { "peer_frames_malformed_total", counters.malformedFrames },
             { "peer_payloads_unknown_total", counters.unknownPayloads },
             { "peer_frames_dropped_total", counters.droppedFrames },
             { "peer_reconnects_total", counters.reconnects },
             { "peer_writes_total", counters.writes } };
}

boost::leaf::result<OutboundAdapters>
makeOutboundAdapters(boost::asio::io_context &context, const Settings &settings,
                     Incarnation incarnation, EventQueue &events, ResponseObserver &observer)
{
    OutboundAdapters adapters;
    try {
        auto peers = std::make_unique<TcpPeerTransport>(context, settings.host, incarnation,
                                                        settings.peerEndpoint, events);
        adapters.peerCounters = [&transport = *peers] { return toCounters(transport.counters()); };
        adapters.peers = std::move(peers);
    } catch (const boost::system::system_error &error) {
        return boost::leaf::new_error(ListenError { settings.peerEndpoint, error.what() });
    }
    auto backends = std::make_unique<CurlBackendClient>(events, &observer);
    // Half of the callers' share, as in the gateway.
    backends->setMaxHeldBytes(
            callerMemoryLimitsWithin(settings.memoryBytes, settings.maxDescriptors).bytes / 2);
    adapters.backends = std::move(backends);
    adapters.platform = std::make_unique<CurlPlatformClient>(settings.platform, events, &observer);
    return adapters;
}

} // namespace greengagestair
