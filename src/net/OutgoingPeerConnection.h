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

/** Bound on the bytes queued for one peer: several documents of the largest size. */
constexpr std::size_t kMaxQueuedPeerBytes = 8'388'608;

/** The connection over which this host sends to one peer. Reconnects when there is something to
 * send. */
class OutgoingPeerConnection : public std::enable_shared_from_this<OutgoingPeerConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    /** `lost` is called each time that the connection was lost or could not be made. */
    OutgoingPeerConnection(boost::asio::io_context &context, Endpoint endpoint,
                           PeerTransportCounters &counters, std::function<void()> lost);

    const Endpoint &endpoint() const { return m_endpoint; }

    /** Room for frames. Call queued() after each frame that was appended; its bytes may be taken
     * from there at once. Null if the queue is full. */
    FrameBytes *queue();
    void commitFrame();

    /** Sends what is queued, until `limit` at the latest, then closes. */
    void finish(Clock::time_point limit);

    /** Drops what is queued and closes; `lost` is not called any more. */
    void close();

    /** Whether it has no connection, nothing queued, and was not used for some time. */
    bool isIdle(Clock::time_point now) const;

private:
    enum class Phase { Disconnected, Waiting, Connecting, Connected, Closed };

    template <typename Handler>
    auto guarded(Handler handler);

    void connectWhenDue();
    void connect();
    void connected();
    void flush();
    void written();
    void watchForClose();
    void readable();
    void closeWhenUnused();
    void fail();
    void closeSocket();
    void dropQueued();

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer; ///< of the current phase
    Endpoint m_endpoint;
    PeerTransportCounters &m_counters;
    std::function<void()> m_lost;
    Phase m_phase = Phase::Disconnected;
    std::uint64_t m_generation = 0; ///< handlers of an older one are ignored
    FrameBytes m_pending;
    std::uint64_t m_pendingFrames = 0;
    FrameBytes m_writing;
    std::uint64_t m_writingFrames = 0;
    std::chrono::milliseconds m_backoff {};
    Clock::time_point m_notBefore {}; ///< of the next attempt to connect
    Clock::time_point m_connectedAt {};
    Clock::time_point m_lastUse {};
    bool m_wasConnected = false;
    bool m_finishing = false;
};

} // namespace greengagestair
