#include "app/JsonLineLog.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string_view.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace greengagestair {

/** Lines a second for each weight: state changes, failed requests, details. */
static constexpr std::array<double, 3> kLinesPerSecond = { 50, 50, 20 };
/** Lines that may come at once, in seconds of the rate. */
static constexpr double kBurstSeconds = 4;
/** Bound on lines that wait for the descriptor, in bytes. */
static constexpr std::size_t kMaxKeptBytes = 262'144;
/** Lines are written without a flush() once there are so many, in bytes. */
static constexpr std::size_t kWriteBytes = 16'384;

JsonLineLog::JsonLineLog(int descriptor, std::string host)
    : m_descriptor(descriptor)
    , m_host(std::move(host))
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    for (std::size_t priority = 0; priority < m_allowances.size(); ++priority)
        m_allowances[priority].lines = kLinesPerSecond[priority] * kBurstSeconds;
}

bool JsonLineLog::takeAllowance(LogPriority priority, MonotonicTime now)
{
    const auto index = static_cast<std::size_t>(priority);
    Allowance &allowance = m_allowances.at(index);
    const std::chrono::duration<double> elapsed = now - allowance.refilledAt;
    const double most = kLinesPerSecond.at(index) * kBurstSeconds;
    allowance.lines = std::min(
            most, allowance.lines + std::max(elapsed.count(), 0.0) * kLinesPerSecond.at(index));
    allowance.refilledAt = now;
    if (allowance.lines < 1)
        return false;
    allowance.lines -= 1;
    return true;
}

/** Appends a member to a JSON object that has others. */
static void appendField(std::string_view name, std::string_view value, std::string &text)
{
    const auto quoted = [](std::string_view string) {
        return boost::json::serialize(boost::json::string_view(string.data(), string.size()));
    };
    text += ',';
    text += quoted(name);
    text += ':';
    text += quoted(value);
}

void JsonLineLog::write(const LogRecord &decision, Instant at)
{
    if (!takeAllowance(decision.priority, at.now)) {
        ++m_counters.overRate;
        return;
    }
    std::string text = "{\"timeMicros\":" + std::to_string(at.wall.time_since_epoch().count());
    appendField("host", m_host, text);
    appendField("event", decision.event, text);
    for (const auto &[name, value] : decision.fields)
        appendField(name, value, text);
    text += "}\n";
    if (m_kept.size() + text.size() > kMaxKeptBytes) {
        ++m_counters.overflow;
        return;
    }
    ++m_counters.written;
    m_kept += text;
    if (m_kept.size() >= kWriteBytes)
        flush();
}

void JsonLineLog::flush()
{
    while (!m_kept.empty()) {
        const ssize_t written = ::write(m_descriptor, m_kept.data(), m_kept.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return; // Tried again with the next line or tick.
        m_kept.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace greengagestair
