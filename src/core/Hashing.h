#pragma once

#include <cstdint>
#include <string_view>

namespace greengagestair {

/** XXH3 64-bit hash; the same on every host and build. */
std::uint64_t hashBytes(std::string_view bytes);

/**
 * Score of a candidate for a key in rendezvous hashing: the candidate with the highest score comes
 * first. Depends on both arguments only, so all hosts rank the same.
 */
std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

} // namespace greengagestair
