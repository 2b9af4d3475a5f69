#pragma once

#include "app/Log.h"
#include "greengagestair/Types.h"
#include "net/EndpointText.h"

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagestair {

/** Settings of one entry host. docs/settings.md lists keys, ranges and defaults. */
struct Settings
{
    HostId host;
    FailureDomainId failureDomain;
    Endpoint callerEndpoint;
    Endpoint peerEndpoint;
    std::vector<Endpoint> platform;
    std::vector<Endpoint> seeds;
    int httpThreads = 2;
    std::size_t maxBodyBytes = 65'536;
    Duration stopTimeout = std::chrono::seconds(10);
    LogLevel logLevel = LogLevel::Info;
    std::optional<std::uint64_t> memoryBytes;  ///< that the process may use, if stated
    std::optional<std::size_t> maxDescriptors; ///< that the process may open, if stated
    std::string traceFile;                     ///< no trace is written if empty
};

/** Where a settings file is wrong; loaded together with one of the kinds below. */
struct SettingsProblem
{
    std::string file;
    std::string path;     ///< JSON path such as `$.platform[0]`, or `line 3, column 7`
    std::string expected; ///< what belongs there
};

/** The file does not exist or cannot be read. */
struct SettingsUnreadable
{
};
/** The file is not JSON. */
struct SettingsSyntaxError
{
};
/** A key is not known; keys of another unit (`stopTimeoutSec`) are unknown, too. */
struct SettingsUnknownKey
{
};
/** A required key is missing. */
struct SettingsMissingKey
{
};
/** A value has another JSON type or form than expected. */
struct SettingsWrongType
{
};
/** A value is outside its range. */
struct SettingsOutOfRange
{
};
/** An address is given twice. */
struct SettingsDuplicateAddress
{
};

/** Parses the text of a settings file; `file` is used in errors only. */
boost::leaf::result<Settings> parseSettings(std::string_view text, const std::string &file);

/** Reads and parses a settings file. */
boost::leaf::result<Settings> readSettings(const std::string &file);

/** Parses JSON with comments and trailing commas; fails with SettingsProblem. */
boost::leaf::result<boost::json::value> parseSettingsJson(std::string_view text,
                                                          const std::string &file);

/** Reads a whole file; fails with SettingsUnreadable. */
boost::leaf::result<std::string> readFile(const std::string &file);

/** Parses `address:port` with an IP number; nothing if malformed. */
boost::leaf::result<Endpoint> parseEndpoint(std::string_view text);

} // namespace greengagestair
