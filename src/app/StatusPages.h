#pragma once

#include "app/EventLoop.h"
#include "app/Metrics.h"
#include "net/HttpFrontEnd.h"

namespace greengagestair {

/** Builds the texts for operators in the thread of the event loop. */
class StatusPages : public OperatorPages
{
public:
    /** The arguments must outlive the event loop's run. */
    StatusPages(EventLoop &loop, const Metrics &metrics);

    /** Adds the counters of the front end; called before the loop runs. */
    void setFrontEnd(const HttpFrontEnd &frontEnd) { m_frontEnd = &frontEnd; }

    void requestPage(OperatorPage page, std::function<void(PageText)> done) override;

private:
    PageText render(OperatorPage page) const;

    EventLoop &m_loop;
    const Metrics &m_metrics;
    const HttpFrontEnd *m_frontEnd = nullptr;
};

} // namespace greengagestair
