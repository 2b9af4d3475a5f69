#pragma once

#include "greengagestair/Reducer.h"
#include "net/HttpFrontEnd.h"

#include <memory>
#include <string>
#include <vector>

namespace greengagestair {

/**
 * Appends counters in the Prometheus text format. Names may carry labels:
 * `queries_total{outcome="complete"}`.
 */
void renderCounters(const std::vector<Counter> &counters, std::string &text);

/** Latencies of the answers to callers, by outcome. Only for the thread of the event loop. */
class Metrics : public AnswerObserver
{
public:
    Metrics();
    ~Metrics() override;

    void onAnswered(QueryOutcome outcome, Duration latency) override;
    /** All histograms and the given counters in the Prometheus text format. */
    std::string render(const std::vector<Counter> &counters) const;

private:
    class Histograms;
    std::unique_ptr<Histograms> m_histograms;
};

} // namespace greengagestair
