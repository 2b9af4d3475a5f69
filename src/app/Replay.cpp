#include "app/Replay.h"

#include "app/TraceJson.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <istream>

namespace greengagestair {

using boost::leaf::result;

/** A line that ends here holds an event whose handling did not end. */
static constexpr std::string_view kEffectsKey = R"("effects":)";

namespace {

/** Reads the lines of a trace that end in a line break. */
class TraceReader
{
public:
    explicit TraceReader(std::istream &stream)
        : m_stream(stream)
    {
    }

    std::optional<std::string> nextLine()
    {
        std::string line;
        if (!std::getline(m_stream, line))
            return std::nullopt;
        m_endsInPartialLine = m_stream.eof();
        if (m_endsInPartialLine && !line.ends_with(kEffectsKey))
            return std::nullopt;
        ++m_line;
        return m_endsInPartialLine ? line + "[]}" : line;
    }

    result<ReducerOptions> readOptions()
    {
        const auto line = nextLine();
        if (!line)
            return malformed(m_line + 1, "the options of the reducer");
        const auto options = decodeOptions(*line);
        if (!options)
            return malformed(m_line, "the options of the reducer");
        return *options;
    }

    /** Nothing at the end of the trace. */
    result<std::optional<TraceStep>> readStep()
    {
        const auto line = nextLine();
        if (!line)
            return std::optional<TraceStep>();
        const auto step = decodeStep(*line);
        if (!step)
            return malformed(m_line, "an event with its time and effects");
        return std::optional<TraceStep>(*step);
    }

    std::size_t line() const { return m_line; }
    bool endsInPartialLine() const { return m_endsInPartialLine; }

private:
    static boost::leaf::error_id malformed(std::size_t line, const std::string &expected)
    {
        return boost::leaf::new_error(ReplayMalformed { line, expected });
    }

    std::istream &m_stream;
    std::size_t m_line = 0;
    bool m_endsInPartialLine = false;
};

} // namespace

result<ReplayReport> replay(std::istream &trace, std::istream &expected)
{
    TraceReader events(trace);
    TraceReader effects(expected);
    BOOST_LEAF_AUTO(options, events.readOptions());
    BOOST_LEAF_CHECK(effects.readOptions());
    Reducer reducer(options);
    ReplayReport report;
    for (;;) {
        BOOST_LEAF_AUTO(step, events.readStep());
        BOOST_LEAF_AUTO(recorded, effects.readStep());
        if (!step && !recorded)
            break;
        const std::string event = step ? encodeEvent(step->event) : "the end of the trace";
        const std::string recordedEvent =
                recorded ? encodeEvent(recorded->event) : "the end of the trace";
        if (event != recordedEvent) {
            report.difference = { events.line(), event, "the event " + recordedEvent,
                                  "the event " + event };
            break;
        }
        const std::string actual = encodeEffects(reducer.handle(step->instant, step->event));
        ++report.events;
        const std::string wanted = encodeEffects(recorded->effects);
        if (actual != wanted && !events.endsInPartialLine()) {
            report.difference = { events.line(), event, wanted, actual };
            break;
        }
    }
    report.endsInPartialLine = events.endsInPartialLine();
    return report;
}

} // namespace greengagestair
