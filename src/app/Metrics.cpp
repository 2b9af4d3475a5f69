#include "app/Metrics.h"

#include "net/EnumNames.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdio>
#include <set>

namespace greengagestair {

static constexpr std::string_view kPrefix = "greengagestair_";

/** Upper bounds in seconds. Answers take from about 1 ms to the longest declared deadlines. */
static const std::vector<double> kLatencyBounds = { 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01,
                                                    0.015, 0.02,  0.03,  0.05,  0.075,  0.1,
                                                    0.15,  0.2,   0.3,   0.5,   0.75,   1,
                                                    2,     5,     10,    60 };

static constexpr std::array kOutcomes = { QueryOutcome::Complete, QueryOutcome::Partial,
                                          QueryOutcome::NotRun, QueryOutcome::MayHaveRun,
                                          QueryOutcome::Failed };

static std::string formatNumber(double number)
{
    std::array<char, 32> text {};
    const int length = std::snprintf(text.data(), text.size(), "%.9g", number);
    return { text.data(), static_cast<std::size_t>(length) };
}

namespace {

/** One histogram of latencies in seconds, with their sum. */
class LatencyHistogram
{
public:
    LatencyHistogram()
        : m_histogram(boost::histogram::make_histogram(Axis(bounds())))
    {
    }

    void add(Duration latency)
    {
        const double seconds = std::chrono::duration<double>(latency).count();
        m_histogram(seconds);
        m_sum += seconds;
        ++m_count;
    }

    void render(const std::string &outcome, std::string &text) const
    {
        const std::string name = std::string(kPrefix) + "answer_seconds";
        const std::string label = "{outcome=\"" + outcome + "\"";
        double below = 0;
        for (int bin = 0; bin < m_histogram.axis().size(); ++bin) {
            below += m_histogram.at(bin);
            text += name;
            text += "_bucket" + label + ",le=\"";
            text += formatNumber(m_histogram.axis().bin(bin).upper()) + "\"} ";
            text += formatNumber(below) + "\n";
        }
        text += name + "_bucket" + label + ",le=\"+Inf\"} " + std::to_string(m_count) + "\n";
        text += name + "_sum" + label + "} " + formatNumber(m_sum) + "\n";
        text += name + "_count" + label + "} " + std::to_string(m_count) + "\n";
    }

private:
    using Axis = boost::histogram::axis::variable<>;

    static std::vector<double> bounds()
    {
        std::vector<double> edges = { 0 };
        edges.insert(edges.end(), kLatencyBounds.begin(), kLatencyBounds.end());
        return edges;
    }

    decltype(boost::histogram::make_histogram(Axis({ 0, 1 }))) m_histogram;
    double m_sum = 0;
    std::uint64_t m_count = 0;
};

} // namespace

/** Counter names may carry labels: `queries_total{outcome="complete"}`. */
static void renderCounters(const std::vector<Counter> &counters, std::string &text)
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
    std::string text = "# HELP " + std::string(kPrefix)
            + "answer_seconds Time from a caller's request to its answer.\n# TYPE "
            + std::string(kPrefix) + "answer_seconds histogram\n";
    for (const QueryOutcome outcome : kOutcomes)
        m_histograms->byOutcome.at(static_cast<std::size_t>(outcome)).render(toText(outcome), text);
    renderCounters(counters, text);
    return text;
}

} // namespace greengagestair
