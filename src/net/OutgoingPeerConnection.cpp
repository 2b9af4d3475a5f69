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

/** Allows for the delay between regions, up to 200 ms, and for one lost SYN, which is sent again
 * after 1 s. */
static constexpr std::chrono::milliseconds kConnectTimeout(1500);

/** The kernel closes the connection if sent bytes are not acknowledged within this time. */
static constexpr std::chrono::milliseconds kUnacknowledgedTimeout(3000);

/** Backoff after the first failed connection attempt; doubled after each further one. */
static constexpr std::chrono::milliseconds kMinBackoff(50);

/** Frames are queued during the backoff, so this also limits how late they are dropped if the next
 * attempt fails. */
static constexpr std::chrono::milliseconds kMaxBackoff(500);

/** A connection that is lost sooner than this counts as a failed attempt and increases the backoff.
 */
static constexpr std::chrono::seconds kMinStableDuration(1);

/** A connection without frames for this long is closed. Members of one cell send several times a
 * second, so their connections stay open. */
static constexpr std::chrono::seconds kIdleTimeout(60);

/** A buffer with a larger capacity is freed once it is empty, because an entry host may have
 * thousands of peers with two buffers each. */
static constexpr std::size_t kMaxRetainedBufferBytes = 4096;

static void setOptions(tcp::socket &socket)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(kUnacknowledgedTimeout.count())), ignored);
}

/** A machine that is cut off or stands still sends neither of these. */
static bool isRefusal(const error_code &error)
{
    return error == asio::error::connection_refused || error == asio::error::connection_reset;
}

static void clearBuffer(FrameBytes &buffer)
{
    if (buffer.capacity() > kMaxRetainedBufferBytes)
        buffer = FrameBytes();
    buffer.clear();
}

OutgoingPeerConnection::OutgoingPeerConnection(asio::io_context &context, Endpoint endpoint,
                                               PeerTransportCounters &counters,
                                               std::function<void(bool)> onLost)
    : m_context(context)
    , m_socket(context)
    , m_timer(context)
    , m_endpoint(std::move(endpoint))
    , m_counters(counters)
    , m_onLost(std::move(onLost))
{
}

/** Wraps a completion handler: it keeps this object alive and skips the handler if the operation
 * was aborted or the connection was closed in the meantime. */
template <typename Handler>
auto OutgoingPeerConnection::bindToGeneration(Handler handler)
{
    return [self = shared_from_this(), generation = m_generation,
            handler = std::move(handler)](const error_code &error, auto &&...) {
        if (self->m_generation == generation && error != asio::error::operation_aborted)
            handler(error);
    };
}

FrameBytes *OutgoingPeerConnection::frameBuffer()
{
    const bool full = m_pending.size() + m_writing.size() >= kMaxQueuedPeerBytes;
    return full || m_isFinishing || m_phase == Phase::Closed ? nullptr : &m_pending;
}

void OutgoingPeerConnection::commitFrame()
{
    ++m_pendingFrames;
    m_lastUsedAt = Clock::now();
    if (m_phase == Phase::Disconnected)
        connectAfterBackoff();
    else if (m_phase == Phase::Connected)
        flush();
}

