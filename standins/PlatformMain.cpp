// platform-standin --listen ADDRESS:PORT --control ADDRESS:PORT [--hosts FILE]

#include "standins/PlatformStandIn.h"

#include <boost/asio/signal_set.hpp>

#include <getopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace greengagestair::standins;

int main(int argc, char **argv)
{
    const option options[] = { { "listen", required_argument, nullptr, 'l' },
                               { "control", required_argument, nullptr, 'c' },
                               { "hosts", required_argument, nullptr, 'h' },
                               {} };
    std::string listen = "127.0.0.1:7500";
    std::string control = "127.0.0.1:7501";
    std::string hosts = R"({"hosts": []})";
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (chosen == 'l') {
            listen = optarg;
        } else if (chosen == 'c') {
            control = optarg;
        } else if (chosen == 'h') {
            std::ostringstream content;
            content << std::ifstream(optarg).rdbuf();
            hosts = content.str();
        } else {
            std::cerr << "usage: platform-standin --listen ADDRESS:PORT --control ADDRESS:PORT "
                         "[--hosts FILE]\n";
            return 2;
        }
    }
    try {
        boost::asio::io_context context(1);
        PlatformStandIn platform(context, parseEndpoint(listen), parseEndpoint(control), hosts);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](auto, auto) { context.stop(); });
        context.run();
    } catch (const std::exception &error) {
        std::cerr << "platform-standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
