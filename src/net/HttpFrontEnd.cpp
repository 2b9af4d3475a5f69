#include "net/HttpFrontEnd.h"

#include "net/CallerAnswerJson.h"
#include "net/CallerConnection.h"
#include "net/HttpAnswer.h"
#include "net/PistacheHandler.h"

#include <boost/leaf/error.hpp>
#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace greengagestair {

using SteadyClock = std::chrono::steady_clock;

/** Interval at which connections are checked for expired timeouts. */
static constexpr std::chrono::milliseconds kTimeoutCheckInterval(250);
/** Time that stop() waits for the writes in progress. */
static constexpr std::chrono::milliseconds kFlushTimeout(1000);
static constexpr std::chrono::milliseconds kFlushPollInterval(5);
/** Time that stop() waits for connections to close. Without it, callers that keep connecting could
 * block stop() forever. */
static constexpr std::chrono::milliseconds kCloseTimeout(200);
/** Time between the last answer and the forced close of a connection. A caller that is still
 * sending can read its refusal in this time, before the close resets the connection. */
static constexpr std::chrono::seconds kLingerTimeout(2);
/** Effectively disables Pistache's own timeouts, which would close connections whose requests wait
 * for an answer. */
static constexpr std::chrono::hours kLibraryTimeout(24);
static constexpr int kBacklog = 1024;
/** Copies of a request that is handled: as received, as parsed and as passed to the reducer. */
static constexpr std::size_t kRequestCopies = 3;

namespace {

using ConnectionPointer = std::shared_ptr<CallerConnection>;

/** A request that was accepted and not answered yet. */
struct PendingRequest
{
    ConnectionPointer connection;
    SteadyClock::time_point receivedAt;
};

} // namespace

/** Implementation of HttpFrontEnd. Used by Pistache's threads, the event loop and the thread that
 * closes overdue connections. */
class HttpFrontEnd::Server : public std::enable_shared_from_this<Server>
{
public:
    Server(const HttpFrontEndOptions &options, EventQueue &events, OperatorPageProvider &pages,
           AnswerObserver &observer);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    boost::leaf::result<void> start();
    void stop();
    void answer(const AnswerCaller &answer);
    std::uint16_t port() const;
    std::vector<Counter> counters() const;

    void onConnected(const PeerPointer &peer, Pistache::Tcp::Transport *transport);
    void onDisconnected(const PeerPointer &peer);
    void onReceived(std::string_view bytes, const PeerPointer &peer);

private:
    using Lock = std::unique_lock<std::mutex>;

    /** Appends `bytes` to the connection's buffer and extracts a complete request. Returns an empty
     * string if there is none or if it was refused. */
    std::string extractRequest(const ConnectionPointer &connection, const PeerPointer &peer,
                               std::string_view bytes);
    void parseRequest(const ConnectionPointer &connection, const PeerPointer &peer,
                      const std::string &bytes);
    void acceptRequest(const ConnectionPointer &connection, const Pistache::Http::Request &request);
    CallerId addRequest(const ConnectionPointer &connection);
    void finishRequest(CallerId caller, const HttpAnswer &answer, bool closeAfterwards);
    void refuse(const ConnectionPointer &connection, const HttpRefusal &refusal,
                bool closeAfterwards);
    void send(const ConnectionPointer &connection, const HttpAnswer &answer);
    void closeOverdueUntilStopped();
    void closeOverdue(SteadyClock::time_point now);
    void closeIfOverdue(const ConnectionPointer &connection, SteadyClock::time_point now);
    void endForShortage(const ConnectionPointer &connection);
    /** Updates the account for a connection, and ends others if the account is used up. */
    void updateAccount(const ConnectionPointer &connection);
    bool hasWrites() const;
    void flushWrites();
    void closeConnections();
    std::string requestId(CallerId caller) const;

    const HttpFrontEndOptions m_options;
    EventQueue &m_events;
    OperatorPageProvider &m_pageProvider;
    AnswerObserver &m_observer;

    /**
     * Guards the members below up to m_isStopping and the connections. It is also held while an
     * answer is passed to Pistache, which identifies connections by file descriptor: a connection
     * that ends waits for the mutex, so its descriptor cannot be reused for another caller before
     * the answer is in Pistache's queue, where it is dropped.
     */
    mutable std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    CallerAccount m_account;
    std::unordered_map<std::size_t, ConnectionPointer> m_connections;
    std::unordered_map<CallerId, PendingRequest> m_requests;
    std::uint64_t m_lastCallerId = 0;
    std::uint64_t m_refusals = 0;
    bool m_isStopping = false;

