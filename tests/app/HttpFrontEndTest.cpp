#include "net/HttpFrontEnd.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace greengagestair;

static constexpr std::chrono::seconds kTestLimit(10);
static const std::string kClosed = "<closed>";

namespace {

/** Keeps posted events for the test, or gives each to a function at once. */
class RecordedEvents : public EventQueue
{
public:
    void post(Event event) override
    {
        if (onPost) {
            onPost(event);
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_events.push_back(std::move(event));
        m_changed.notify_all();
    }

    template <typename Type>
    Type take()
    {
        std::unique_lock lock(m_mutex);
        REQUIRE(m_changed.wait_for(lock, kTestLimit, [this] { return !m_events.empty(); }));
        REQUIRE(std::holds_alternative<Type>(m_events.front()));
        Type event = std::get<Type>(m_events.front());
        m_events.pop_front();
        return event;
    }

    std::function<void(const Event &)> onPost;

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Event> m_events;
};

class FixedPages : public OperatorPageProvider
{
public:
    void requestPage(OperatorPage /*page*/, std::function<void(OperatorPageResponse)> done) override
    {
        done({ 200, "text/plain", "page" });
    }
};

class CountingObserver : public AnswerObserver
{
public:
    void onAnswered(QueryOutcome /*outcome*/, Duration /*latency*/) override { ++answers; }

