#pragma once

#include "app/EventLoop.h"

#include <boost/leaf/result.hpp>

#include <fstream>
#include <memory>
#include <string>

namespace greengagestair {

/** The trace file cannot be created. */
struct TraceUnwritable
{
    std::string file;
};

/**
 * Writes a trace: the reducer's options in the first line, then one JSON line per event. The event
 * is flushed before it is handled, so that a trace that ends with a violated invariant holds the
 * event that violated it.
 */
class TraceWriter : public StepRecorder
{
public:
    /** Replaces the file if it exists. Fails with TraceUnwritable. */
    static boost::leaf::result<std::unique_ptr<TraceWriter>> create(const std::string &file,
                                                                    const ReducerOptions &options);

    void begin(const Instant &instant, const Event &event) override;
    void finish(const Effects &effects) override;

private:
    TraceWriter() = default;

    std::ofstream m_stream;
};

} // namespace greengagestair
