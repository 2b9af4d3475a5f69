#include "core/Hashing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace greengagestair {

std::uint64_t hashBytes(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate)
{
    // The key's hash is the seed of the candidate's hash, so that the scores of ("ab", "c") and
    // ("a", "bc") differ.
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), hashBytes(key));
}

} // namespace greengagestair
