// registry-standin --listen ADDRESS:PORT --control ADDRESS:PORT
//
// Control endpoint, all answered 200: `POST /put?key=KEY` and `POST /remove?key=KEY` write as
// operators and backend servers do, the body being the value; `POST /mode?name=up|refuse|hang`;
// `POST /drop-history`; `POST /keep-copy`, and `POST /go-back` to the last copy.

#include "standins/RegistryStandIn.h"

#include <boost/asio/signal_set.hpp>

#include <getopt.h>

#include <iostream>

using namespace greengagestair::standins;

static HttpResponse control(RegistryStandIn &registry, const HttpRequest &request)
{
    const std::string path = request.path();
    const std::string mode = request.query("name");
    if (path == "/put")
        registry.put(request.query("key"), request.body);
    else if (path == "/remove")
        registry.remove(request.query("key"));
    else if (path == "/drop-history")
        registry.dropHistory();
    else if (path == "/keep-copy")
        registry.keepCopy();
    else if (path == "/go-back")
        registry.goBack();
    else if (path == "/mode" && mode == "up")
        registry.setMode(RegistryStandIn::Mode::Up);
    else if (path == "/mode" && mode == "refuse")
        registry.setMode(RegistryStandIn::Mode::Refuse);
    else if (path == "/mode" && mode == "hang")
        registry.setMode(RegistryStandIn::Mode::Hang);
    else
        return { 404, {}, {} };
    return { 200, {}, {} };
}

int main(int argc, char **argv)
{
    const option options[] = { { "listen", required_argument, nullptr, 'l' },
                               { "control", required_argument, nullptr, 'c' },
                               {} };
    std::string listen = "127.0.0.1:7600";
    std::string controlEndpoint = "127.0.0.1:7601";
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (chosen == 'l') {
            listen = optarg;
        } else if (chosen == 'c') {
            controlEndpoint = optarg;
        } else {
            std::cerr << "usage: registry-standin --listen ADDRESS:PORT --control ADDRESS:PORT\n";
            return 2;
        }
    }
    try {
        boost::asio::io_context context(1);
        RegistryStandIn registry(context, parseEndpoint(listen));
        const auto controls = HttpServer::create(
                context, parseEndpoint(controlEndpoint),
                [&](HttpRequest request) -> boost::asio::awaitable<std::optional<HttpResponse>> {
                    co_return control(registry, request);
                },
                HttpServer::Limits {});
        controls->open();
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](auto, auto) { context.stop(); });
        context.run();
    } catch (const std::exception &error) {
        std::cerr << "registry-standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
