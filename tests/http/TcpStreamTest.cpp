#include "RawPeers.h"

#include "http/TcpStream.h"

#include <optional>
#include <thread>

using namespace greengagestair;

namespace {

/** A TcpStream and the other end of its connection. */
class StreamFixture
{
public:
    StreamFixture()
        : m_server(context)
    {
        m_server.setReadLimit(1);
        TcpStream::Socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), m_server.port() });
        configureSocket(socket);
        stream = std::make_shared<TcpStream>(std::move(socket));
        stream->start([this](std::string_view bytes) { received += bytes; },
                      [this](StreamEnd streamEnd) { end = streamEnd; });
        runUntil(context, [this] { return !m_server.peers.empty(); });
    }
    ~StreamFixture() { stream->close(); }

    RawPeer &peer() { return *m_server.peers.front(); }
    /** Writes until the kernel accepts no more bytes, whatever the size of its buffers. */
    void fillConnection()
    {
        constexpr std::size_t kBlockBytes = 1'048'576;
        while (!stream->hasUnsentBytes())
            REQUIRE(stream->write(std::string(kBlockBytes, 'x')));
    }

    /** Writes until a write fails, without handling events in between. */
    void writeUntilFailure()
    {
        while (stream->write("x"))
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    boost::asio::io_context context { 1 };
    std::shared_ptr<TcpStream> stream;
    std::string received;
    std::optional<StreamEnd> end;

private:
    RawServer m_server;
};

} // namespace

// Guards against a reset that is taken for an orderly end because the kernel reports its error
// only once, to a write.
TEST_CASE("a reset is reported as such after a write has failed", "[http]")
{
    StreamFixture fixture;
    SECTION("no write is pending")
    {
        fixture.peer().write("abc");
        fixture.peer().reset();
    }
    SECTION("a write is pending")
    {
        fixture.fillConnection();
        fixture.peer().write("abc");
        fixture.peer().reset();
    }
    SECTION("a write fails at once")
    {
        fixture.peer().write("abc");
        fixture.peer().reset();
        fixture.writeUntilFailure();
    }
    SECTION("several writes fail")
    {
        fixture.peer().write("abc");
        fixture.peer().reset();
        fixture.writeUntilFailure();
        fixture.writeUntilFailure();
    }
    runUntil(fixture.context, [&] { return fixture.end.has_value(); });
    CHECK(*fixture.end == StreamEnd::Reset);
    CHECK(fixture.received == "abc");
}

// Guards against a complete body without a length that is dropped because its sender, after its
// orderly end, refuses the rest of the request.
TEST_CASE("an orderly end counts although a later write fails", "[http]")
{
    StreamFixture fixture;
    SECTION("a write is pending")
    {
        fixture.fillConnection();
    }
    SECTION("no write is pending") { }
    fixture.peer().write("abc");
    fixture.peer().finishWriting();
    fixture.peer().reset();
    runUntil(fixture.context, [&] { return fixture.end.has_value(); });
    CHECK(*fixture.end == StreamEnd::Closed);
    CHECK(fixture.received == "abc");
}
