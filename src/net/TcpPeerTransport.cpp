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

/** Each entry host has one connection to this one at most; the design size is 4,000 hosts, and a
 * replaced host's old connection stays for some seconds. */
static constexpr std::size_t kMaxIncomingConnections = 8192;

/** Shared by all incoming connections. */
static constexpr std::size_t kReadBytes = 65'536;

/** Pause after an accept failed, usually for lack of file descriptors. */
static constexpr std::chrono::milliseconds kAcceptPause(100);

/** How long queued frames are still sent after stop(). */
static constexpr std::chrono::milliseconds kStopTimeout(500);

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
        , m_scratch(kReadBytes)
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
                    if (self->m_stopped)
                        return;
                    if (error) {
                        self->acceptLater();
                        return;
                    }
                    self->accepted(std::move(socket));
                    self->accept();
                });
    }

    void send(const HostId &host, const Endpoint &endpoint, const PeerMessage &message)
    {
        FrameBytes *queue = nullptr;
        OutgoingPeerConnection *peer = nullptr;
        if (!m_stopped) {
            peer = &peerFor(host, endpoint);
            queue = peer->queue();
        }
        if (queue && FrameCodec::append(m_host, m_incarnation, m_endpoint, message, *queue))
            peer->commitFrame();
        else
            ++m_counters.droppedFrames;
    }

    void stop()
    {
        if (std::exchange(m_stopped, true))
            return;
        closeIncoming();
        const auto limit = OutgoingPeerConnection::Clock::now() + kStopTimeout;
        for (const auto &[host, peer] : m_outgoing)
            peer->finish(limit);
    }

    void close()
    {
        m_stopped = true;
        closeIncoming();
        for (const auto &[host, peer] : m_outgoing)
            peer->close();
        m_outgoing.clear();
    }

    const Endpoint &endpoint() const { return m_endpoint; }
    const PeerTransportCounters &counters() const { return m_counters; }

private:
    void acceptLater()
    {
        m_acceptTimer.expires_after(kAcceptPause);
        m_acceptTimer.async_wait([self = shared_from_this()](const error_code &) {
            if (!self->m_stopped)
                self->accept();
        });
    }

    void accepted(tcp::socket socket)
    {
        if (m_incoming.size() >= kMaxIncomingConnections)
            return; // the socket closes
        const auto peer = std::make_shared<IncomingPeerConnection>(
                std::move(socket), m_scratch, m_counters, m_queue,
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

    OutgoingPeerConnection &peerFor(const HostId &host, const Endpoint &endpoint)
    {
        auto found = m_outgoing.find(host);
        if (found != m_outgoing.end() && found->second->endpoint() != endpoint) {
            // The host was replaced and has another address now.
            found->second->close();
            m_outgoing.erase(found);
            found = m_outgoing.end();
            m_queue.post(PeerLost { host });
        }
        if (found == m_outgoing.end()) {
            removeUnused();
            const auto lost = [this, host] { m_queue.post(PeerLost { host }); };
            auto peer =
                    std::make_shared<OutgoingPeerConnection>(m_context, endpoint, m_counters, lost);
            found = m_outgoing.emplace(host, std::move(peer)).first;
        }
        return *found->second;
    }

    void removeUnused()
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
    std::vector<std::uint8_t> m_scratch;
    std::unordered_map<HostId, std::shared_ptr<OutgoingPeerConnection>> m_outgoing;
    std::unordered_map<IncomingPeerConnection *, std::shared_ptr<IncomingPeerConnection>>
            m_incoming;
    bool m_stopped = false;
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