void OutgoingPeerConnection::connectAfterBackoff()
{
    if (Clock::now() >= m_nextAttemptAt) {
        connect();
        return;
    }
    m_phase = Phase::BackingOff;
    m_timer.expires_at(m_nextAttemptAt);
    m_timer.async_wait(bindToGeneration([this](const error_code &) {
        if (m_phase == Phase::BackingOff)
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
        // Posted, so that `onLost` is not called before commitFrame() returns.
        asio::post(m_context, [reportFailure = bindToGeneration([this](const error_code &) {
                                   onFailure();
                               })] { reportFailure(error_code()); });
        return;
    }
    setOptions(m_socket);
    m_timer.expires_after(kConnectTimeout);
    m_timer.async_wait(bindToGeneration([this](const error_code &) {
        // The connection may have been established after this handler was queued.
        if (m_phase == Phase::Connecting)
            onFailure();
    }));
    m_socket.async_connect(target, bindToGeneration([this](const error_code &result) {
                               result ? onFailure(isRefusal(result)) : onConnected();
                           }));
}

void OutgoingPeerConnection::onConnected()
{
    m_phase = Phase::Connected;
    m_connectedAt = Clock::now();
    m_counters.reconnects += m_wasEverConnected ? 1 : 0;
    m_wasEverConnected = true;
    error_code ignored;
    m_socket.non_blocking(true, ignored);
    watchForClose();
    if (!m_isFinishing)
        closeWhenIdle();
    flush();
}

void OutgoingPeerConnection::flush()
{
    if (!m_writing.empty())
        return;
    if (m_pending.empty()) {
        if (m_isFinishing)
            close();
        return;
    }
    std::swap(m_pending, m_writing);
    std::swap(m_pendingFrames, m_writingFrames);
    ++m_counters.writes;
    asio::async_write(m_socket, asio::buffer(m_writing),
                      bindToGeneration([this](const error_code &error) {
                          error ? onFailure(isRefusal(error)) : onWritten();
                      }));
}

void OutgoingPeerConnection::onWritten()
{
    m_counters.framesSent += m_writingFrames;
    m_writingFrames = 0;
    clearBuffer(m_writing);
    flush();
}

/** The peer sends no data over this connection, so it only becomes readable when it is closed. */
void OutgoingPeerConnection::watchForClose()
{
    m_socket.async_wait(tcp::socket::wait_read, bindToGeneration([this](const error_code &error) {
                            error ? onFailure(isRefusal(error)) : onReadable();
                        }));
}

void OutgoingPeerConnection::onReadable()
{
    std::array<char, 1024> ignored {};
    error_code error;
    m_socket.read_some(asio::buffer(ignored), error);
    if (error && error != asio::error::would_block)
        onFailure(isRefusal(error));
    else
        watchForClose();
}

void OutgoingPeerConnection::closeWhenIdle()
{
    m_timer.expires_at(std::max(m_lastUsedAt, m_connectedAt) + kIdleTimeout);
    m_timer.async_wait(bindToGeneration([this](const error_code &) {
        if (m_isFinishing)
            return;
        if (m_lastUsedAt + kIdleTimeout > Clock::now() || !m_writing.empty()) {
            closeWhenIdle();
            return;
        }
        closeSocket();
        m_phase = Phase::Disconnected;
    }));
}

void OutgoingPeerConnection::onFailure(bool isRefused)
{
    const auto now = Clock::now();
    const bool stable = m_phase == Phase::Connected && now - m_connectedAt >= kMinStableDuration;
    m_backoff = stable ? std::chrono::milliseconds(0)
                       : std::clamp(m_backoff * 2, kMinBackoff, kMaxBackoff);
    m_nextAttemptAt = now + m_backoff;
    closeSocket();
    dropQueued();
    if (m_isFinishing) {
        m_phase = Phase::Closed;
        return;
    }
    m_phase = Phase::Disconnected;
    m_onLost(isRefused);
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

void OutgoingPeerConnection::finish(Clock::time_point deadline)
{
    m_isFinishing = true;
    if (m_phase == Phase::Disconnected || m_phase == Phase::Closed
        || (m_pending.empty() && m_writing.empty())) {
        close();
        return;
    }
    if (m_phase == Phase::BackingOff)
        connect();
    m_timer.expires_at(deadline);
    m_timer.async_wait(bindToGeneration([this](const error_code &) { close(); }));
}

void OutgoingPeerConnection::close()
{
    closeSocket();
    dropQueued();
    m_phase = Phase::Closed;
}

bool OutgoingPeerConnection::isIdle(Clock::time_point now) const
{
    return m_phase == Phase::Disconnected && m_lastUsedAt + kIdleTimeout < now;
}

} // namespace greengagestair
