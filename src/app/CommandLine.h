#pragma once

#include "greengagestair/Types.h"

#include <optional>
#include <string>
#include <variant>

#include <boost/leaf/result.hpp>

namespace greengagestair {

/** `serve --settings FILE` */
struct ServeCommand
{
    std::string settingsFile;
};

/** `gateway --settings FILE` */
struct GatewayCommand
{
    std::string settingsFile;
};

/** `check-gateway-settings --settings FILE` */
struct CheckGatewaySettingsCommand
{
    std::string settingsFile;
};

/** `check-settings --settings FILE` */
struct CheckSettingsCommand
{
    std::string settingsFile;
};

/** `config show --platform HOST:PORT` */
struct ConfigShowCommand
{
    Endpoint platform;
};

/** `config diff FILE --platform HOST:PORT` */
struct ConfigDiffCommand
{
    std::string declarationFile;
    Endpoint platform;
};

/** `config apply FILE --platform HOST:PORT` */
struct ConfigApplyCommand
{
    std::string declarationFile;
    Endpoint platform;
};

/** `dump --host HOST:PORT` */
struct DumpCommand
{
    Endpoint host; ///< the caller endpoint of an entry host
};

/** `explain --gateway HOST:PORT --host NAME --path PATH [--tenant NAME] [--json]` */
struct ExplainCommand
{
    Endpoint gateway; ///< the admin address
    std::string host;
    std::string path;
    std::string tenant; ///< empty: a request without a key
    bool isJson = false;
};

/** `replay FILE [--expect FILE]` */
struct ReplayCommand
{
    std::string traceFile;
    std::string expectedFile; ///< the trace file itself if empty
};

/** `--help` */
struct HelpCommand
{
};

/** `--version` */
struct VersionCommand
{
};

using Command =
        std::variant<ServeCommand, GatewayCommand, CheckGatewaySettingsCommand,
                     CheckSettingsCommand, ConfigShowCommand, ConfigDiffCommand, ConfigApplyCommand,
                     DumpCommand, ExplainCommand, ReplayCommand, HelpCommand, VersionCommand>;

/** The command line cannot be understood. */
struct UsageError
{
    std::string problem;
};

/** Parses the command line; fails with UsageError. */
boost::leaf::result<Command> parseCommandLine(int count, char *const *arguments);

/** The text of `--help`. */
std::string usage();

} // namespace greengagestair
