#pragma once

#include "greengagestair/Effect.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace greengagestair {

/** Least severity of the lines that are written. */
enum class LogLevel { Debug, Info, Warning, Error };

/** One field of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Sends log lines to standard output; no file is written. Called once, before any line. */
void startLog(LogLevel level);

/** Writes one line `event=... key=value ...`. Thread-safe. */
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/** Writes the line of a state change. */
void logStateChange(const LogStateChange &change);

/** The text of a line; values that hold blanks, quotes or control characters are quoted. */
std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

} // namespace greengagestair
