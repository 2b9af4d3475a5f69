#include "app/StatusPages.h"

#include "net/CallerAnswerJson.h"

namespace greengagestair {

StatusPages::StatusPages(EventLoop &loop, const Metrics &metrics)
    : m_loop(loop)
    , m_metrics(metrics)
{
}

void StatusPages::requestPage(OperatorPage page, std::function<void(OperatorPageResponse)> done)
{
    // The reducer is not thread-safe.
    m_loop.runInLoop([this, page, done = std::move(done)] { done(render(page)); });
}

OperatorPageResponse StatusPages::render(OperatorPage page) const
{
    const Reducer &reducer = m_loop.reducer();
    switch (page) {
    case OperatorPage::Metrics: {
        std::vector<Counter> counters = reducer.counters();
        for (const auto &source : m_sources) {
            const std::vector<Counter> added = source();
            counters.insert(counters.end(), added.begin(), added.end());
        }
        return { 200, "text/plain; version=0.0.4", m_metrics.render(counters) };
    }
    case OperatorPage::State:
        return { 200, "application/json", reducer.dumpState(EventLoop::currentInstant()) };
    case OperatorPage::Health:
        break;
    }
    if (reducer.isReady())
        return { 200, "application/json", R"({"ready":true})" };
    CallerResponse refusal = renderRefusal(503, QueryReason::NotReady,
                                           "no configuration is in force, or the host is stopping");
    return { refusal.status, "application/json", std::move(refusal.body) };
}

} // namespace greengagestair
