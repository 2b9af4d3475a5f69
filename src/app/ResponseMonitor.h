#pragma once

#include "greengagestair/Reducer.h"
#include "http/ResponseObserver.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <vector>

namespace greengagestair {

/**
 * Counts malformed responses by source and defect, and passes some of them on to the log. A server
 * that sends nothing else is named without a line for each response. Thread-safe.
 */
class ResponseMonitor : public ResponseObserver
{
public:
    /** Writes a line about a response; called on the thread that reports it. */
    using Log = std::function<void(const MalformedResponse &response)>;

    explicit ResponseMonitor(Log log);

    void onMalformedResponse(const MalformedResponse &response) override;
    /** The counters that are not 0. */
    std::vector<Counter> counters() const;

private:
    using Clock = std::chrono::steady_clock;

    /** True if the rate of lines allows another one. */
    bool takeLine(Clock::time_point now);

    Log m_log;
    mutable std::mutex m_mutex;
    /** Guarded by m_mutex, as all members that follow. */
    std::array<std::array<std::uint64_t, kResponseDefects>, kResponseSources> m_counts {};
    Clock::time_point m_intervalBegin;
    std::size_t m_linesInInterval = 0;
};

} // namespace greengagestair
