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

/** How the peer ended a connection. */
enum class StreamEnd {
    Closed, ///< in order, after its last byte
    Reset   ///< by a reset or another error
};

/**
 * One TCP connection on the event loop. Reads all the time, so that a close by the peer is noticed
 * at once; writes without blocking. Handlers are called on the loop, never from within a call.
 */
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using OnBytes = std::function<void(std::string_view bytes)>;
    using OnEnd = std::function<void(StreamEnd end)>;

    explicit TcpStream(Socket socket);

    /** Begins to read. The handlers must not own the stream. */
    void start(OnBytes onBytes, OnEnd onEnd);
    /** Sends bytes in order; false if the connection refuses them at once and none was sent. */
    bool write(std::string bytes);
    /** Stops or continues reading. */
    void setReading(bool isReading);
    /** True if bytes wait to be sent. */
    bool hasUnsentBytes() const { return !m_unsent.empty(); }
    /** Sends what waits, then tells the peer that nothing more comes; reading goes on. */
    void finishWriting();
    /** Closes at once; no handler is called any more. */
    void close();
    bool isOpen() const { return m_socket.is_open(); }

private:
    void read();
    void onRead(const boost::system::error_code &error, std::size_t bytes);
    void writeMore();
    void shutDownIfDone();

    static constexpr std::size_t kReadBytes = 8192;

    Socket m_socket;
    OnBytes m_onBytes;
    OnEnd m_onEnd;
    std::array<char, kReadBytes> m_buffer {};
    std::deque<std::string> m_unsent;
    bool m_isReading = false;
    bool m_wantsReading = true;
    bool m_isFinishing = false;
};

/** Settings that each connection gets: no delay of small writes, no blocking calls. */
void configureSocket(TcpStream::Socket &socket);

} // namespace greengagestair
