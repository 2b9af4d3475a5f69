#include "http/ConnectionProber.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace greengagestair {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/** A server that is reachable accepts a connection within a fraction of this time. */
static constexpr std::chrono::milliseconds kProbeTimeout(300);

namespace {

/** One connection attempt with its time limit. */
struct Attempt
{
    explicit Attempt(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
};

} // namespace

ConnectionProber::ConnectionProber(asio::io_context &context, OnEnded onEnded)
    : m_context(context)
    , m_onEnded(std::make_shared<const OnEnded>(std::move(onEnded)))
{
}

void ConnectionProber::probe(const ServerId &server, const Endpoint &endpoint)
{
    const std::weak_ptr<const OnEnded> onEnded = m_onEnded;
    const auto report = [onEnded, server](bool isConnected) {
        if (const auto function = onEnded.lock())
            (*function)(server, isConnected);
    };
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return asio::post(m_context, [report] { report(false); });
    const auto attempt = std::make_shared<Attempt>(m_context);
    attempt->timer.expires_after(kProbeTimeout);
    attempt->timer.async_wait([attempt](const error_code &stopped) {
        error_code ignored; // Nothing can be done about a failed close.
        if (!stopped)
            attempt->socket.close(ignored);
    });
    attempt->socket.async_connect({ address, endpoint.port },
                                  [attempt, report](const error_code &failed) {
                                      attempt->timer.cancel();
                                      report(!failed);
                                  });
}

} // namespace greengagestair
