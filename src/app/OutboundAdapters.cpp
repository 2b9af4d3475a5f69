#include "app/OutboundAdapters.h"

// The adapters are written on another branch; without them nothing outside can be reached.
#if __has_include("net/TcpPeerTransport.h")
#define GREENGAGESTAIR_HAS_ADAPTERS 1
#include "net/CurlBackendClient.h"
#include "net/CurlPlatformClient.h"
#include "net/TcpPeerTransport.h"
#else
#define GREENGAGESTAIR_HAS_ADAPTERS 0
#endif

#include "net/HttpFrontEnd.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/error.hpp>
#include <boost/system/system_error.hpp>

namespace greengagestair {

#if GREENGAGESTAIR_HAS_ADAPTERS

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

boost::leaf::result<OutboundAdapters> makeOutboundAdapters(boost::asio::io_context &context,
                                                           const Settings &settings,
                                                           Incarnation incarnation,
                                                           EventQueue &events)
{
    OutboundAdapters adapters;
    try {
        auto peers = std::make_unique<TcpPeerTransport>(context, settings.host, incarnation,
                                                        settings.peerEndpoint, events);
        adapters.peerCounters = [&transport = *peers] { return toCounters(transport.counters()); };
        adapters.peers = std::move(peers);
    } catch (const boost::system::system_error &error) {
        return boost::leaf::new_error(ListenFailed { settings.peerEndpoint, error.what() });
    }
    adapters.backends = std::make_unique<CurlBackendClient>(events);
    adapters.platform = std::make_unique<CurlPlatformClient>(settings.platform, events);
    return adapters;
}

#else

namespace {

class UnreachablePeers : public PeerTransport
{
public:
    explicit UnreachablePeers(EventQueue &events)
        : m_events(events)
    {
    }

    void send(const HostId &host, const Endpoint & /*endpoint*/,
              const PeerMessage & /*message*/) override
    {
        m_events.post(PeerLost { host });
    }

    void stop() override { }

private:
    EventQueue &m_events;
};

class UnreachableBackends : public BackendClient
{
public:
    explicit UnreachableBackends(EventQueue &events)
        : m_events(events)
    {
    }

    void send(const SendToBackend &request) override
    {
        m_events.post(
                BackendFinished { request.send, BackendStatus::NotConnected, {}, {}, {}, {} });
    }

    void cancel(const CancelBackend & /*request*/) override { }
    void stop() override { }

private:
    EventQueue &m_events;
};

class UnreachablePlatform : public PlatformClient
{
public:
    explicit UnreachablePlatform(EventQueue &events)
        : m_events(events)
    {
    }

    void call(const CallPlatform &request) override
    {
        m_events.post(PlatformFinished { request.call, PlatformFailure { {}, false } });
    }

    void stop() override { }

private:
    EventQueue &m_events;
};

} // namespace

boost::leaf::result<OutboundAdapters> makeOutboundAdapters(boost::asio::io_context & /*context*/,
                                                           const Settings & /*settings*/,
                                                           Incarnation /*incarnation*/,
                                                           EventQueue &events)
{
    return OutboundAdapters { std::make_unique<UnreachablePeers>(events),
                              std::make_unique<UnreachableBackends>(events),
                              std::make_unique<UnreachablePlatform>(events),
                              [] { return std::vector<Counter>(); } };
}

#endif

} // namespace greengagestair
