#include "net/TcpPeerTransport.h"

#include "net/IncomingPeerConnection.h"
#include "net/OutgoingPeerConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <unordered_map>
#include <utility>

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace greengagestair {

/** Each other entry host has at most one connection to this host. The design size is 4,000 hosts;
 * the rest allows for replaced hosts, whose old connections remain for some seconds. */
static constexpr std::size_t kMaxIncomingConnections = 8192;

/** Size of the read buffer that all incoming connections share. */
static constexpr std::size_t kReadBufferBytes = 65'536;

/** Delay before accepting again after an error, which is usually a lack of file descriptors. */
static constexpr std::chrono::milliseconds kAcceptRetryDelay(100);

/** Connections accepted before the event loop turns to other events again. */
static constexpr std::size_t kMaxAcceptsAtOnce = 64;

/** Time for sending the queued frames after stop(). */
static constexpr std::chrono::milliseconds kStopTimeout(500);

/** Implementation of TcpPeerTransport. Pending accept handlers share its ownership. */
class TcpPeerTransport::State : public std::enable_shared_from_this<State>
{
public:
    State(asio::io_context &context, HostId host, Incarnation incarnation, Endpoint listen,
          EventQueue &queue)
        : m_context(context)
        , m_acceptor(context)
        , m_acceptTimer(context)
        , m_host(std::move(host))
        , m_incarnation(incarnation)
        , m_endpoint(std::move(listen))
        , m_queue(queue)
        , m_readBuffer(kReadBufferBytes)
    {
        const auto address = asio::ip::make_address(m_endpoint.address);
        const tcp::endpoint local(address, m_endpoint.port);
        m_acceptor.open(local.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(local);
        m_acceptor.listen();
        m_endpoint.port = m_acceptor.local_endpoint().port();
    }

    void accept()
    {
        m_acceptor.async_accept(
                [self = shared_from_this()](const error_code &error, tcp::socket socket) {
                    if (self->m_isStopped)
                        return;
                    if (error) {
                        self->retryAcceptLater();
                        return;
                    }
                    self->addIncoming(std::move(socket));
                    self->acceptPending();
                    self->accept();
                });
    }

    /** Accepts connections that wait in the kernel. */
    void acceptPending()
    {
        error_code error;
        m_acceptor.non_blocking(true, error);
        for (std::size_t accepted = 0; !error && accepted < kMaxAcceptsAtOnce; ++accepted) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error)
                addIncoming(std::move(socket));
        }
    }

    void send(const HostId &host, const Endpoint &endpoint, const PeerMessage &message)
    {
        FrameBytes *buffer = nullptr;
        OutgoingPeerConnection *peer = nullptr;
        if (!m_isStopped) {
            peer = &outgoingConnection(host, endpoint);
            buffer = peer->frameBuffer();
        }
        if (buffer && FrameCodec::append(m_host, m_incarnation, m_endpoint, message, *buffer))
            peer->commitFrame();
        else
            ++m_counters.droppedFrames;
    }

    void stop()
    {
        if (std::exchange(m_isStopped, true))
            return;
        closeIncoming();
        const auto deadline = OutgoingPeerConnection::Clock::now() + kStopTimeout;
        for (const auto &[host, peer] : m_outgoing)
            peer->finish(deadline);
    }

    void close()
    {
        m_isStopped = true;
        closeIncoming();
        for (const auto &[host, peer] : m_outgoing)
            peer->close();
        m_outgoing.clear();
    }

    const Endpoint &endpoint() const { return m_endpoint; }
    const PeerTransportCounters &counters() const { return m_counters; }

private:
    void retryAcceptLater()
    {
        m_acceptTimer.expires_after(kAcceptRetryDelay);
        m_acceptTimer.async_wait([self = shared_from_this()](const error_code &) {
            if (!self->m_isStopped)
                self->accept();
        });
    }

    void addIncoming(tcp::socket socket)
    {
        if (m_incoming.size() >= kMaxIncomingConnections)
            return; // the destructor of `socket` closes the connection
        const auto peer = std::make_shared<IncomingPeerConnection>(
                std::move(socket), m_readBuffer, m_counters, m_queue,
                [this](IncomingPeerConnection *closed) { m_incoming.erase(closed); });
        m_incoming.emplace(peer.get(), peer);
        peer->start();
    }

    void closeIncoming()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        m_acceptTimer.cancel();
        for (const auto &[key, peer] : m_incoming)
            peer->close();
        m_incoming.clear();
    }

    OutgoingPeerConnection &outgoingConnection(const HostId &host, const Endpoint &endpoint)
    {
        auto found = m_outgoing.find(host);
        if (found != m_outgoing.end() && found->second->endpoint() != endpoint) {
            // The host was replaced and now has another address.
            found->second->close();
            m_outgoing.erase(found);
            found = m_outgoing.end();
            m_queue.post(PeerLost { host });
        }
        if (found == m_outgoing.end()) {
            removeIdle();
            const auto onLost = [this, host](bool isRefused) {
                m_queue.post(PeerLost { host, isRefused });
            };
            auto peer = std::make_shared<OutgoingPeerConnection>(m_context, endpoint, m_counters,
                                                                 onLost);
            found = m_outgoing.emplace(host, std::move(peer)).first;
        }
        return *found->second;
    }

    void removeIdle()
    {
        const auto now = OutgoingPeerConnection::Clock::now();
        std::erase_if(m_outgoing, [now](const auto &item) { return item.second->isIdle(now); });
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptTimer;
    HostId m_host;
    Incarnation m_incarnation;
    Endpoint m_endpoint;
    EventQueue &m_queue;
    PeerTransportCounters m_counters;
    std::vector<std::uint8_t> m_readBuffer;
    std::unordered_map<HostId, std::shared_ptr<OutgoingPeerConnection>> m_outgoing;
    std::unordered_map<IncomingPeerConnection *, std::shared_ptr<IncomingPeerConnection>>
            m_incoming;
    bool m_isStopped = false;
};

TcpPeerTransport::TcpPeerTransport(asio::io_context &context, HostId host, Incarnation incarnation,
                                   Endpoint listen, EventQueue &queue)
    : m_state(std::make_shared<State>(context, std::move(host), incarnation, std::move(listen),
                                      queue))
{
    m_state->accept();
}

TcpPeerTransport::~TcpPeerTransport()
{
    m_state->close();
}

void TcpPeerTransport::send(const HostId &host, const Endpoint &endpoint,
                            const PeerMessage &message)
{
    m_state->send(host, endpoint, message);
}

void TcpPeerTransport::stop()
{
    m_state->stop();
}

const Endpoint &TcpPeerTransport::listenEndpoint() const
{
    return m_state->endpoint();
}

const PeerTransportCounters &TcpPeerTransport::counters() const
{
    return m_state->counters();
}

} // namespace greengagestair
