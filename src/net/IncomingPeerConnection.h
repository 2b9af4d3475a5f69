#pragma once

#include "codec/FrameDecoder.h"
#include "net/Adapters.h"
#include "net/PeerTransportCounters.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace greengagestair {

/**
 * A TCP connection that a peer host opened and over which it sends frames to this host. Owned by
 * TcpPeerTransport; decodes the frames and posts each one as PeerReceived. To be used on the thread
 * of the io_context only.
 */
class IncomingPeerConnection : public std::enable_shared_from_this<IncomingPeerConnection>
{
public:
    /**
     * @param readBuffer receives the bytes of each read; all connections share it, since it is used
     * only during a read
     * @param onClosed called once when the connection ends because of the peer, a read error or a
     * malformed frame
     */
    IncomingPeerConnection(boost::asio::ip::tcp::socket socket,
                           std::vector<std::uint8_t> &readBuffer, PeerTransportCounters &counters,
                           EventQueue &queue,
                           std::function<void(IncomingPeerConnection *)> onClosed);

    /** Sets the socket options and starts reading. */
    void start();

    /** Closes the connection; `onClosed` is not called for it. */
    void close();

private:
    void waitForData();
    bool readAvailable();
    bool postFrames();
    void closeAndNotify();

    boost::asio::ip::tcp::socket m_socket;
    std::vector<std::uint8_t> &m_readBuffer;
    PeerTransportCounters &m_counters;
    EventQueue &m_queue;
    std::function<void(IncomingPeerConnection *)> m_onClosed;
    FrameDecoder m_decoder;
    bool m_isOpen = true;
};

} // namespace greengagestair
