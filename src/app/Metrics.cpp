#include "app/Metrics.h"

#include "app/LatencyHistogram.h"
#include "net/EnumNames.h"

#include <array>
#include <set>

namespace greengagestair {

static constexpr std::string_view kPrefix = "greengagestair_";

static constexpr std::array kOutcomes = { QueryOutcome::Complete, QueryOutcome::Partial,
                                          QueryOutcome::NotRun, QueryOutcome::MayHaveRun,
                                          QueryOutcome::Failed };

void renderCounters(const std::vector<Counter> &counters, std::string &text)
{
    std::set<std::string> families;
    for (const Counter &counter : counters) {
        const std::string name = std::string(kPrefix) + counter.name;
        const std::string family = name.substr(0, name.find('{'));
        if (families.insert(family).second) {
            const char *type = family.ends_with("_total") ? "counter" : "gauge";
            text += "# TYPE " + family + " " + type + "\n";
        }
        text += name + " " + std::to_string(counter.value) + "\n";
    }
}

class Metrics::Histograms
{
public:
    std::array<LatencyHistogram, kOutcomes.size()> byOutcome;
};

Metrics::Metrics()
    : m_histograms(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::onAnswered(QueryOutcome outcome, Duration latency)
{
    m_histograms->byOutcome.at(static_cast<std::size_t>(outcome)).add(latency);
}

std::string Metrics::render(const std::vector<Counter> &counters) const
{
    std::string text = LatencyHistogram::heading();
    for (const QueryOutcome outcome : kOutcomes)
        m_histograms->byOutcome.at(static_cast<std::size_t>(outcome)).render(toText(outcome), text);
    renderCounters(counters, text);
    return text;
}

} // namespace greengagestair
