// backend-standin --configuration FILE --options FILE --control ADDRESS:PORT

#include "standins/BackendFleet.h"

#include <boost/asio/signal_set.hpp>

#include <getopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace greengagestair::standins;

static std::string readFile(const char *path)
{
    std::ifstream file(path);
    if (!file)
        throw std::invalid_argument(std::string("cannot read ") + path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

int main(int argc, char **argv)
{
    const option options[] = { { "configuration", required_argument, nullptr, 'c' },
                               { "options", required_argument, nullptr, 'o' },
                               { "control", required_argument, nullptr, 'l' },
                               {} };
    const char *configuration = nullptr;
    const char *serverOptions = nullptr;
    const char *control = "127.0.0.1:7502";
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (chosen == 'c')
            configuration = optarg;
        else if (chosen == 'o')
            serverOptions = optarg;
        else if (chosen == 'l')
            control = optarg;
    }
    if (!configuration) {
        std::cerr << "usage: backend-standin --configuration FILE [--options FILE] "
                     "[--control ADDRESS:PORT]\n";
        return 2;
    }
    try {
        boost::asio::io_context context(1);
        BackendFleet fleet(context, readFile(configuration),
                           serverOptions ? readFile(serverOptions) : "{}", parseEndpoint(control));
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](auto, auto) { context.stop(); });
        context.run();
    } catch (const std::exception &error) {
        std::cerr << "backend-standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