    std::atomic<int> answers = 0;
};

/** One connection of a caller. */
class Caller
{
public:
    explicit Caller(std::uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        const timeval limit { kTestLimit.count(), 0 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        m_isConnected =
                ::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    }
    ~Caller() { ::close(m_socket); }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    bool isConnected() const { return m_isConnected; }

    void send(const std::string &bytes) const
    {
        ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    void post(const std::string &body) const
    {
        send("POST /v1/services/s/o HTTP/1.1\r\nContent-Length: " + std::to_string(body.size())
             + "\r\n\r\n" + body);
    }

    /** Reads until the text has arrived or the connection is closed. */
    std::string readUntil(const std::string &text)
    {
        while (m_received.find(text) == std::string::npos) {
            char buffer[4096];
            const auto length = ::recv(m_socket, buffer, sizeof(buffer), 0);
            if (length <= 0)
                return std::exchange(m_received, {}) + kClosed;
            m_received.append(buffer, static_cast<std::size_t>(length));
        }
        return std::exchange(m_received, {});
    }

    std::string readAll() { return readUntil("no such text"); }

private:
    int m_socket;
    bool m_isConnected = false;
    std::string m_received;
};

/** A front end on a free port. */
struct Fixture
{
    explicit Fixture(const std::function<void(HttpFrontEndOptions &)> &change = {})
    {
        HttpFrontEndOptions options;
        options.listen = { "127.0.0.1", 0 };
        options.requestIdPrefix = "host-1";
        if (change)
            change(options);
        frontEnd.emplace(options, events, pages, observer);
        REQUIRE(frontEnd->start());
    }

    void answer(CallerId caller, const std::string &body)
    {
        CallerAnswer answer;
        answer.outcome = QueryOutcome::Complete;
        answer.parts = { { "", "", body } };
        frontEnd->answer({ caller, answer });
    }

    std::uint64_t counter(const std::string &name) const
    {
        for (const Counter &counter : frontEnd->counters()) {
            if (counter.name == name)
                return counter.value;
        }
        return 0;
    }

    /** Waits until a counter has the value. */
    bool reaches(const std::string &name, std::uint64_t value) const
    {
        const auto limit = std::chrono::steady_clock::now() + kTestLimit;
        while (counter(name) != value && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return counter(name) == value;
    }

    RecordedEvents events;
    FixedPages pages;
    CountingObserver observer;
    std::optional<HttpFrontEnd> frontEnd;
};

} // namespace

TEST_CASE("callers get their own answers in any order, on connections that stay open", "[http]")
{
    Fixture fixture;
    Caller first(fixture.frontEnd->port());
    Caller second(fixture.frontEnd->port());
    for (int round = 0; round < 3; ++round) {
        first.post("one");
        const auto one = fixture.events.take<CallerRequest>();
        REQUIRE(one.body == "one");
        second.post("two");
        const auto two = fixture.events.take<CallerRequest>();
        fixture.answer(two.caller, "answer two");
        REQUIRE_THAT(second.readUntil("answer two"), Catch::StartsWith("HTTP/1.1 200"));
        fixture.answer(one.caller, "answer one");
        REQUIRE_THAT(first.readUntil("answer one"), Catch::Contains("\"requestId\":\"host-1-"));
    }
    REQUIRE(fixture.observer.answers == 6);
    first.send("GET /metrics HTTP/1.1\r\n\r\n");
    REQUIRE_THAT(first.readUntil("\r\n\r\npage"), Catch::Contains("Content-Type: text/plain"));
}

TEST_CASE("requests that cannot be used get a typed refusal and cost no memory", "[http]")
{
    Fixture fixture;
    const auto [bytes, status] = GENERATE(table<std::string, std::string>(
            { { "NONSENSE\r\n\r\n", "400" },
              { "GET /metrics HTTP/9.9\r\n\r\n", "400" },
              { "GET /metrics HTTP/1.1\r\nno colon\r\n\r\n", "400" },
              { "POST /v1/services/s/o HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413" },
              { "GET / HTTP/1.1\r\nX: " + std::string(17'000, 'x'), "431" } }));
    Caller caller(fixture.frontEnd->port());
    caller.send(bytes);
    const std::string reply = caller.readUntil("}");
    REQUIRE_THAT(reply, Catch::StartsWith("HTTP/1.1 " + status));
    REQUIRE_THAT(reply, Catch::Contains("\"outcome\":\"notRun\""));
    REQUIRE_THAT(caller.readAll(), Catch::EndsWith(kClosed));
}

TEST_CASE("a refused header leaves the connection usable", "[http]")
{
    Fixture fixture;
    Caller caller(fixture.frontEnd->port());
    caller.send("POST /v1/services/s/o HTTP/1.1\r\nX-Deadline-Ms: soon\r\n\r\n");
    REQUIRE_THAT(caller.readUntil("}"), Catch::StartsWith("HTTP/1.1 400"));
    caller.post("next");
    REQUIRE(fixture.events.take<CallerRequest>().body == "next");
}

TEST_CASE("a caller that sends too slowly is refused, one that waits is not", "[http]")
{
    Fixture fixture([](HttpFrontEndOptions &options) {
        options.receiveTimeout = std::chrono::milliseconds(100);
        options.idleTimeout = std::chrono::milliseconds(300);
    });
    Caller slow(fixture.frontEnd->port());
    Caller waiting(fixture.frontEnd->port());
    Caller idle(fixture.frontEnd->port());
    waiting.post("patient");
    const auto request = fixture.events.take<CallerRequest>();
    slow.send("POST /v1/services/s/o HTTP/1.1\r\nContent-Length: 5\r\n\r\nab");
    const std::string reply = slow.readUntil("}");
    REQUIRE_THAT(reply, Catch::StartsWith("HTTP/1.1 408"));
    REQUIRE_THAT(reply, Catch::Contains("\"outcome\":\"notRun\""));
    REQUIRE(idle.readAll() == kClosed);
    fixture.answer(request.caller, "late");
    REQUIRE_THAT(waiting.readUntil("late"), Catch::StartsWith("HTTP/1.1 200"));
}

TEST_CASE("a caller that leaves is reported and its answer is dropped", "[http]")
{
    Fixture fixture;
    CallerId left;
    {
        const Caller caller(fixture.frontEnd->port());
        caller.post("x");
        left = fixture.events.take<CallerRequest>().caller;
    }
    REQUIRE(fixture.events.take<CallerGone>().caller == left);
    fixture.answer(left, "nobody reads this");
    REQUIRE(fixture.observer.answers == 0);
    REQUIRE(fixture.reaches("http_connections", 0));
}

TEST_CASE("requests and connections beyond their bounds are refused", "[http]")
{
    Fixture fixture([](HttpFrontEndOptions &options) {
        options.maxRequests = 1;
        options.maxConnections = 2;
    });
    Caller first(fixture.frontEnd->port());
    Caller second(fixture.frontEnd->port());
    first.post("accepted");
    fixture.events.take<CallerRequest>();
    second.post("one too many");
    REQUIRE_THAT(second.readUntil("}"), Catch::StartsWith("HTTP/1.1 429"));
    Caller third(fixture.frontEnd->port());
    const std::string reply = third.readUntil("}");
    REQUIRE_THAT(reply, Catch::StartsWith("HTTP/1.1 429"));
    REQUIRE_THAT(reply, Catch::Contains("\"reason\":\"overloaded\""));
}

// Guards against memory that incomplete bodies take without bound.
TEST_CASE("the body without progress is refused with 503 when memory is used up", "[http]")
{
    Fixture fixture([](HttpFrontEndOptions &options) { options.memory = { 500'000, 100 }; });
    std::vector<std::unique_ptr<Caller>> callers;
    for (int index = 0; index < 10; ++index) {
        callers.push_back(std::make_unique<Caller>(fixture.frontEnd->port()));
        callers.back()->send("POST /v1/services/s/o HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"
                             + std::string(60'000, 'x'));
    }
    const std::string reply = callers.front()->readUntil("}");
    CHECK_THAT(reply, Catch::StartsWith("HTTP/1.1 503"));
    CHECK_THAT(reply, Catch::Contains("\"reason\":\"overloaded\""));
    CHECK(fixture.counter("http_held_bytes") <= 500'000);
    Caller ordinary(fixture.frontEnd->port());
    ordinary.post("ordinary");
    CHECK(fixture.events.take<CallerRequest>().body == "ordinary");
}

// Guards against connections that keep out all others by sending nothing.
TEST_CASE("a new connection takes the place of one that sends nothing, beyond the bound", "[http]")
{
    Fixture fixture([](HttpFrontEndOptions &options) { options.maxConnections = 2; });
    Caller first(fixture.frontEnd->port());
    Caller second(fixture.frontEnd->port());
    REQUIRE(fixture.reaches("http_connections", 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    Caller third(fixture.frontEnd->port());
    third.post("third");
    CHECK(fixture.events.take<CallerRequest>().body == "third");
    CHECK(first.readAll() == kClosed);
}

TEST_CASE("a pipelined request is not answered in the place of another", "[http]")
{
    Fixture fixture;
    Caller caller(fixture.frontEnd->port());
    caller.post("first");
    const auto request = fixture.events.take<CallerRequest>();
    caller.post("second");
    // The connection that follows is handled after the bytes above.
    REQUIRE(fixture.reaches("http_requests_in_progress", 1));
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    fixture.answer(request.caller, "answer of the first");
    const std::string reply = caller.readAll();
    REQUIRE_THAT(reply, Catch::Contains("answer of the first"));
    REQUIRE_THAT(reply, Catch::Contains("Connection: close"));
    REQUIRE(reply.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE("a stop delivers the answers given, then closes every connection", "[http]")
{
    Fixture fixture;
    Caller answered(fixture.frontEnd->port());
    Caller unanswered(fixture.frontEnd->port());
    answered.post("x");
    const auto request = fixture.events.take<CallerRequest>();
    unanswered.post("y");
    fixture.events.take<CallerRequest>();
    fixture.answer(request.caller, std::string(1'000'000, 'z') + "end");
    std::string reply;
    std::thread reader([&] { reply = answered.readAll(); });
    fixture.frontEnd->stop();
    reader.join();
    REQUIRE_THAT(reply, Catch::Contains("zend"));
    REQUIRE(unanswered.readAll() == kClosed);
    REQUIRE_FALSE(Caller(fixture.frontEnd->port()).isConnected());
}

// Pistache addresses writes by descriptor, and descriptors of callers that left are used again.
TEST_CASE("an answer never reaches the next caller with the same descriptor", "[http]")
{
    Fixture fixture;
    const auto port = fixture.frontEnd->port();
    std::mutex mutex;
    std::vector<std::jthread> answering;
    fixture.events.onPost = [&](const Event &event) {
        const auto *request = std::get_if<CallerRequest>(&event);
        if (!request)
            return;
        const std::lock_guard lock(mutex);
        answering.emplace_back([&fixture, caller = request->caller, body = request->body] {
            fixture.answer(caller, body);
        });
    };
    for (int round = 0; round < 300; ++round) {
        {
            const Caller leaving(port);
            leaving.post("for the one that left");
        }
        Caller staying(port);
        const std::string own = "for round " + std::to_string(round) + ".";
        staying.post(own);
        const std::string reply = staying.readUntil(own);
        REQUIRE_THAT(reply, Catch::Contains(own));
        REQUIRE(reply.find("left") == std::string::npos);
    }
    REQUIRE(fixture.reaches("http_connections", 0));
    REQUIRE(fixture.reaches("http_requests_in_progress", 0));
}

TEST_CASE("an address in use is reported, not fatal", "[http]")
{
    Fixture fixture;
    HttpFrontEndOptions options;
    options.listen = { "127.0.0.1", fixture.frontEnd->port() };
    HttpFrontEnd second(options, fixture.events, fixture.pages, fixture.observer);
    REQUIRE_FALSE(second.start());
}
