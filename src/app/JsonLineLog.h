#pragma once

#include "gateway/GatewayEffect.h"
#include "greengagestair/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace greengagestair {

/** What became of the lines of a log. */
struct LogCounters
{
    std::uint64_t written = 0;
    std::uint64_t overRate = 0; ///< dropped because lines of that weight came too fast
    std::uint64_t overflow = 0; ///< dropped because the reader of the pipe is too slow
};

/**
 * Writes decisions as JSON objects, one a line, to a descriptor. Lines are collected until flush(),
 * or until there are enough for one write. Never blocks: what the descriptor does not take is kept
 * in a bounded buffer, and dropped and counted beyond it. Each weight has a rate of its own, so
 * details about served requests never crowd out failures.
 */
class JsonLineLog
{
public:
    /** Sets the descriptor to non-blocking mode; it stays open. */
    JsonLineLog(int descriptor, std::string host);

    void write(const LogRecord &decision, Instant at);
    /** True if there are lines that flush() would write. */
    bool hasKeptLines() const { return !m_kept.empty(); }
    /** Writes what the descriptor takes of the kept lines. */
    void flush();
    const LogCounters &counters() const { return m_counters; }

private:
    /** Lines that may be written now; refilled with time. */
    struct Allowance
    {
        double lines = 0;
        MonotonicTime refilledAt;
    };

    bool takeAllowance(LogPriority priority, MonotonicTime now);

    int m_descriptor;
    std::string m_host;
    std::string m_kept;
    std::array<Allowance, 3> m_allowances {};
    LogCounters m_counters;
};

} // namespace greengagestair
