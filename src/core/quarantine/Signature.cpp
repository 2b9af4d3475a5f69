#include "core/quarantine/Signature.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace greengagestair {

Signature computeSignature(const ServiceId &service, const OperationId &operation,
                           std::string_view body)
{
    // Each hash is the seed of the next, so that moving text between fields changes the result.
    const XXH64_hash_t first = XXH3_64bits(service.value.data(), service.value.size());
    const XXH64_hash_t second =
            XXH3_64bits_withSeed(operation.value.data(), operation.value.size(), first);
    return { XXH3_64bits_withSeed(body.data(), body.size(), second) };
}

} // namespace greengagestair
