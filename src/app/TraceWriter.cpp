#include "app/TraceWriter.h"

#include "app/TraceJson.h"

#include <boost/leaf/error.hpp>

namespace greengagestair {

boost::leaf::result<std::unique_ptr<TraceWriter>> TraceWriter::create(const std::string &file,
                                                                      const ReducerOptions &options)
{
    std::unique_ptr<TraceWriter> writer(new TraceWriter);
    writer->m_stream.open(file, std::ios::binary | std::ios::trunc);
    writer->m_stream << encodeOptions(options) << '\n' << std::flush;
    if (!writer->m_stream)
        return boost::leaf::new_error(TraceUnwritable { file });
    return writer;
}

void TraceWriter::begin(const Instant &instant, const Event &event)
{
    m_stream << encodeStepBegin(instant, event) << std::flush;
}

void TraceWriter::finish(const Effects &effects)
{
    m_stream << encodeStepEnd(effects) << '\n' << std::flush;
}

} // namespace greengagestair
