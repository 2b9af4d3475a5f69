#include "net/ScriptedHttpServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace greengagestair {

std::string httpResponse(const std::string &statusLine, const std::string &headers,
                         const std::string &body)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedHttpServer::ScriptedHttpServer(Script script, bool readsBodies)
    : m_script(std::move(script))
    , m_readsBodies(readsBodies)
    , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    m_endpoint = { "127.0.0.1", m_acceptor.local_endpoint().port() };
    m_acceptThread = std::thread([this] { accept(); });
}

ScriptedHttpServer::~ScriptedHttpServer()
{
    m_stopping = true;
    error_code ignored;
    tcp::socket wake(m_context);
    wake.connect(m_acceptor.local_endpoint(), ignored);
    m_acceptThread.join();
    {
        const std::lock_guard lock(m_mutex);
        for (Socket &socket : m_sockets)
            socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (std::thread &thread : m_threads)
        thread.join();
}

void ScriptedHttpServer::accept()
{
    while (true) {
        error_code error;
        tcp::socket socket(m_context);
        m_acceptor.accept(socket, error);
        if (m_stopping)
            return;
        if (error)
            continue;
        socket.set_option(tcp::no_delay(true), error);
        ++m_connections;
        const std::lock_guard lock(m_mutex);
        m_sockets.push_back(std::move(socket));
        m_threads.emplace_back([this, &accepted = m_sockets.back()] { serve(accepted); });
    }
}

static std::size_t contentLength(const std::string &head)
{
    const std::size_t at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

/** Bound on the bytes of one reply, so that a client that takes them all ends the test. */
static constexpr std::size_t kMaxRepeatedBytes = 128'000'000;

void ScriptedHttpServer::repeat(Socket &socket, const std::string &pattern)
{
    constexpr std::size_t kBlockBytes = 65'536;
    std::string block;
    while (block.size() < kBlockBytes)
        block += pattern;
    error_code error;
    for (std::size_t sent = 0; !error && sent < kMaxRepeatedBytes; sent += block.size())
        m_repeatedBytes += asio::write(socket, asio::buffer(block), error);
}

void ScriptedHttpServer::serve(Socket &socket)
{
    std::string received;
    for (int index = 0;; ++index) {
        error_code error;
        const std::size_t headSize =
                asio::read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n", error);
        if (error)
            return;
        ScriptedRequest request { received.substr(0, headSize), {}, index };
        const std::size_t size = headSize + (m_readsBodies ? contentLength(request.head) : 0);
        if (received.size() < size)
            asio::read(socket, asio::dynamic_buffer(received),
                       asio::transfer_exactly(size - received.size()), error);
        if (error)
            return;
        request.body = received.substr(headSize, size - headSize);
        received.erase(0, size);
        ++m_requests;
        const ScriptedReply reply = m_script(request);
        asio::write(socket, asio::buffer(reply.bytes), error);
        if (!reply.repeated.empty())
            return repeat(socket, reply.repeated);
        if (!reply.close && !reply.reset)
            continue;
        std::this_thread::sleep_for(reply.closeDelay);
        const std::lock_guard lock(m_mutex);
        if (reply.reset)
            socket.set_option(tcp::socket::linger(true, 0), error);
        else
            socket.shutdown(tcp::socket::shutdown_both, error);
        socket.close(error);
        return;
    }
}

} // namespace greengagestair
