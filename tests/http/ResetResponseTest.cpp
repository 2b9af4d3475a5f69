#include "PoolFixture.h"

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>

#include <thread>

using namespace greengagestair;

/** Larger than the send and receive buffers of the kernel together. */
static constexpr std::size_t kUnsendableBodyBytes = 67'108'864;

namespace {

/** A server that reads the head of the request only, so that the write of a large body stays
 * pending. */
class ResetFixture : public PoolFixture
{
public:
    explicit ResetFixture(bool isWritePending)
    {
        server.setReadLimit(1);
        start(1, std::string(isWritePending ? kUnsendableBodyBytes : 1, 'x'));
        runUntil(context, [&] { return !peer().received.empty(); });
    }
};

} // namespace

// Guards against a response that is cut by a reset and passed on as complete.
TEST_CASE("a response cut by a reset is no answer", "[http][broken]")
{
    const bool isWritePending = GENERATE(false, true);
    const bool arrivesBeforeReset = GENERATE(false, true);
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSignature: sig\r\n";
    const std::string sent = GENERATE_COPY(
            std::string(), std::string("HTT"), head, head + "Connection: close\r\n\r\n",
            head + "\r\n", head + "Connection: close\r\n\r\nabc",
            head + "Content-Length: 6\r\n\r\n", head + "Content-Length: 6\r\n\r\nabc",
            head + "Transfer-Encoding: chunked\r\n\r\n",
            head + "Transfer-Encoding: chunked\r\n\r\n6\r\nabc",
            head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    CAPTURE(isWritePending, arrivesBeforeReset, sent);
    ResetFixture fixture(isWritePending);
    fixture.peer().write(sent);
    if (arrivesBeforeReset)
        fixture.context.poll();
    fixture.peer().reset();
    CHECK(fixture.failure(1) == AttemptFailure::Lost);
}

// Guards against a complete response that is dropped because the connection fails behind it.
TEST_CASE("a response that is complete before the connection fails is an answer", "[http][broken]")
{
    const bool isWritePending = GENERATE(false, true);
    const bool endsWithConnection = GENERATE(false, true);
    CAPTURE(isWritePending, endsWithConnection);
    ResetFixture fixture(isWritePending);
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\nSignature: sig\r\n";
    if (endsWithConnection) {
        fixture.peer().write(head + "\r\nabc");
        fixture.peer().finishWriting();
    } else {
        fixture.peer().write(response(1, "abc"));
    }
    fixture.peer().reset();
    CHECK(fixture.answer(1).body == "abc");
}

// Guards against bytes of an idle connection that are taken for the response to a request of which
// nothing was sent, and against an outcome that looks unknown.
TEST_CASE("a request that could not be written at all gets no response", "[http][broken]")
{
    const bool hasStrayResponse = GENERATE(false, true);
    CAPTURE(hasStrayResponse);
    PoolFixture fixture;
    fixture.start(1);
    fixture.respond(1, response(1, "a"));
    fixture.answer(1);
    // The event that starts the request is handled before those of the connection, all of which
    // the event loop finds at once.
    using Pair = boost::asio::local::stream_protocol;
    Pair::socket trigger(fixture.context);
    Pair::socket waiting(fixture.context);
    boost::asio::local::connect_pair(trigger, waiting);
    waiting.async_wait(Pair::socket::wait_read, [&](auto) { fixture.start(2); });
    fixture.context.poll();
    boost::asio::write(trigger, boost::asio::buffer("x", 1));
    if (hasStrayResponse)
        fixture.peer().write("HTTP/1.1 200 OK\r\nSignature: sig\r\nContent-Length: 3\r\n\r\nabc");
    fixture.peer().reset();
    // The kernel has delivered the reset before the request is written.
    std::this_thread::sleep_for(50ms);
    CHECK(fixture.failure(2) == AttemptFailure::NotSent);
}
