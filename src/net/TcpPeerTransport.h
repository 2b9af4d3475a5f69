#pragma once

#include "net/Adapters.h"
#include "net/PeerTransportCounters.h"

#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace greengagestair {

/**
 * Frames between entry hosts over TCP. Each host sends to a peer over one connection that it made
 * itself, so the order per sender is kept; frames from the peer come over the peer's connection.
 *
 * When a connection is lost or cannot be made, the frames queued for it are dropped and one
 * PeerLost is posted. A frame sent during the pause before the next attempt waits for it, so each
 * dropped frame is followed by a PeerLost, except frames that found the queue full.
 *
 * To be used on the thread of the io_context only.
 */
class TcpPeerTransport : public PeerTransport
{
public:
    /** Listens at once; port 0 takes a free one. Throws boost::system::system_error if it cannot.
     */
    TcpPeerTransport(boost::asio::io_context &context, HostId host, Incarnation incarnation,
                     Endpoint listen, EventQueue &queue);
    ~TcpPeerTransport() override;

    void send(const HostId &host, const Endpoint &endpoint, const PeerMessage &message) override;

    /** Stops receiving at once and returns. The io_context runs out of this transport's work when
     * the queued frames are sent, after half a second at the latest. */
    void stop() override;

    /** Where peers are accepted, with the port in use. */
    const Endpoint &listenEndpoint() const;

    const PeerTransportCounters &counters() const;

private:
    class State;
    std::shared_ptr<State> m_state;
};

} // namespace greengagestair
