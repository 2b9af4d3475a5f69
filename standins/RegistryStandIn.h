#pragma once

#include "standins/HttpServer.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
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
    bool contains(const std::string &key) const { return m_state.items.contains(key); }
    void setMode(Mode mode);
    /** Forgets all changes up to now, and cuts the waiting watches. */
    void dropHistory();
    /** Keeps a copy of all items and leases as they are now, for goBack(). */
    void keepCopy();
    /**
     * Comes back from the last copy: later changes and leases are lost, revisions are given out
     * again, and the era rises. Does nothing if no copy was kept.
     */
    void goBack();
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
    /** What goBack() restores. */
    struct State
    {
        std::map<std::string, Item> items;
        std::map<std::int64_t, boost::json::object> history; ///< events by revision
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 100;
    };
    using Answer = boost::asio::awaitable<std::optional<HttpResponse>>;

    Answer answer(HttpRequest request);
    Answer answerCall(HttpRequest request);
    Answer answerWatch(HttpRequest request);
    HttpResponse answerRange(const HttpRequest &request);
    HttpResponse answerTransaction(const HttpRequest &request);
    HttpResponse answerLease(const HttpRequest &request);
    void write(const std::string &key, const std::string &encoded, std::int64_t lease);
    void endLeases();
    boost::json::object describe(const std::string &key, const Item &item) const;

    std::shared_ptr<HttpServer> m_server;
    State m_state;
    std::optional<State> m_copy;
    std::int64_t m_era = 1;
    std::map<std::string, std::size_t> m_calls;
    std::int64_t m_droppedUpTo = 0;
    std::int64_t m_lastLease = 70'000;
    std::size_t m_pageSize = 500;
    std::uint64_t m_cuts = 0; ///< watches that began before the last cut get no answer
    Mode m_mode = Mode::Up;
};

} // namespace greengagestair::standins
