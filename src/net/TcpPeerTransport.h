#pragma once

#include "net/Adapters.h"
#include "net/PeerTransportCounters.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace greengagestair {

/**
 * PeerTransport over TCP. Each host sends all its frames for a peer over one connection that it
 * opens itself, so a receiver sees the frames of one sender in order; the peer's frames arrive over
 * a second connection that the peer opens.
 *
 * When a connection is lost or cannot be established, the frames queued for it are dropped and one
 * PeerLost is posted. A frame that is sent during the backoff before the next connection attempt is
 * queued for that attempt. Each dropped frame is therefore followed by a PeerLost, except a frame
 * that send() drops (queue full, frame too large, transport stopped) or that stop() drops.
 *
 * To be used on the thread of the io_context only.
 */
class TcpPeerTransport : public PeerTransport
{
public:
    /**
     * Starts listening on `listen`; port 0 selects a free port. Received messages are posted to
     * `queue`. Throws boost::system::system_error if the listening socket cannot be opened.
     * @param host name of this host, sent with each frame
     * @param incarnation of this process, sent with each frame
     */
    TcpPeerTransport(boost::asio::io_context &context, HostId host, Incarnation incarnation,
                     Endpoint listen, EventQueue &queue);
    ~TcpPeerTransport() override;

    /** Queues a message for the host. A message that cannot be queued is counted as dropped. */
    void send(const HostId &host, const Endpoint &endpoint, const PeerMessage &message) override;

    /**
     * Stops receiving and returns without blocking. The queued frames are still sent for up to half
     * a second; after that the io_context has no more work of this transport.
     */
    void stop() override;

    /** The address and port on which peers are accepted; never port 0. */
    const Endpoint &listenEndpoint() const;

    /** Counters over all peers since the construction. */
    const PeerTransportCounters &counters() const;

private:
    class State;
    std::shared_ptr<State> m_state;
};

} // namespace greengagestair
