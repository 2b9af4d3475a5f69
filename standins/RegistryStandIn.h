#pragma once

#include "standins/HttpServer.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace greengagestair::standins {

/**
 * Stands in for the store of the users' platform: ranges, watches, conditional writes and leases
 * over one revision counter. Runs on the thread of its context; the setters are called there or
 * before it runs.
 */
class RegistryStandIn
{
public:
    enum class Mode { Up, Refuse, Hang };

    RegistryStandIn(boost::asio::io_context &context,
                    const boost::asio::ip::tcp::endpoint &endpoint);

    boost::asio::ip::tcp::endpoint endpoint() const { return m_server->endpoint(); }

    /** Writes an entry as operators and backend servers do; `value` is not encoded. */
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    bool contains(const std::string &key) const { return m_items.contains(key); }
    void setMode(Mode mode);
    /** Forgets all changes up to now, and cuts the waiting watches. */
    void dropHistory();
    /** Items in one answer of a range. */
    void setPageSize(std::size_t items) { m_pageSize = items; }
    std::size_t calls(const std::string &kind) const;

private:
    struct Item
    {
        std::string value; ///< base64
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Lease
    {
        std::chrono::steady_clock::time_point end;
        std::chrono::milliseconds length {};
    };
    using Answer = boost::asio::awaitable<std::optional<HttpResponse>>;

    Answer answer(HttpRequest request);
    Answer answerWatch(HttpRequest request);
    HttpResponse answerRange(const HttpRequest &request);
    HttpResponse answerTransaction(const HttpRequest &request);
    HttpResponse answerLease(const HttpRequest &request);
    void write(const std::string &key, const std::string &encoded, std::int64_t lease);
    void endLeases();
    boost::json::object describe(const std::string &key, const Item &item) const;

    std::shared_ptr<HttpServer> m_server;
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, boost::json::object> m_history; ///< events by revision
    std::map<std::int64_t, Lease> m_leases;
    std::map<std::string, std::size_t> m_calls;
    std::int64_t m_revision = 100;
    std::int64_t m_droppedUpTo = 0;
    std::int64_t m_lastLease = 70'000;
    std::size_t m_pageSize = 500;
    std::uint64_t m_cuts = 0; ///< watches that began before the last cut get no answer
    Mode m_mode = Mode::Up;
};

} // namespace greengagestair::standins
