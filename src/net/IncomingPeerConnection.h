#pragma once

#include "codec/FrameDecoder.h"
#include "net/Adapters.h"
#include "net/PeerTransportCounters.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace greengagestair {

/** A connection over which a peer sends to this host. */
class IncomingPeerConnection : public std::enable_shared_from_this<IncomingPeerConnection>
{
public:
    /** `closed` is called once when the peer or a malformed frame ends the connection. `scratch` is
     * used only while data is read; all connections share it. */
    IncomingPeerConnection(boost::asio::ip::tcp::socket socket, std::vector<std::uint8_t> &scratch,
                           PeerTransportCounters &counters, EventQueue &queue,
                           std::function<void(IncomingPeerConnection *)> closed);

    void start();

    /** `closed` is not called any more. */
    void close();

private:
    void waitForData();
    bool readAvailable();
    bool takeFrames();
    void end();

    boost::asio::ip::tcp::socket m_socket;
    std::vector<std::uint8_t> &m_scratch;
    PeerTransportCounters &m_counters;
    EventQueue &m_queue;
    std::function<void(IncomingPeerConnection *)> m_closed;
    FrameDecoder m_decoder;
    bool m_open = true;
};

} // namespace greengagestair
