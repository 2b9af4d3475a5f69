#include "app/Commands.h"

#include "app/ConfigCommands.h"
#include "app/GatewayCommands.h"
#include "app/HttpExchange.h"
#include "app/Replay.h"
#include "app/Serve.h"
#include "app/Settings.h"

#include <boost/leaf/handle_errors.hpp>

#include <fstream>
#include <iostream>

namespace greengagestair {

static constexpr const char *kVersion = "0.1.0";
static constexpr int kHttpOk = 200;

static ExitCode reportSettingsProblem(const SettingsProblem &problem)
{
    std::cerr << problem.file << ": " << problem.path << ": expected " << problem.expected << "\n";
    return ExitCode::BadSettings;
}

template <typename Function>
static ExitCode withSettings(const std::string &file, Function function)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<ExitCode> {
                BOOST_LEAF_AUTO(settings, readSettings(file));
                return function(settings);
            },
            reportSettingsProblem,
            [] {
                std::cerr << "the settings could not be read\n";
                return ExitCode::BadSettings;
            });
}

static ExitCode run(const ServeCommand &command)
{
    return withSettings(command.settingsFile, serve);
}

static ExitCode run(const GatewayCommand &command)
{
    return runGateway(command.settingsFile);
}

static ExitCode run(const CheckGatewaySettingsCommand &command)
{
    return checkGatewaySettings(command.settingsFile);
}

static ExitCode run(const CheckSettingsCommand &command)
{
    return withSettings(command.settingsFile, [&](const Settings &) {
        std::cout << command.settingsFile << ": correct\n";
        return ExitCode::Success;
    });
}

static ExitCode run(const HelpCommand & /*command*/)
{
    std::cout << usage();
    return ExitCode::Success;
}

static ExitCode run(const VersionCommand & /*command*/)
{
    std::cout << "greengagestair " << kVersion << "\n";
    return ExitCode::Success;
}

static ExitCode run(const ConfigShowCommand &command)
{
    return runConfigShow(command);
}

static ExitCode run(const ConfigDiffCommand &command)
{
    return runConfigDiff(command);
}

static ExitCode run(const ConfigApplyCommand &command)
{
    return runConfigApply(command);
}

static ExitCode run(const DumpCommand &command)
{
    HttpExchangeRequest request;
    request.server = command.host;
    request.path = "/state";
    const auto fail = [&](const std::string &detail) {
        std::cerr << detail << "\n" << toText(command.host) << " gave no state\n";
        return ExitCode::Failed;
    };
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<ExitCode> {
                BOOST_LEAF_AUTO(reply, exchange(request));
                if (reply.status != kHttpOk)
                    return fail("status " + std::to_string(reply.status));
                std::cout << reply.body << "\n";
                return ExitCode::Success;
            },
            [&](const HttpExchangeFailed &failure) { return fail(failure.detail); },
            [&] { return fail("unknown error"); });
}

static ExitCode run(const ExplainCommand &command)
{
    return explainRequest(command);
}

static ExitCode reportReplay(const ReplayReport &report)
{
    if (report.endsInPartialLine)
        std::cerr << "the trace ends in an event whose handling did not end\n";
    if (!report.difference) {
        std::cout << report.events << " events, no difference\n";
        return ExitCode::Success;
    }
    std::cout << "line " << report.difference->line
              << ": effects differ\n  event:    " << report.difference->event
              << "\n  expected: " << report.difference->expected
              << "\n  actual:   " << report.difference->actual << "\n";
    return ExitCode::Failed;
}

static ExitCode run(const ReplayCommand &command)
{
    const std::string &expectedFile =
            command.expectedFile.empty() ? command.traceFile : command.expectedFile;
    std::ifstream trace(command.traceFile, std::ios::binary);
    std::ifstream expected(expectedFile, std::ios::binary);
    if (!trace || !expected) {
        std::cerr << (trace ? expectedFile : command.traceFile) << ": expected a readable file\n";
        return ExitCode::Failed;
    }
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<ExitCode> {
                BOOST_LEAF_AUTO(report, replay(trace, expected));
                return reportReplay(report);
            },
            [](const ReplayMalformed &problem) {
                std::cerr << "line " << problem.line << ": expected " << problem.expected << "\n";
                return ExitCode::Failed;
            },
            [] {
                std::cerr << "the trace could not be read\n";
                return ExitCode::Failed;
            });
}

ExitCode runCommand(const Command &command)
{
    return std::visit([](const auto &chosen) { return run(chosen); }, command);
}

ExitCode runCommandLine(int count, char *const *arguments)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<ExitCode> {
                BOOST_LEAF_AUTO(command, parseCommandLine(count, arguments));
                return runCommand(command);
            },
            [](const UsageError &error) {
                std::cerr << error.problem << "\n" << usage();
                return ExitCode::BadCommandLine;
            },
            [] {
                std::cerr << usage();
                return ExitCode::BadCommandLine;
            });
}

} // namespace greengagestair
