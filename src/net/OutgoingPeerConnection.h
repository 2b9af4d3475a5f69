#pragma once

#include "codec/FrameCodec.h"
#include "greengagestair/Types.h"
#include "net/PeerTransportCounters.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace greengagestair {

/** Limit on the bytes queued for one peer. It holds several documents of the largest size. */
constexpr std::size_t kMaxQueuedPeerBytes = 8'388'608;

/**
 * The TCP connection over which this host sends frames to one peer. Owned by TcpPeerTransport. It
 * connects when a frame is queued, reconnects with an exponential backoff and closes an idle
 * connection. To be used on the thread of the io_context only.
 */
class OutgoingPeerConnection : public std::enable_shared_from_this<OutgoingPeerConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    /** `onLost` is called with PeerLost::isRefused each time that the connection is lost or cannot
     * be established. The queued frames have been dropped by then. */
    OutgoingPeerConnection(boost::asio::io_context &context, Endpoint endpoint,
                           PeerTransportCounters &counters, std::function<void(bool)> onLost);

    /** The peer's address and port. */
    const Endpoint &endpoint() const { return m_endpoint; }

    /**
     * The buffer to which the caller appends one frame before it calls commitFrame(). Null if the
     * queue is full or the connection is closed or about to close.
     */
    FrameBytes *frameBuffer();
    /** Queues the frame that was appended to frameBuffer(); may move it out of the buffer at once.
     */
    void commitFrame();

    /** Sends the queued frames and then closes, at `deadline` at the latest. */
    void finish(Clock::time_point deadline);

    /** Drops the queued frames and closes; `onLost` is not called any more. */
    void close();

    /** Whether there is no connection and no queued frame, and no frame was queued for 60 s. */
    bool isIdle(Clock::time_point now) const;

private:
    enum class Phase { Disconnected, BackingOff, Connecting, Connected, Closed };

    template <typename Handler>
    auto bindToGeneration(Handler handler);

    void connectAfterBackoff();
    void connect();
    void onConnected();
    void flush();
    void onWritten();
    void watchForClose();
    void onReadable();
    void closeWhenIdle();
    /** `isRefused`: the other machine has no process at the endpoint any more. */
    void onFailure(bool isRefused = false);
    void closeSocket();
    void dropQueued();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< timeout of the current phase
    Endpoint m_endpoint;
    PeerTransportCounters &m_counters;
    std::function<void(bool)> m_onLost;
    Phase m_phase = Phase::Disconnected;
    std::uint64_t m_generation = 0; ///< incremented on close; handlers of older values are ignored
    FrameBytes m_pending;           ///< frames that wait for the next write
    std::uint64_t m_pendingFrames = 0;
    FrameBytes m_writing; ///< frames of the write in progress
    std::uint64_t m_writingFrames = 0;
    std::chrono::milliseconds m_backoff {};
    Clock::time_point m_nextAttemptAt {}; ///< earliest time of the next connection attempt
    Clock::time_point m_connectedAt {};
    Clock::time_point m_lastUsedAt {};
    bool m_wasEverConnected = false;
    bool m_isFinishing = false;
};

} // namespace greengagestair
