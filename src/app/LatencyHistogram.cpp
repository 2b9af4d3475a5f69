#include "app/LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <array>
#include <cstdio>
#include <string_view>
#include <vector>

namespace greengagestair {

static constexpr std::string_view kName = "greengagestair_answer_seconds";

/** Upper bounds in seconds. Answers take from about 1 ms to the longest declared deadlines. */
static const std::vector<double> kLatencyBounds = { 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01,
                                                    0.015, 0.02,  0.03,  0.05,  0.075,  0.1,
                                                    0.15,  0.2,   0.3,   0.5,   0.75,   1,
                                                    2,     5,     10,    60 };

static std::string formatNumber(double number)
{
    std::array<char, 32> text {};
    const int length = std::snprintf(text.data(), text.size(), "%.9g", number);
    return { text.data(), static_cast<std::size_t>(length) };
}

using Axis = boost::histogram::axis::variable<>;

static std::vector<double> edges()
{
    std::vector<double> edges = { 0 };
    edges.insert(edges.end(), kLatencyBounds.begin(), kLatencyBounds.end());
    return edges;
}

class LatencyHistogram::Bins
{
public:
    decltype(boost::histogram::make_histogram(Axis({ 0, 1 }))) histogram =
            boost::histogram::make_histogram(Axis(edges()));
};

LatencyHistogram::LatencyHistogram()
    : m_bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    m_bins->histogram(seconds);
    m_sum += seconds;
    ++m_count;
}

std::string LatencyHistogram::heading()
{
    const std::string name(kName);
    return "# HELP " + name + " Time from a caller's request to its answer.\n# TYPE " + name
            + " histogram\n";
}

void LatencyHistogram::render(const std::string &outcome, std::string &text) const
{
    const std::string name(kName);
    const std::string label = "{outcome=\"" + outcome + "\"";
    const auto &histogram = m_bins->histogram;
    double below = 0;
    for (int bin = 0; bin < histogram.axis().size(); ++bin) {
        below += histogram.at(bin);
        text += name;
        text += "_bucket" + label + ",le=\"";
        text += formatNumber(histogram.axis().bin(bin).upper()) + "\"} ";
        text += formatNumber(below) + "\n";
    }
    text += name + "_bucket" + label + ",le=\"+Inf\"} " + std::to_string(m_count) + "\n";
    text += name + "_sum" + label + "} " + formatNumber(m_sum) + "\n";
    text += name + "_count" + label + "} " + std::to_string(m_count) + "\n";
}

} // namespace greengagestair
