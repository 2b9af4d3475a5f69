#pragma once

namespace greengagestair {

/** Logs the violated invariant to stderr and aborts the process. */
[[noreturn]] void failInvariant(const char *condition, const char *file, int line);

} // namespace greengagestair

/**
 * Checks an invariant; on in all builds. A violated invariant ends the process: a replaced host is
 * safe, one that breaks a promise is not.
 */
#define GREENGAGESTAIR_ASSERT(condition)                                     \
    do {                                                                     \
        if (!(condition))                                                    \
            ::greengagestair::failInvariant(#condition, __FILE__, __LINE__); \
    } while (false)
