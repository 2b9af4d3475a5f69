#pragma once

#include "app/EventLoop.h"
#include "app/Metrics.h"
#include "net/HttpFrontEnd.h"

namespace greengagestair {

/** Builds the texts for operators in the thread of the event loop. */
class StatusPages : public OperatorPageProvider
{
public:
    /** The arguments must outlive the event loop's run. */
    StatusPages(EventLoop &loop, const Metrics &metrics);

    /** Adds counters to the metrics page; called before the loop runs. */
    void addCounters(std::function<std::vector<Counter>()> source)
    {
        m_sources.push_back(std::move(source));
    }

    void requestPage(OperatorPage page, std::function<void(OperatorPageResponse)> done) override;

private:
    OperatorPageResponse render(OperatorPage page) const;

    EventLoop &m_loop;
    const Metrics &m_metrics;
    std::vector<std::function<std::vector<Counter>()>> m_sources;
};

} // namespace greengagestair
