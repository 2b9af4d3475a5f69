#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace greengagestair {

/** Runs the event loop until the condition holds; fails the test after 20 seconds. */
inline void runUntil(boost::asio::io_context &context, const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.restart();
        context.run_for(std::chrono::milliseconds(2));
    }
    REQUIRE(condition());
}

/** One end of a TCP connection that records all received bytes and writes raw bytes on demand. */
class RawPeer : public std::enable_shared_from_this<RawPeer>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit RawPeer(Socket socket)
        : m_socket(std::move(socket))
    {
    }

    void start() { read(); }
    /** Stops reading once this number of bytes was received; the kernel keeps what follows. */
    void setReadLimit(std::size_t bytes) { m_readLimit = bytes; }
    void write(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }
    /** Writes without waiting; returns the number of bytes taken, 0 if the connection is full. */
    std::size_t writeSome(const std::string &bytes)
    {
        boost::system::error_code error;
        m_socket.non_blocking(true, error);
        return m_socket.write_some(boost::asio::buffer(bytes), error);
    }
    void finishWriting() { m_socket.shutdown(Socket::shutdown_send); }
    void close() { m_socket.close(); }
    /** Closes the connection with a TCP reset. */
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    std::string received;
    bool isClosed = false;

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [self = shared_from_this()](auto error, std::size_t bytes) {
                                     self->received.append(self->m_buffer.data(), bytes);
                                     if (error)
                                         self->isClosed = true;
                                     else if (self->received.size() < self->m_readLimit)
                                         self->read();
                                 });
    }

    Socket m_socket;
    std::size_t m_readLimit = std::numeric_limits<std::size_t>::max();
    std::array<char, 4096> m_buffer {};
};

/**
 * Writes `pattern` again and again, running the event loop in between, until `isDone` or `limit`
 * bytes; returns the number of bytes taken. Ends after 20 seconds.
 */
inline std::size_t writeWithoutEnd(boost::asio::io_context &context, RawPeer &peer,
                                   const std::string &pattern, std::size_t limit,
                                   const std::function<bool()> &isDone)
{
    constexpr std::size_t kBlockBytes = 65'536;
    std::string block;
    while (block.size() < kBlockBytes)
        block += pattern;
    std::size_t written = 0;
    std::size_t offset = 0;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!isDone() && written < limit && std::chrono::steady_clock::now() < end) {
        const std::size_t taken = peer.writeSome(block.substr(offset));
        offset = (offset + taken) % block.size();
        written += taken;
        context.restart();
        context.poll();
    }
    return written;
}

/** Listens on a free port of 127.0.0.1 and wraps each accepted connection in a RawPeer. */
class RawServer
{
public:
    explicit RawServer(boost::asio::io_context &context)
        : m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /** Applies RawPeer::setReadLimit() to all connections accepted from now on. */
    void setReadLimit(std::size_t bytes) { m_readLimit = bytes; }

    std::vector<std::shared_ptr<RawPeer>> peers; ///< in the order of their arrival

private:
    void accept()
    {
        m_acceptor.async_accept([this](auto error, RawPeer::Socket socket) {
            if (error)
                return;
            peers.push_back(std::make_shared<RawPeer>(std::move(socket)));
            peers.back()->setReadLimit(m_readLimit);
            peers.back()->start();
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_readLimit = std::numeric_limits<std::size_t>::max();
};

} // namespace greengagestair
