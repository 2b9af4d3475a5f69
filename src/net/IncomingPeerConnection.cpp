#include "net/IncomingPeerConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <netinet/tcp.h>

#include <utility>

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::tcp;
using boost::system::error_code;

namespace greengagestair {

/** Reads per wake-up, so that one busy peer does not hold up the others. */
static constexpr int kReadsPerWakeUp = 4;

/** A peer that vanished without closing is noticed after about 40 s of silence. */
static constexpr int kKeepAliveIdleSeconds = 20;
static constexpr int kKeepAliveIntervalSeconds = 5;
static constexpr int kKeepAliveProbes = 4;

template <int name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, name>;

static void setOptions(tcp::socket &socket)
{
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(tcp::socket::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(kKeepAliveProbes), ignored);
}

IncomingPeerConnection::IncomingPeerConnection(tcp::socket socket,
                                               std::vector<std::uint8_t> &scratch,
                                               PeerTransportCounters &counters, EventQueue &queue,
                                               std::function<void(IncomingPeerConnection *)> closed)
    : m_socket(std::move(socket))
    , m_scratch(scratch)
    , m_counters(counters)
    , m_queue(queue)
    , m_closed(std::move(closed))
{
}

void IncomingPeerConnection::start()
{
    setOptions(m_socket);
    waitForData();
}

void IncomingPeerConnection::waitForData()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const error_code &error) {
                            if (!self->m_open)
                                return;
                            if (!error && self->readAvailable())
                                self->waitForData();
                            else
                                self->end();
                        });
}

/** False if the connection has ended. */
bool IncomingPeerConnection::readAvailable()
{
    for (int i = 0; i < kReadsPerWakeUp; ++i) {
        error_code error;
        const std::size_t bytes = m_socket.read_some(asio::buffer(m_scratch), error);
        if (error == asio::error::would_block)
            return true;
        if (error)
            return false;
        m_decoder.append({ m_scratch.data(), bytes });
        if (!takeFrames())
            return false;
        if (bytes < m_scratch.size())
            return true;
    }
    return true;
}

namespace {

/** What one call of the decoder came to. */
enum class Taken { Frame, Unknown, NoMore, Malformed };

} // namespace

/** Posts all whole frames; false after a malformed one. */
bool IncomingPeerConnection::takeFrames()
{
    const auto takeOne = [this]() -> leaf::result<Taken> {
        BOOST_LEAF_AUTO(envelope, m_decoder.next());
        if (!envelope)
            return Taken::NoMore;
        m_queue.post(PeerReceived { std::move(*envelope) });
        return Taken::Frame;
    };
    Taken taken = Taken::Frame;
    while (taken == Taken::Frame || taken == Taken::Unknown) {
        taken = leaf::try_handle_all(
                takeOne, [](const UnknownPayload &) { return Taken::Unknown; },
                [] { return Taken::Malformed; });
        m_counters.framesReceived += taken == Taken::Frame ? 1 : 0;
        m_counters.unknownPayloads += taken == Taken::Unknown ? 1 : 0;
    }
    m_counters.malformedFrames += taken == Taken::Malformed ? 1 : 0;
    return taken == Taken::NoMore;
}

void IncomingPeerConnection::end()
{
    close();
    m_closed(this);
}

void IncomingPeerConnection::close()
{
    m_open = false;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

} // namespace greengagestair
