#include "http/ConnectionProber.h"

#include "RawPeers.h"

using namespace greengagestair;

namespace {

struct ProberFixture
{
    boost::asio::io_context context { 1 };
    std::vector<std::pair<std::string, bool>> reports;
    ConnectionProber prober { context, [this](const ServerId &server, bool isConnected) {
                                 reports.emplace_back(server.value, isConnected);
                             } };
};

} // namespace

TEST_CASE("a server that listens is reported as connected", "[http]")
{
    ProberFixture fixture;
    RawServer server(fixture.context);
    fixture.prober.probe({ "i-1" }, { "127.0.0.1", server.port() });
    CHECK(fixture.reports.empty());
    runUntil(fixture.context, [&] { return !fixture.reports.empty(); });
    CHECK(fixture.reports == std::vector<std::pair<std::string, bool>> { { "i-1", true } });
    runUntil(fixture.context, [&] { return !server.peers.empty() && server.peers[0]->isClosed; });
    CHECK(server.peers[0]->received.empty());
}

// Guards against a failure domain that stays doubted because a probe never ends.
TEST_CASE("servers that refuse or cannot be addressed are reported as not connected", "[http]")
{
    ProberFixture fixture;
    std::uint16_t closedPort = 0;
    {
        RawServer server(fixture.context);
        closedPort = server.port();
    }
    fixture.prober.probe({ "i-1" }, { "127.0.0.1", closedPort });
    fixture.prober.probe({ "i-2" }, { "nowhere", 80 });
    runUntil(fixture.context, [&] { return fixture.reports.size() == 2; });
    for (const auto &[server, isConnected] : fixture.reports)
        CHECK_FALSE(isConnected);
}
