#pragma once

namespace greengagestair {

/** Writes the violated invariant and its source location to stderr and aborts the process. */
[[noreturn]] void failInvariant(const char *condition, const char *file, int line);

} // namespace greengagestair

/**
 * Checks an invariant, in debug and release builds alike, and aborts the process if it is violated:
 * other hosts can safely take over from a process that ended, but a process with a broken invariant
 * could violate the guarantees.
 */
#define GREENGAGESTAIR_ASSERT(condition)                                     \
    do {                                                                     \
        if (!(condition))                                                    \
            ::greengagestair::failInvariant(#condition, __FILE__, __LINE__); \
    } while (false)
