#include "http/TcpStream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

namespace greengagestair {

namespace asio = boost::asio;
using boost::system::error_code;

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

void TcpStream::start(OnBytes onBytes, OnEnd onEnd)
{
    m_onBytes = std::move(onBytes);
    m_onEnd = std::move(onEnd);
    read();
}

void TcpStream::read()
{
    if (m_isReadPending || !m_isReadingEnabled || !m_socket.is_open())
        return;
    m_isReadPending = true;
    m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                self->m_isReadPending = false;
                self->onRead(error, bytes);
            });
}

void TcpStream::onRead(const error_code &error, std::size_t bytes)
{
    if (!m_socket.is_open() || error == asio::error::operation_aborted)
        return;
    if (error) {
        const StreamEnd end = error == asio::error::eof ? StreamEnd::Closed : StreamEnd::Reset;
        if (m_onEnd)
            m_onEnd(end);
        return;
    }
    if (m_onBytes)
        m_onBytes(std::string_view(m_buffer.data(), bytes));
    read();
}

void TcpStream::setReading(bool isEnabled)
{
    m_isReadingEnabled = isEnabled;
    read();
}

bool TcpStream::hasUnreadBytes() const
{
    error_code error;
    return m_socket.available(error) > 0 && !error;
}

bool TcpStream::write(std::string bytes)
{
    if (!m_socket.is_open())
        return false;
    std::size_t sent = 0;
    if (m_unsent.empty()) {
        error_code error;
        sent = m_socket.write_some(asio::buffer(bytes), error);
        const bool isBlocked = error == asio::error::would_block || error == asio::error::try_again;
        if (error && !isBlocked)
            return false;
    }
    if (sent == bytes.size())
        return true;
    m_unsentBytes += bytes.size() - sent;
    m_unsent.push_back(std::move(bytes));
    if (m_unsent.size() == 1) {
        m_sentOfFirst = sent;
        writeNext();
    }
    return true;
}

void TcpStream::writeNext()
{
    m_socket.async_write_some(
            asio::buffer(m_unsent.front()) + m_sentOfFirst,
            [self = shared_from_this()](const error_code &error, std::size_t bytes) {
                // After a failed write, reading fails too and calls m_onEnd.
                if (!error && !self->m_unsent.empty())
                    self->onWritten(bytes);
            });
}

void TcpStream::onWritten(std::size_t bytes)
{
    m_unsentBytes -= bytes;
    m_sentOfFirst += bytes;
    if (m_sentOfFirst == m_unsent.front().size()) {
        m_unsent.pop_front();
        m_sentOfFirst = 0;
    }
    if (m_unsent.empty())
        shutDownIfAllSent();
    else
        writeNext();
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
