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

/** Limit on the reads per wake-up, so that one busy peer does not delay the others. */
static constexpr int kMaxReadsPerWakeUp = 4;

/** Keep-alive settings: the connection of a peer that fails without closing it is closed after
 * about 40 s without data (20 s idle and four probes 5 s apart). */
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

IncomingPeerConnection::IncomingPeerConnection(
        tcp::socket socket, std::vector<std::uint8_t> &readBuffer, PeerTransportCounters &counters,
        EventQueue &queue, std::function<void(IncomingPeerConnection *)> onClosed)
    : m_socket(std::move(socket))
    , m_readBuffer(readBuffer)
    , m_counters(counters)
    , m_queue(queue)
    , m_onClosed(std::move(onClosed))
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
                            if (!self->m_isOpen)
                                return;
                            if (!error && self->readAvailable())
                                self->waitForData();
                            else
                                self->closeAndNotify();
                        });
}

/** Reads until no more data is available or the limit per wake-up is reached. Returns false if the
 * connection must be closed. */
bool IncomingPeerConnection::readAvailable()
{
    for (int i = 0; i < kMaxReadsPerWakeUp; ++i) {
        error_code error;
        const std::size_t bytes = m_socket.read_some(asio::buffer(m_readBuffer), error);
        if (error == asio::error::would_block)
            return true;
        if (error)
            return false;
        m_decoder.append({ m_readBuffer.data(), bytes });
        if (!postFrames())
            return false;
        if (bytes < m_readBuffer.size())
            return true;
    }
    return true;
}

namespace {

/** Result of decoding one frame. */
enum class DecodeResult { Frame, UnknownType, Incomplete, Malformed };

} // namespace

/** Posts all complete frames in the decoder; returns false after a malformed one. */
bool IncomingPeerConnection::postFrames()
{
    const auto decodeOne = [this]() -> leaf::result<DecodeResult> {
        BOOST_LEAF_AUTO(envelope, m_decoder.next());
        if (!envelope)
            return DecodeResult::Incomplete;
        m_queue.post(PeerReceived { std::move(*envelope) });
        return DecodeResult::Frame;
    };
    DecodeResult decoded = DecodeResult::Frame;
    while (decoded == DecodeResult::Frame || decoded == DecodeResult::UnknownType) {
        decoded = leaf::try_handle_all(
                decodeOne, [](const UnknownPayload &) { return DecodeResult::UnknownType; },
                [] { return DecodeResult::Malformed; });
        m_counters.framesReceived += decoded == DecodeResult::Frame ? 1 : 0;
        m_counters.unknownPayloads += decoded == DecodeResult::UnknownType ? 1 : 0;
    }
    m_counters.malformedFrames += decoded == DecodeResult::Malformed ? 1 : 0;
    return decoded == DecodeResult::Incomplete;
}

void IncomingPeerConnection::closeAndNotify()
{
    close();
    m_onClosed(this);
}

void IncomingPeerConnection::close()
{
    m_isOpen = false;
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

} // namespace greengagestair
