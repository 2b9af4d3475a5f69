#include "http/TcpStream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace greengagestair {

namespace asio = boost::asio;
using boost::system::error_code;

/** Smaller buffers are kept until all of their bytes are sent. */
static constexpr std::size_t kLargeBufferBytes = 65'536;
/** Bytes that are read at once. */
static constexpr std::size_t kReadBytes = 8192;

void configureSocket(TcpStream::Socket &socket)
{
    error_code ignored; // Neither option is essential; a broken socket fails on its first use.
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

TcpStream::TcpStream(Socket socket)
    : m_socket(std::move(socket))
{
}

void TcpStream::start(OnBytes onBytes, OnEnd onEnd, OnDrained onDrained)
{
    m_onBytes = std::move(onBytes);
    m_onEnd = std::move(onEnd);
    m_onDrained = std::move(onDrained);
    read();
}

void TcpStream::read()
{
    if (m_isReadPending || !m_isReadingEnabled || !m_socket.is_open())
        return;
    m_isReadPending = true;
    // Waits without a buffer, so that idle connections need none.
    m_socket.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code &error) {
        self->m_isReadPending = false;
        self->onReadable(error);
    });
}

void TcpStream::onReadable(const error_code &waitError)
{
    // Reading may have been paused meanwhile; the bytes stay in the kernel.
    if (!m_socket.is_open() || !m_isReadingEnabled || waitError == asio::error::operation_aborted)
        return;
    // All streams of a thread share the buffer: handlers keep none of its bytes.
    static thread_local std::array<char, kReadBytes> buffer;
    error_code error = waitError;
    const std::size_t bytes = error ? 0 : m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block || error == asio::error::try_again)
        return read();
    if (error) {
        const bool isOrderly = error == asio::error::eof && !m_hasFailed;
        if (m_onEnd)
            m_onEnd(isOrderly ? StreamEnd::Closed : StreamEnd::Reset);
        return;
    }
    if (m_onBytes)
        m_onBytes(std::string_view(buffer.data(), bytes));
    read();
}

/**
 * The kernel reports the error of a connection once. If a write gets it, later reads return the
 * bytes that were received and then an end that looks orderly.
 */
void TcpStream::noteWriteError(const error_code &error)
{
    // The first error is broken_pipe if the peer had closed its side in order before it refused
    // further bytes: all that it sent has arrived.
    if (error != asio::error::broken_pipe)
        m_hasFailed = true;
}

void TcpStream::setReading(bool isEnabled)
{
    m_isReadingEnabled = isEnabled;
    read();
}

void TcpStream::setReceiveBuffer(int bytes)
{
    error_code ignored; // The kernel's own size remains in force.
    m_socket.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
}

bool TcpStream::hasUnreadBytes() const
{
    error_code error;
    return m_socket.available(error) > 0 && !error;
}

bool TcpStream::write(std::string bytes)
{
    return write(std::move(bytes), nullptr);
}

bool TcpStream::write(std::string bytes, std::shared_ptr<const std::string> body)
{
    if (!m_socket.is_open())
        return false;
    std::size_t sent = 0;
    if (m_unsent.empty()) {
        error_code error;
        if (body)
            sent = m_socket.write_some(
                    std::array<asio::const_buffer, 2> { asio::buffer(bytes), asio::buffer(*body) },
                    error);
        else
            sent = m_socket.write_some(asio::buffer(bytes), error);
        const bool isBlocked = error == asio::error::would_block || error == asio::error::try_again;
        if (error && !isBlocked) {
            noteWriteError(error);
            return false;
        }
    }
    const std::size_t ownBytes = bytes.size();
    enqueue({ std::move(bytes), nullptr }, std::min(sent, ownBytes));
    if (body)
        enqueue({ {}, std::move(body) }, sent - std::min(sent, ownBytes));
    return true;
}

void TcpStream::enqueue(Chunk chunk, std::size_t sent)
{
    const std::size_t size = chunk.bytes().size();
    if (sent == size)
        return;
    m_unsentBytes += size - sent;
    m_bufferedBytes += size;
    m_unsent.push_back(std::move(chunk));
    if (m_unsent.size() == 1) {
        m_sentOfFirst = sent;
        releaseSentPart();
        writeNext();
    }
}

void TcpStream::writeNext()
{
    m_socket.async_write_some(
            asio::buffer(m_unsent.front().bytes()) + m_sentOfFirst,
            [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                // After a failed write, reading reaches the end, too, and calls m_onEnd.
                if (error)
                    self->noteWriteError(error);
                else if (!self->m_unsent.empty())
                    self->onWritten(bytes);
            });
}

void TcpStream::onWritten(std::size_t bytes)
{
    m_unsentBytes -= bytes;
    m_sentOfFirst += bytes;
    if (m_sentOfFirst == m_unsent.front().bytes().size()) {
        m_bufferedBytes -= m_sentOfFirst;
        m_unsent.pop_front();
        m_sentOfFirst = 0;
    }
    if (!m_unsent.empty()) {
        releaseSentPart();
        return writeNext();
    }
    shutDownIfAllSent();
    if (m_onDrained && m_socket.is_open())
        m_onDrained();
}

/** Copies the rest of a large buffer once more than half of it was sent. */
void TcpStream::releaseSentPart()
{
    Chunk &first = m_unsent.front();
    if (first.body || first.own.size() < kLargeBufferBytes || 2 * m_sentOfFirst < first.own.size())
        return;
    first.own = first.own.substr(m_sentOfFirst);
    m_bufferedBytes -= m_sentOfFirst;
    m_sentOfFirst = 0;
}

void TcpStream::finishWriting()
{
    m_isShutdownRequested = true;
    shutDownIfAllSent();
}

void TcpStream::shutDownIfAllSent()
{
    if (!m_isShutdownRequested || !m_unsent.empty() || !m_socket.is_open())
        return;
    error_code ignored; // The peer may have closed the connection already.
    m_socket.shutdown(Socket::shutdown_send, ignored);
}

void TcpStream::close()
{
    error_code ignored; // Nothing can be done about a failed close.
    m_socket.close(ignored);
}

} // namespace greengagestair