    std::unique_ptr<Pistache::Http::Endpoint> m_endpoint;
    std::thread m_timeoutThread;
};

HttpFrontEnd::Server::Server(const HttpFrontEndOptions &options, EventQueue &events,
                             OperatorPageProvider &pages, AnswerObserver &observer)
    : m_options(options)
    , m_events(events)
    , m_pageProvider(pages)
    , m_observer(observer)
    , m_account({ options.memory.bytes,
                  std::min(options.memory.connections, options.maxConnections) })
{
}

HttpFrontEnd::Server::~Server()
{
    // Writes that Pistache still holds may keep connections beyond the account.
    for (const auto &[id, connection] : m_connections)
        connection->leave();
}

boost::leaf::result<void> HttpFrontEnd::Server::start()
{
    using Pistache::Tcp::Options;
    const auto self = shared_from_this();
    auto handler = std::make_shared<RequestHandler>(
            [self](const PeerPointer &peer, Pistache::Tcp::Transport *transport) {
                self->onConnected(peer, transport);
            },
            [self](std::string_view bytes, const PeerPointer &peer) {
                self->onReceived(bytes, peer);
            },
            [self](const PeerPointer &peer) { self->onDisconnected(peer); });
    const std::size_t maxRequestSize =
            m_options.limits.maxHeaderBytes + m_options.limits.maxBodyBytes;
    const auto options =
            Pistache::Http::Endpoint::options()
                    .threads(m_options.threads)
                    .threadsName("http")
                    .flags(Options::ReuseAddr | Options::NoDelay | Options::CloseOnExec)
                    .backlog(kBacklog)
                    .maxRequestSize(maxRequestSize)
                    .headerTimeout(kLibraryTimeout)
                    .bodyTimeout(kLibraryTimeout)
                    .keepaliveTimeout(kLibraryTimeout);
    try {
        m_endpoint = std::make_unique<Pistache::Http::Endpoint>(
                Pistache::Address(m_options.listen.address, Pistache::Port(m_options.listen.port)));
        m_endpoint->init(options);
        m_endpoint->setHandler(handler);
        m_endpoint->serveThreaded();
    } catch (const std::exception &error) {
        m_endpoint.reset();
        return boost::leaf::new_error(ListenError { m_options.listen, error.what() });
    }
    m_timeoutThread = std::thread([this] { closeOverdueUntilStopped(); });
    return {};
}

std::uint16_t HttpFrontEnd::Server::port() const
{
    return m_endpoint ? static_cast<std::uint16_t>(m_endpoint->getPort()) : 0;
}

std::vector<Counter> HttpFrontEnd::Server::counters() const
{
    const Lock lock(m_mutex);
    return { { "http_connections", m_connections.size() },
             { "http_requests_in_progress", m_requests.size() },
             { "http_requests_total", m_lastCallerId },
             { "http_refusals_total", m_refusals },
             { "http_held_bytes", m_account.heldBytes() },
             { "http_callers_ended_total{reason=\"stalled\"}",
               m_account.ended(ShortageReason::Stalled) },
             { "http_callers_ended_total{reason=\"memory\"}",
               m_account.ended(ShortageReason::Memory) },
             { "http_callers_ended_total{reason=\"connections\"}",
               m_account.ended(ShortageReason::Connections) } };
}

void HttpFrontEnd::Server::onConnected(const PeerPointer &peer, Pistache::Tcp::Transport *transport)
{
    const Lock lock(m_mutex);
    const auto now = SteadyClock::now();
    const auto connection = std::make_shared<CallerConnection>(peer, transport, now);
    m_connections.emplace(peer->getID(), connection);
    if (m_isStopping)
        return refuse(connection, { 503, QueryReason::Stopping, "the host is stopping" }, true);
    if (!m_account.makeRoomForConnection(now)) {
        connection->closesAtOnce = true;
        return refuse(connection, { 429, QueryReason::Overloaded, "too many connections" }, true);
    }
    const std::weak_ptr<CallerConnection> weak = connection;
    connection->join(
            m_account,
            [this, weak] {
                if (const auto ended = weak.lock())
                    endForShortage(ended);
            },
            now);
}

