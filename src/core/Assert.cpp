#include "core/Assert.h"

#include <cstdio>
#include <cstdlib>

namespace greengagestair {

void failInvariant(const char *condition, const char *file, int line)
{
    std::fprintf(stderr, "invariant violated: %s at %s:%d\n", condition, file, line);
    std::abort();
}

} // namespace greengagestair
