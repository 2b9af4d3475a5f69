#include "app/Log.h"

#include "net/EnumNames.h"

#include <boost/json/serialize.hpp>
#include <easylogging++.h>

#include <algorithm>

INITIALIZE_EASYLOGGINGPP

namespace greengagestair {

static bool needsQuotes(const std::string &value)
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char letter) {
               return letter <= ' ' || letter == '"' || letter == '=' || letter == '\\';
           });
}

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    line += event;
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += needsQuotes(value) ? boost::json::serialize(boost::json::string_view(value))
                                   : value;
    }
    return line;
}

void startLog(LogLevel level)
{
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configurations.setGlobally(el::ConfigurationType::Format,
                               "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%levshort %msg");
    const auto disable = [&](el::Level disabled) {
        configurations.set(disabled, el::ConfigurationType::Enabled, "false");
    };
    if (level > LogLevel::Debug)
        disable(el::Level::Debug);
    if (level > LogLevel::Info)
        disable(el::Level::Info);
    if (level > LogLevel::Warning)
        disable(el::Level::Warning);
    el::Loggers::reconfigureLogger("default", configurations);
}

void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const std::string line = formatLogLine(event, fields);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

static LogLevel levelOf(StateChangeKind kind)
{
    switch (kind) {
    case StateChangeKind::DocumentRejected:
    case StateChangeKind::GrantsLost:
    case StateChangeKind::MemberFailed:
    case StateChangeKind::ServerLost:
    case StateChangeKind::SignatureSuspect:
    case StateChangeKind::SignatureQuarantined:
    case StateChangeKind::PlatformUnreachable:
        return LogLevel::Warning;
    default:
        return LogLevel::Info;
    }
}

void logStateChange(const LogStateChange &change)
{
    const LogLevel level = levelOf(change.kind);
    const std::string event = toText(change.kind);
    if (change.subject.empty() && change.number == 0)
        logLine(level, event, {});
    else if (change.number == 0)
        logLine(level, event, { { "subject", change.subject } });
    else
        logLine(level, event,
                { { "subject", change.subject }, { "number", std::to_string(change.number) } });
}

} // namespace greengagestair
