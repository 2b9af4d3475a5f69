#include "app/LoopTimes.h"

#include <string>

namespace greengagestair {

static const char *toText(LoopWork work)
{
    switch (work) {
    case LoopWork::Requests:
        return "requests";
    case LoopWork::Results:
        return "results";
    case LoopWork::Timers:
        return "timers";
    case LoopWork::Store:
        return "store";
    case LoopWork::NextTimer:
        return "nextTimer";
    }
    return "unknown";
}

LoopWork loopWorkOf(const GatewayEvent &event)
{
    if (std::holds_alternative<RequestReceived>(event)
        || std::holds_alternative<CallerDisconnected>(event))
        return LoopWork::Requests;
    if (std::holds_alternative<AttemptEnded>(event))
        return LoopWork::Results;
    if (std::holds_alternative<TimeAdvanced>(event))
        return LoopWork::Timers;
    return LoopWork::Store;
}

void LoopTimes::add(LoopWork work, Clock::duration deciding, Clock::duration applying)
{
    Sum &sum = m_sums.at(static_cast<std::size_t>(work));
    sum.deciding += deciding;
    sum.applying += applying;
    ++sum.events;
}

std::vector<Counter> LoopTimes::counters() const
{
    const auto micros = [](Clock::duration time) {
        return static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(time).count());
    };
    std::vector<Counter> counters;
    for (std::size_t index = 0; index < m_sums.size(); ++index) {
        const Sum &sum = m_sums.at(index);
        const std::string work = std::string("work=\"") + toText(static_cast<LoopWork>(index));
        counters.push_back({ "loop_events_total{" + work + "\"}", sum.events });
        counters.push_back(
                { "loop_micros_total{" + work + "\",step=\"decide\"}", micros(sum.deciding) });
        counters.push_back(
                { "loop_micros_total{" + work + "\",step=\"apply\"}", micros(sum.applying) });
    }
    return counters;
}

} // namespace greengagestair
