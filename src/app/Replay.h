#pragma once

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <string>

namespace greengagestair {

/** The first event whose effects differ. */
struct ReplayDifference
{
    std::size_t line = 0; ///< of the trace
    std::string event;
    std::string expected; ///< effects as JSON
    std::string actual;
};

/** Result of a replay. */
struct ReplayReport
{
    std::size_t events = 0;
    bool endsInPartialLine = false; ///< the process ended while it handled the last event
    std::optional<ReplayDifference> difference;
};

/** A line of a trace cannot be used. */
struct ReplayMalformed
{
    std::size_t line = 0;
    std::string expected;
};

/**
 * Feeds the events of `trace` into a new reducer and compares its effects with those recorded in
 * `expected`, which holds the same events (often it is the same trace). Stops at the first
 * difference. An event without effects in the last line is handled, too: it repeats the violated
 * invariant that ended the process. Fails with ReplayMalformed.
 */
boost::leaf::result<ReplayReport> replay(std::istream &trace, std::istream &expected);

} // namespace greengagestair
