#include "app/ResponseMonitor.h"

namespace greengagestair {

static constexpr std::chrono::seconds kLineInterval(1);
/** Lines that are written in each interval. */
static constexpr std::size_t kMaxLines = 10;

ResponseMonitor::ResponseMonitor(Log log)
    : m_log(std::move(log))
{
}

void ResponseMonitor::onMalformedResponse(const MalformedResponse &response)
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts.at(static_cast<std::size_t>(response.source))
                  .at(static_cast<std::size_t>(response.defect));
        if (!takeLine(Clock::now()))
            return;
    }
    m_log(response);
}

bool ResponseMonitor::takeLine(Clock::time_point now)
{
    if (now - m_intervalBegin >= kLineInterval) {
        m_intervalBegin = now;
        m_linesInInterval = 0;
    }
    return ++m_linesInInterval <= kMaxLines;
}

std::vector<Counter> ResponseMonitor::counters() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<Counter> counters;
    for (std::size_t source = 0; source < kResponseSources; ++source) {
        for (std::size_t defect = 0; defect < kResponseDefects; ++defect) {
            const std::uint64_t count = m_counts.at(source).at(defect);
            if (count == 0)
                continue;
            const std::string labels = std::string("source=\"")
                    + toText(static_cast<ResponseSource>(source)) + "\",reason=\""
                    + toText(static_cast<ResponseDefect>(defect)) + "\"";
            counters.push_back({ "malformed_responses_total{" + labels + "}", count });
        }
    }
    return counters;
}

} // namespace greengagestair
