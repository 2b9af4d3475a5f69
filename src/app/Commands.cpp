#include "app/Commands.h"

#include "app/Serve.h"
#include "app/Settings.h"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>

namespace greengagestair {

static constexpr const char *kVersion = "0.1.0";

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

template <typename OtherCommand>
static ExitCode run(const OtherCommand & /*command*/)
{
    std::cerr << "not implemented yet\n";
    return ExitCode::Failed;
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
