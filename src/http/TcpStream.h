#pragma once

#include "greengagestair/Types.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace greengagestair {

/** How a TCP connection ended other than by TcpStream::close(). */
enum class StreamEnd {
    Closed, ///< the peer closed its side after its last byte
    Reset   ///< the connection was reset or failed with another error
};

/**
 * One TCP connection on the event loop, used for callers and for backend servers. Reads
 * continuously, so that a close by the peer is noticed at once, and writes without blocking.
 * Handlers are called on the event loop, never from within a member function.
 */
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using OnBytes = std::function<void(std::string_view bytes)>;
    using OnEnd = std::function<void(StreamEnd end)>;

    /** Takes over a connected socket that was set up with configureSocket(). */
    explicit TcpStream(Socket socket);

    /**
     * Begins to read. `onBytes` gets the bytes that arrive, `onEnd` the end of the connection. The
     * handlers must not own the stream, because the stream owns them.
     */
    void start(OnBytes onBytes, OnEnd onEnd);
    /**
     * Sends bytes after those of earlier calls, and buffers what the socket does not accept yet.
     * Returns false if the connection is closed or fails at once; then no byte was sent.
     */
    bool write(std::string bytes);
    /** Pauses or continues reading. */
    void setReading(bool isEnabled);
    /** True if bytes or the end of the stream were received, but not read yet. */
    bool hasUnreadBytes() const;
    /** True if buffered bytes are not sent yet. */
    bool hasUnsentBytes() const { return m_unsentBytes > 0; }
    /** Number of buffered bytes that the socket has not accepted yet. */
    std::size_t unsentBytes() const { return m_unsentBytes; }
    /** Shuts down the sending side once all buffered bytes are sent; reading continues. */
    void finishWriting();
    /** Closes the socket at once. No handler is called afterwards. */
    void close();
    /** True until close() is called. */
    bool isOpen() const { return m_socket.is_open(); }

private:
    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    void writeNext();
    void onWritten(std::size_t bytes);
    void shutDownIfAllSent();

    static constexpr std::size_t kReadBytes = 8192;

    Socket m_socket;
    OnBytes m_onBytes;
    OnEnd m_onEnd;
    std::array<char, kReadBytes> m_buffer {};
    std::deque<std::string> m_unsent;
    std::size_t m_sentOfFirst = 0; ///< bytes of the first buffer that the socket has accepted
    std::size_t m_unsentBytes = 0; ///< of all buffers
    bool m_isReadPending = false;
    bool m_isReadingEnabled = true;
    bool m_isShutdownRequested = false;
};

/** Makes the socket non-blocking and disables Nagle's algorithm (TCP_NODELAY). */
void configureSocket(TcpStream::Socket &socket);

} // namespace greengagestair