void HttpFrontEnd::Server::endForShortage(const ConnectionPointer &connection)
{
    const bool isReceiving = !connection->received.empty();
    std::string().swap(connection->received);
    // The memory and the descriptor are needed at once, so nothing more is read.
    connection->closesAtOnce = true;
    if (isReceiving && connection->writesInProgress == 0)
        return refuse(connection, { 503, QueryReason::Overloaded, "too many callers" }, true);
    connection->isClosing = true;
    connection->shutDown(SHUT_RDWR);
}

void HttpFrontEnd::Server::updateAccount(const ConnectionPointer &connection)
{
    const auto now = SteadyClock::now();
    connection->updateShare(now);
    if (m_account.needsRelief())
        m_account.relieve(now);
}

void HttpFrontEnd::Server::onDisconnected(const PeerPointer &peer)
{
    CallerId disconnectedCaller;
    {
        const Lock lock(m_mutex);
        const auto found = m_connections.find(peer->getID());
        if (found == m_connections.end())
            return;
        if (found->second->hasPendingRequest && m_requests.erase(found->second->caller) > 0)
            disconnectedCaller = found->second->caller;
        found->second->leave();
        m_connections.erase(found);
    }
    if (disconnectedCaller.value != 0)
        m_events.post(CallerGone { disconnectedCaller });
}

void HttpFrontEnd::Server::onReceived(std::string_view bytes, const PeerPointer &peer)
{
    ConnectionPointer connection;
    std::string request;
    {
        const Lock lock(m_mutex);
        const auto found = m_connections.find(peer->getID());
        if (found == m_connections.end() || found->second->isClosing)
            return;
        connection = found->second;
        if (connection->hasPendingRequest) {
            // Pipelining is not supported. The connection is closed after the pending answer, so
            // the caller can tell that this request was not read.
            connection->closesAfterAnswer = true;
            return;
        }
        request = extractRequest(connection, peer, bytes);
        updateAccount(connection);
    }
    if (!request.empty())
        parseRequest(connection, peer, request);
}

std::string HttpFrontEnd::Server::extractRequest(const ConnectionPointer &connection,
                                                 const PeerPointer &peer, std::string_view bytes)
{
    if (connection->received.empty())
        connection->stateSince = SteadyClock::now();
    connection->received.append(bytes);
    const FramingResult framing = frameRequest(connection->received, m_options.limits);
    if (framing.status == FramingStatus::Incomplete) {
        if (framing.wantsContinue && !connection->sentContinue) {
            connection->sentContinue = true;
            peer->send(Pistache::RawBuffer("HTTP/1.1 100 Continue\r\n\r\n", 25));
        }
        return {};
    }
    std::string request = std::exchange(connection->received, {});
    connection->sentContinue = false;
    if (framing.status != FramingStatus::Complete) {
        refuse(connection, refusalFor(framing.status), true);
        return {};
    }
    if (request.size() > framing.length) {
        connection->closesAfterAnswer = true;
        request.resize(framing.length);
    }
    if (m_account.isFull()) {
        refuse(connection, { 503, QueryReason::Overloaded, "too many callers" }, true);
        return {};
    }
    connection->requestBytes = kRequestCopies * request.size();
    connection->hasPendingRequest = true;
    connection->hasServed = true;
    return request;
}

void HttpFrontEnd::Server::parseRequest(const ConnectionPointer &connection,
                                        const PeerPointer &peer, const std::string &bytes)
{
    const auto parser = Pistache::Http::Handler::getParser(peer);
    bool isParsed = false;
    try {
        isParsed = parser->feed(bytes.data(), bytes.size())
                && parser->parse() == Pistache::Http::Private::State::Done;
        if (isParsed)
            acceptRequest(connection, parser->request);
    } catch (const std::exception &) {
        // Pistache throws different exception types for malformed requests.
        isParsed = false;
    }
    parser->reset();
    if (!isParsed) {
        const Lock lock(m_mutex);
        refuse(connection, { 400, QueryReason::BadRequest, "malformed request" }, true);
    }
}

static bool wantsClose(const Pistache::Http::Request &request)
{
    const auto header = request.headers().tryGet<Pistache::Http::Header::Connection>();
    if (header)
        return header->control() == Pistache::Http::ConnectionControl::Close;
    return request.version() == Pistache::Http::Version::Http10;
}

