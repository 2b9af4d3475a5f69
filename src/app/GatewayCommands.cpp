#include "app/GatewayCommands.h"

#include "app/ExplainPage.h"
#include "app/GatewayServer.h"
#include "app/HttpExchange.h"
#include "app/Settings.h"
#include "platform/Headers.h"
#include "platform/StoreClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <unistd.h>

#include <iostream>

namespace greengagestair {

static constexpr int kHttpOk = 200;

template <typename Function>
static ExitCode withSettings(const std::string &file, Function function)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<ExitCode> {
                BOOST_LEAF_AUTO(settings, readGatewaySettings(file));
                return function(settings);
            },
            [](const SettingsProblem &problem) {
                std::cerr << problem.file << ": " << problem.path << ": expected "
                          << problem.expected << "\n";
                return ExitCode::BadSettings;
            },
            [](const HttpListenFailed &failure) {
                std::cerr << toText(failure.endpoint) << ": " << failure.detail << "\n";
                return ExitCode::Failed;
            },
            [] {
                std::cerr << "the gateway could not be started\n";
                return ExitCode::Failed;
            });
}

ExitCode runGateway(const std::string &settingsFile)
{
    return withSettings(settingsFile,
                        [&](const GatewaySettings &settings) -> boost::leaf::result<ExitCode> {
                            boost::asio::io_context context(1);
                            platform::StoreClient store(
                                    settings.store, [&context](std::function<void()> function) {
                                        boost::asio::post(context, std::move(function));
                                    });
                            GatewayServer server(context, settings, settingsFile,
                                                 platform::headerNames(), store, STDOUT_FILENO);
                            store.setObserver(&server.responseObserver());
                            BOOST_LEAF_CHECK(server.start());
                            context.run();
                            store.stop();
                            return ExitCode::Success;
                        });
}

ExitCode checkGatewaySettings(const std::string &settingsFile)
{
    return withSettings(settingsFile, [&](const GatewaySettings &) -> ExitCode {
        std::cout << settingsFile << ": correct\n";
        return ExitCode::Success;
    });
}

ExitCode explainRequest(const ExplainCommand &command)
{
    HttpExchangeRequest request;
    request.server = command.gateway;
    request.path = explainTarget({ command.host, command.path, command.tenant });
    const auto fail = [&](const std::string &detail) {
        std::cerr << detail << "\n" << toText(command.gateway) << " gave no explanation\n";
        return ExitCode::Failed;
    };
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<ExitCode> {
                BOOST_LEAF_AUTO(reply, exchange(request));
                if (reply.status != kHttpOk)
                    return fail("status " + std::to_string(reply.status));
                boost::json::error_code error;
                const boost::json::value explanation = boost::json::parse(reply.body, error);
                if (error || !explanation.is_object())
                    return fail("expected a JSON object");
                std::cout << (command.isJson ? reply.body
                                             : explanationText(explanation.as_object()));
                return ExitCode::Success;
            },
            [&](const HttpExchangeFailed &failure) { return fail(failure.detail); },
            [&] { return fail("unknown error"); });
}

} // namespace greengagestair
