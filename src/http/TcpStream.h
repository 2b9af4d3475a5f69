#pragma once

#include "greengagestair/Types.h"

#include <boost/asio/ip/tcp.hpp>

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
    Reset   ///< the connection was reset or failed with another error, seen by a read or a write
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
    using OnDrained = std::function<void()>;

    /** Takes over a connected socket that was set up with configureSocket(). */
    explicit TcpStream(Socket socket);

    /**
     * Begins to read. `onBytes` gets the bytes that arrive, `onEnd` the end of the connection.
     * `onDrained` is called when the socket has accepted the last byte that write() had buffered.
     * The handlers must not own the stream, because the stream owns them.
     */
    void start(OnBytes onBytes, OnEnd onEnd, OnDrained onDrained = {});
    /**
     * Sends bytes after those of earlier calls, and buffers what the socket does not accept yet.
     * Returns false if the connection is closed or fails at once; then no byte was sent.
     */
    bool write(std::string bytes);
    /** As write(), followed by `body`, which is not copied. */
    bool write(std::string bytes, std::shared_ptr<const std::string> body);
    /** Pauses or continues reading. */
    void setReading(bool isEnabled);
    /** Sets the size of the kernel's receive buffer, in bytes; the kernel doubles it. */
    void setReceiveBuffer(int bytes);
    /** True if bytes or the end of the stream were received, but not read yet. */
    bool hasUnreadBytes() const;
    /** True if buffered bytes are not sent yet. */
    bool hasUnsentBytes() const { return m_unsentBytes > 0; }
    /** Number of buffered bytes that the socket has not accepted yet. */
    std::size_t unsentBytes() const { return m_unsentBytes; }
    /** Size of the buffers that hold them, including parts that the socket has accepted. */
    std::size_t bufferedBytes() const { return m_bufferedBytes; }
    /** Shuts down the sending side once all buffered bytes are sent; reading continues. */
    void finishWriting();
    /** Closes the socket at once. No handler is called afterwards. */
    void close();
    /** True until close() is called. */
    bool isOpen() const { return m_socket.is_open(); }

private:
    /** Buffered bytes; those of `body` if it is set. */
    struct Chunk
    {
        std::string own;
        std::shared_ptr<const std::string> body;

        std::string_view bytes() const { return body ? *body : own; }
    };

    void read();
    void onReadable(const boost::system::error_code &error);
    void noteWriteError(const boost::system::error_code &error);
    void enqueue(Chunk chunk, std::size_t sent);
    void writeNext();
    void onWritten(std::size_t bytes);
    void releaseSentPart();
    void shutDownIfAllSent();

    Socket m_socket;
    OnBytes m_onBytes;
    OnEnd m_onEnd;
    OnDrained m_onDrained;
    std::deque<Chunk> m_unsent;
    std::size_t m_sentOfFirst = 0;   ///< bytes of the first buffer that the socket has accepted
    std::size_t m_unsentBytes = 0;   ///< of all buffers
    std::size_t m_bufferedBytes = 0; ///< of all buffers, with what was sent of the first
    bool m_isReadPending = false;
    bool m_isReadingEnabled = true;
    bool m_isShutdownRequested = false;
    bool m_hasFailed = false; ///< a write took a connection error off the socket
};

/** Makes the socket non-blocking and disables Nagle's algorithm (TCP_NODELAY). */
void configureSocket(TcpStream::Socket &socket);

} // namespace greengagestair