static std::optional<std::string> findHeader(const Pistache::Http::Request &request,
                                             const std::string &name)
{
    const auto header = request.headers().tryGetRaw(name);
    return header ? std::optional(header->value()) : std::nullopt;
}

void HttpFrontEnd::Server::acceptRequest(const ConnectionPointer &connection,
                                         const Pistache::Http::Request &request)
{
    ParsedRequest parsed = parseCallerRequest(
            { Pistache::Http::methodString(request.method()), request.resource(), request.body(),
              [&request](const std::string &name) { return findHeader(request, name); } });
    CallerId caller;
    {
        const Lock lock(m_mutex);
        connection->closesAfterAnswer |= wantsClose(request);
        if (m_isStopping)
            parsed = HttpRefusal { 503, QueryReason::Stopping, "the host is stopping" };
        else if (m_requests.size() >= m_options.maxRequests
                 && !std::holds_alternative<OperatorPage>(parsed))
            parsed = HttpRefusal { 429, QueryReason::Overloaded, "too many requests in progress" };
        if (const auto *refusal = std::get_if<HttpRefusal>(&parsed)) {
            refuse(connection, *refusal, false);
            return;
        }
        caller = addRequest(connection);
    }
    if (const auto *page = std::get_if<OperatorPage>(&parsed)) {
        m_pageProvider.requestPage(
                *page, [self = weak_from_this(), caller](const OperatorPageResponse &pageResponse) {
                    if (const auto server = self.lock())
                        server->finishRequest(caller,
                                              { pageResponse.status, pageResponse.contentType,
                                                pageResponse.body },
                                              false);
                });
    } else if (auto *query = std::get_if<CallerRequest>(&parsed)) {
        query->caller = caller;
        m_events.post(std::move(*query));
    } else if (auto *outcomeQuery = std::get_if<OutcomeQuery>(&parsed)) {
        outcomeQuery->caller = caller;
        m_events.post(std::move(*outcomeQuery));
    }
}

CallerId HttpFrontEnd::Server::addRequest(const ConnectionPointer &connection)
{
    const CallerId caller { ++m_lastCallerId };
    connection->caller = caller;
    m_requests.emplace(caller, PendingRequest { connection, SteadyClock::now() });
    return caller;
}

void HttpFrontEnd::Server::answer(const AnswerCaller &answer)
{
    SteadyClock::time_point receivedAt;
    {
        const Lock lock(m_mutex);
        const auto found = m_requests.find(answer.caller);
        if (found == m_requests.end())
            return;
        receivedAt = found->second.receivedAt;
    }
    const bool closeAfterwards = answer.answer.reason == QueryReason::Stopping;
    finishRequest(answer.caller, toAnswer(renderAnswer(answer.answer, requestId(answer.caller))),
                  closeAfterwards);
    const auto latency = std::chrono::duration_cast<Duration>(SteadyClock::now() - receivedAt);
    m_observer.onAnswered(answer.answer.outcome, latency);
}

void HttpFrontEnd::Server::finishRequest(CallerId caller, const HttpAnswer &answer,
                                         bool closeAfterwards)
{
    const Lock lock(m_mutex);
    const auto found = m_requests.find(caller);
    if (found == m_requests.end())
        return;
    const PendingRequest pending = std::move(found->second);
    m_requests.erase(found);
    pending.connection->closesAfterAnswer |= closeAfterwards;
    send(pending.connection, answer);
}

void HttpFrontEnd::Server::refuse(const ConnectionPointer &connection, const HttpRefusal &refusal,
                                  bool closeAfterwards)
{
    ++m_refusals;
    connection->closesAfterAnswer |= closeAfterwards;
    send(connection, toAnswer(refusal));
}

