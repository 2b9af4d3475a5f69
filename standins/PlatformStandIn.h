#pragma once

#include "standins/HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>

namespace greengagestair::standins {

/**
 * Stands in for the platform: key-value service with compare-and-swap and watches, leases, and the
 * lagging host list. Faults are set through the control endpoint:
 *
 * - `POST /control/faults` {"mode": "up"|"refuse"|"hang", "delayMs", "loseWrites"}: each field is
 *   optional. `loseWrites` N drops the answers of the next N writes that take effect.
 * - `POST /control/hosts` with the content of the document `hosts`, shown after the lag
 * - `POST /control/lag` {"lagMs"}
 * - `GET /control/report`: calls by kind (a waiting watch is one call); `POST /control/reset`
 */
class PlatformStandIn
{
public:
    PlatformStandIn(boost::asio::io_context &context,
                    const boost::asio::ip::tcp::endpoint &endpoint,
                    const boost::asio::ip::tcp::endpoint &controlEndpoint, std::string hosts);

    boost::asio::ip::tcp::endpoint endpoint() const { return m_server->endpoint(); }
    boost::asio::ip::tcp::endpoint controlEndpoint() const { return m_control->endpoint(); }

private:
    enum class Mode { Up, Refuse, Hang };

    struct Entry
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    using Answer = boost::asio::awaitable<std::optional<HttpResponse>>;

    Answer answer(HttpRequest request);
    Answer answerWatch(std::string key, std::uint64_t after, std::chrono::milliseconds timeout);
    HttpResponse read(const std::string &key) const;
    std::optional<HttpResponse> write(const std::string &key, const HttpRequest &request);
    HttpResponse openLease(const HttpRequest &request);
    HttpResponse renewLease(const std::string &path);
    HttpResponse answerControl(const HttpRequest &request);
    void setFaults(const std::string &body);
    boost::asio::awaitable<void> showHosts(std::string hosts);

    boost::asio::io_context &m_context;
    std::shared_ptr<HttpServer> m_server;
    std::shared_ptr<HttpServer> m_control;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::set<boost::asio::steady_timer *>> m_watches;
    std::map<std::uint64_t,
             std::pair<std::chrono::steady_clock::time_point,
                       std::chrono::milliseconds>>
            m_leases; ///< end and length by lease identifier
    std::uint64_t m_lastLease = 0;
    Entry m_hosts;
    std::chrono::milliseconds m_hostLag { 0 };
    Mode m_mode = Mode::Up;
    std::chrono::milliseconds m_delay { 0 };
    int m_answersToLose = 0;
    std::map<std::string, std::uint64_t> m_calls;
};

} // namespace greengagestair::standins
