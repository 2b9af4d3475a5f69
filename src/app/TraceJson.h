#pragma once

#include "greengagestair/Reducer.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace greengagestair {

/** One event of a trace with its time and the effects that followed. */
struct TraceStep
{
    Instant instant;
    Event event;
    Effects effects;
};

/** A line of a trace is not what was expected. */
struct TraceMalformed
{
    std::string expected;
};

/** JSON text without line breaks; the decoders restore exactly what was encoded. */
std::string encodeOptions(const ReducerOptions &options);
std::string encodeEvent(const Event &event);
std::string encodeEffects(const Effects &effects);
/** A step's line is its begin followed by its end. */
std::string encodeStepBegin(const Instant &instant, const Event &event);
std::string encodeStepEnd(const Effects &effects);
std::string encodeStep(const Instant &instant, const Event &event, const Effects &effects);

/** Fail with TraceMalformed. */
boost::leaf::result<ReducerOptions> decodeOptions(std::string_view line);
boost::leaf::result<TraceStep> decodeStep(std::string_view line);

} // namespace greengagestair
