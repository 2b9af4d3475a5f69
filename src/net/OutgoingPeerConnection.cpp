#include "net/OutgoingPeerConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace greengagestair {

/** Regions are up to 200 ms apart; a SYN that is lost once is sent again after 1 s. */
static constexpr std::chrono::milliseconds kConnectTimeout(1500);

/** Sent bytes without an acknowledgement for this long mean that the peer is unreachable. */
static constexpr std::chrono::milliseconds kUnacknowledgedTimeout(3000);

/** Pause after a first failed attempt; doubled after each further one. */
static constexpr std::chrono::milliseconds kFirstBackoff(50);

/** Frames wait for the next attempt, so the pause bounds how late they are dropped. */
static constexpr std::chrono::milliseconds kMaxBackoff(500);

/** A connection that is lost sooner counts as a failed attempt. */
static constexpr std::chrono::seconds kStableConnection(1);

/** An unused connection is closed after this; cell members send several times a second. */
static constexpr std::chrono::seconds kUnusedTimeout(60);

/** A buffer that grew beyond this is given back once it is empty: an entry host may have thousands
 * of peers with two buffers each. */
static constexpr std::size_t kKeptBufferBytes = 4096;

static void setOptions(tcp::socket &socket)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(kUnacknowledgedTimeout.count())), ignored);
}

static void emptyBuffer(FrameBytes &buffer)
{
    if (buffer.capacity() > kKeptBufferBytes)
        buffer = FrameBytes();
    buffer.clear();
}

OutgoingPeerConnection::OutgoingPeerConnection(asio::io_context &context, Endpoint endpoint,
                                               PeerTransportCounters &counters,
                                               std::function<void()> lost)
    : m_context(context)
    , m_socket(context)
    , m_timer(context)
    , m_endpoint(std::move(endpoint))
    , m_counters(counters)
    , m_lost(std::move(lost))
{
}

/** Keeps this object alive and skips the handler if the connection has changed since. */
template <typename Handler>
auto OutgoingPeerConnection::guarded(Handler handler)
{
    return [self = shared_from_this(), generation = m_generation,
            handler = std::move(handler)](const error_code &error, auto &&...) {
        if (self->m_generation == generation && error != asio::error::operation_aborted)
            handler(error);
    };
}

FrameBytes *OutgoingPeerConnection::queue()
{
    const bool full = m_pending.size() + m_writing.size() >= kMaxQueuedPeerBytes;
    return full || m_finishing || m_phase == Phase::Closed ? nullptr : &m_pending;
}

void OutgoingPeerConnection::commitFrame()
{
    ++m_pendingFrames;
    m_lastUse = Clock::now();
    if (m_phase == Phase::Disconnected)
        connectWhenDue();
    else if (m_phase == Phase::Connected)
        flush();
}

void OutgoingPeerConnection::connectWhenDue()
{
    if (Clock::now() >= m_notBefore) {
        connect();
        return;
    }
    m_phase = Phase::Waiting;
    m_timer.expires_at(m_notBefore);
    m_timer.async_wait(guarded([this](const error_code &) {
        if (m_phase == Phase::Waiting)
            connect();
    }));
}

void OutgoingPeerConnection::connect()
{
    m_phase = Phase::Connecting;
    error_code error;
    const auto address = asio::ip::make_address(m_endpoint.address, error);
    const tcp::endpoint target(address, m_endpoint.port);
    if (!error)
        m_socket.open(target.protocol(), error);
    if (error) {
        // The caller of send() is not told before it returns.
        asio::post(m_context, [failed = guarded([this](const error_code &) { fail(); })] {
            failed(error_code());
        });
        return;
    }
    setOptions(m_socket);
    m_timer.expires_after(kConnectTimeout);
    m_timer.async_wait(guarded([this](const error_code &) {
        // The connection may have been made after this handler was queued.
        if (m_phase == Phase::Connecting)
            fail();
    }));
    m_socket.async_connect(
            target, guarded([this](const error_code &result) { result ? fail() : connected(); }));
}

void OutgoingPeerConnection::connected()
{
    m_phase = Phase::Connected;
    m_connectedAt = Clock::now();
    m_counters.reconnects += m_wasConnected ? 1 : 0;
    m_wasConnected = true;
    error_code ignored;
    m_socket.non_blocking(true, ignored);
    watchForClose();
    if (!m_finishing)
        closeWhenUnused();
    flush();
}

void OutgoingPeerConnection::flush()
{
    if (!m_writing.empty())
        return;
    if (m_pending.empty()) {
        if (m_finishing)
            close();
        return;
    }
    std::swap(m_pending, m_writing);
    std::swap(m_pendingFrames, m_writingFrames);
    ++m_counters.writes;
    asio::async_write(m_socket, asio::buffer(m_writing),
                      guarded([this](const error_code &error) { error ? fail() : written(); }));
}

void OutgoingPeerConnection::written()
{
    m_counters.framesSent += m_writingFrames;
    m_writingFrames = 0;
    emptyBuffer(m_writing);
    flush();
}

/** The peer sends nothing over this connection; it becomes readable when the peer closes it. */
void OutgoingPeerConnection::watchForClose()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        guarded([this](const error_code &error) { error ? fail() : readable(); }));
}

void OutgoingPeerConnection::readable()
{
    std::array<char, 1024> ignored {};
    error_code error;
    m_socket.read_some(asio::buffer(ignored), error);
    if (error && error != asio::error::would_block)
        fail();
    else
        watchForClose();
}

void OutgoingPeerConnection::closeWhenUnused()
{
    m_timer.expires_at(std::max(m_lastUse, m_connectedAt) + kUnusedTimeout);
    m_timer.async_wait(guarded([this](const error_code &) {
        if (m_finishing)
            return;
        if (m_lastUse + kUnusedTimeout > Clock::now() || !m_writing.empty()) {
            closeWhenUnused();
            return;
        }
        closeSocket();
        m_phase = Phase::Disconnected;
    }));
}

void OutgoingPeerConnection::fail()
{
    const auto now = Clock::now();
    const bool stable = m_phase == Phase::Connected && now - m_connectedAt >= kStableConnection;
    m_backoff = stable ? std::chrono::milliseconds(0)
                       : std::clamp(m_backoff * 2, kFirstBackoff, kMaxBackoff);
    m_notBefore = now + m_backoff;
    closeSocket();
    dropQueued();
    if (m_finishing) {
        m_phase = Phase::Closed;
        return;
    }
    m_phase = Phase::Disconnected;
    m_lost();
}

void OutgoingPeerConnection::closeSocket()
{
    ++m_generation;
    m_timer.cancel();
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void OutgoingPeerConnection::dropQueued()
{
    m_counters.droppedFrames += m_pendingFrames + m_writingFrames;
    m_pendingFrames = 0;
    m_writingFrames = 0;
    m_pending = FrameBytes();
    m_writing = FrameBytes();
}

void OutgoingPeerConnection::finish(Clock::time_point limit)
{
    m_finishing = true;
    if (m_phase == Phase::Disconnected || m_phase == Phase::Closed
        || (m_pending.empty() && m_writing.empty())) {
        close();
        return;
    }
    if (m_phase == Phase::Waiting)
        connect();
    m_timer.expires_at(limit);
    m_timer.async_wait(guarded([this](const error_code &) { close(); }));
}

void OutgoingPeerConnection::close()
{
    closeSocket();
    dropQueued();
    m_phase = Phase::Closed;
}

bool OutgoingPeerConnection::isIdle(Clock::time_point now) const
{
    return m_phase == Phase::Disconnected && m_lastUse + kUnusedTimeout < now;
}

} // namespace greengagestair