void HttpFrontEnd::Server::send(const ConnectionPointer &connection, const HttpAnswer &answer)
{
    const bool closeAfterwards = connection->closesAfterAnswer;
    connection->hasPendingRequest = false;
    connection->isClosing = closeAfterwards;
    connection->stateSince = SteadyClock::now();
    const auto peer = connection->peer.lock();
    if (!peer)
        return;
    std::string bytes = renderResponse(answer, closeAfterwards);
    const std::size_t length = bytes.size();
    const int direction = connection->closesAtOnce ? SHUT_RDWR : SHUT_WR;
    const auto finished = [connection, closeAfterwards, length, direction] {
        connection->unsentBytes -= length;
        --connection->writesInProgress;
        if (closeAfterwards)
            connection->shutDown(direction);
    };
    ++connection->writesInProgress;
    connection->unsentBytes += length;
    connection->updateShare(connection->stateSince);
    // Pistache's ResponseWriter has a data race: it returns a chained promise, which Pistache
    // resolves without the promise's lock while this thread attaches the continuation.
    connection->transport->asyncWrite(peer->fd(), Pistache::RawBuffer(std::move(bytes), length))
            .then([finished](ssize_t) { finished(); },
                  [finished](const std::exception_ptr &) { finished(); });
}

std::string HttpFrontEnd::Server::requestId(CallerId caller) const
{
    return m_options.requestIdPrefix + "-" + std::to_string(caller.value);
}

void HttpFrontEnd::Server::closeOverdueUntilStopped()
{
    Lock lock(m_mutex);
    while (!m_stopRequested.wait_for(lock, kTimeoutCheckInterval, [this] { return m_isStopping; }))
        closeOverdue(SteadyClock::now());
}

void HttpFrontEnd::Server::closeOverdue(SteadyClock::time_point now)
{
    for (const auto &[id, connection] : m_connections) {
        connection->updateShare(now);
        closeIfOverdue(connection, now);
    }
    m_account.relieve(now);
}

void HttpFrontEnd::Server::closeIfOverdue(const ConnectionPointer &connection,
                                          SteadyClock::time_point now)
{
    const auto age = now - connection->stateSince;
    if (connection->hasPendingRequest)
        return;
    if (connection->isClosing) {
        if (age > kLingerTimeout)
            connection->shutDown(SHUT_RDWR);
    } else if (!connection->received.empty()) {
        if (age > m_options.receiveTimeout) {
            connection->received = {};
            refuse(connection, { 408, QueryReason::BadRequest, "request took too long" }, true);
        }
    } else if (age > m_options.idleTimeout) {
        connection->isClosing = true;
        connection->shutDown(SHUT_RDWR);
    }
}

bool HttpFrontEnd::Server::hasWrites() const
{
    const Lock lock(m_mutex);
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto &entry) { return entry.second->writesInProgress > 0; });
}

void HttpFrontEnd::Server::flushWrites()
{
    const auto deadline = SteadyClock::now() + kFlushTimeout;
    while (hasWrites() && SteadyClock::now() < deadline)
        std::this_thread::sleep_for(kFlushPollInterval);
}

void HttpFrontEnd::Server::closeConnections()
{
    const auto deadline = SteadyClock::now() + kCloseTimeout;
    {
        const Lock lock(m_mutex);
        for (const auto &[id, connection] : m_connections)
            connection->shutDown(SHUT_RDWR);
    }
    // Callers that connect from now on are refused until the listening socket is closed.
    while (SteadyClock::now() < deadline) {
        {
            const Lock lock(m_mutex);
            if (m_connections.empty())
                return;
        }
        std::this_thread::sleep_for(kFlushPollInterval);
    }
}

void HttpFrontEnd::Server::stop()
{
    {
        const Lock lock(m_mutex);
        m_isStopping = true;
    }
    m_stopRequested.notify_all();
    if (m_timeoutThread.joinable())
        m_timeoutThread.join();
    if (!m_endpoint)
        return;
    flushWrites();
    closeConnections();
    m_endpoint->shutdown();
    m_endpoint.reset();
}

HttpFrontEnd::HttpFrontEnd(const HttpFrontEndOptions &options, EventQueue &events,
                           OperatorPageProvider &pages, AnswerObserver &observer)
    : m_server(std::make_shared<Server>(options, events, pages, observer))
{
}

HttpFrontEnd::~HttpFrontEnd()
{
    m_server->stop();
}

boost::leaf::result<void> HttpFrontEnd::start()
{
    return m_server->start();
}

void HttpFrontEnd::answer(const AnswerCaller &answer)
{
    m_server->answer(answer);
}

void HttpFrontEnd::stop()
{
    m_server->stop();
}

std::uint16_t HttpFrontEnd::port() const
{
    return m_server->port();
}

std::vector<Counter> HttpFrontEnd::counters() const
{
    return m_server->counters();
}

} // namespace greengagestair
